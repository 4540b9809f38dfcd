#include "libs/http1/message_parser.h"

#include <http_parser.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace ibisladder::http1 {
namespace Internal {

struct ParserState {
  http_parser parser{};
  Limits limits;
  bool is_response = false;
  bool expects_head = false;
  bool in_message = false;
  /// A request has closed the connection; later ones are ignored.
  bool is_closed = false;
  bool expects_continue = false;
  /// Size of the current message's head so far, bytes.
  std::size_t head_bytes = 0;
  /// Bytes received since the last complete message, interim answers aside.
  std::size_t pending_bytes = 0;
  bool head_complete = false;
  /// The request was returned; its body is dropped.
  bool is_dropping = false;
  /// Bytes of the body that were dropped.
  std::size_t dropped_bytes = 0;
  /// Requests after which parsing pauses. It pauses after each response.
  std::size_t max_requests = 0;
  BodyFilter filter;
  bool last_was_value = false;
  /// The last byte that was parsed ended a line.
  bool is_line_start = false;
  std::optional<ParseFailure> failure;
  std::string target;
  Headers headers;
  std::string body;
  std::vector<Request>* requests = nullptr;
  std::vector<Response>* responses = nullptr;
};

void ParserStateDeleter::operator()(ParserState* it) const { delete it; }

namespace {

/// Return value of callbacks that ends parsing. Not 1, which
/// on_headers_complete returns for messages without a body.
constexpr int kStop = -1;
/// Return value of on_headers_complete: no body follows.
constexpr int kSkipBody = 1;
constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
/// Memory of one field beyond its bytes: two strings in a vector that doubles,
/// and their allocations.
constexpr std::size_t kFieldOverhead = 2 * sizeof(Headers::value_type) + 32;

ParserState& StateOf(http_parser* parser) {
  return *static_cast<ParserState*>(parser->data);
}

int StatusOf(const http_parser& parser) {
  return static_cast<int>(parser.status_code);
}

int Stop(ParserState& state, ParseFailure failure) {
  state.failure = failure;
  return kStop;
}

/// Checked here, since lenient builds of http-parser accept blanks in field
/// names.
bool IsPartOfFieldName(std::string_view part) {
  return std::ranges::all_of(part, &net::IsTokenByte);
}

int CountHead(ParserState& state, std::size_t n) {
  state.head_bytes += n;
  if (state.head_bytes > state.limits.header_bytes) {
    return Stop(state, ParseFailure::kHeadersTooLarge);
  }
  return 0;
}

int OnBegin(http_parser* parser) {
  ParserState& state = StateOf(parser);
  state.in_message = true;
  state.expects_continue = false;
  state.head_bytes = 0;
  state.head_complete = false;
  state.is_dropping = false;
  state.dropped_bytes = 0;
  state.last_was_value = false;
  state.target.clear();
  state.headers.clear();
  state.body.clear();
  return 0;
}

/// Called with parts of the reason phrase, and at least once.
int OnStatus(http_parser* parser, const char* /*at*/, std::size_t /*n*/) {
  if (net::IsStatus(StatusOf(*parser))) return 0;
  return Stop(StateOf(parser), ParseFailure::kMalformed);
}

int OnTarget(http_parser* parser, const char* at, std::size_t n) {
  ParserState& state = StateOf(parser);
  state.target.append(at, n);
  return CountHead(state, n);
}

int OnField(http_parser* parser, const char* at, std::size_t n) {
  ParserState& state = StateOf(parser);
  if (!IsPartOfFieldName({at, n})) return Stop(state, ParseFailure::kMalformed);
  if (state.head_complete) return 0;  // Trailers are dropped.
  if (state.headers.empty() || state.last_was_value) {
    if (state.headers.size() >= state.limits.fields) {
      return Stop(state, ParseFailure::kHeadersTooLarge);
    }
    state.headers.emplace_back();
    state.last_was_value = false;
  }
  state.headers.back().first.append(at, n);
  return CountHead(state, n);
}

int OnValue(http_parser* parser, const char* at, std::size_t n) {
  ParserState& state = StateOf(parser);
  if (state.head_complete) return 0;
  if (state.headers.empty()) return Stop(state, ParseFailure::kMalformed);
  state.headers.back().second.append(at, n);
  state.last_was_value = true;
  return CountHead(state, n);
}

/// Takes what was received of the request.
Request TakeRequest(ParserState& state) {
  const auto method = static_cast<http_method>(state.parser.method);
  return {http_method_str(method),
          std::move(state.target),
          std::move(state.headers),
          std::move(state.body),
          http_should_keep_alive(&state.parser) != 0,
          state.parser.http_minor > 0};
}

void PutRequest(ParserState& state, Request request) {
  state.is_closed = !request.keep_alive;
  state.requests->push_back(std::move(request));
}

/// Returns the length that the head declares; 0 without one.
std::uint64_t DeclaredLength(const ParserState& state) {
  const std::uint64_t n = state.parser.content_length;
  return n == std::numeric_limits<std::uint64_t>::max() ? 0 : n;
}

/// Returns the request now if its body is not to be stored.
void FilterBody(ParserState& state) {
  const bool has_body =
      (state.parser.flags & F_CHUNKED) != 0 || DeclaredLength(state) > 0;
  if (!has_body || !state.filter || state.is_closed) return;
  Request head = TakeRequest(state);
  if (state.filter(head)) {
    state.target = std::move(head.target);
    state.headers = std::move(head.headers);
    return;
  }
  head.is_body_dropped = true;
  // A caller that awaits "100 Continue" may leave out the body, and no one can
  // tell where its next request begins.
  if (std::exchange(state.expects_continue, false)) head.keep_alive = false;
  state.is_dropping = true;
  PutRequest(state, std::move(head));
}

int OnHeadComplete(http_parser* parser) {
  ParserState& state = StateOf(parser);
  state.head_complete = true;
  // http-parser decodes chunks, and ignores other codings.
  if (!net::HasKnownTransferCoding(state.headers)) {
    return Stop(state, ParseFailure::kMalformed);
  }
  if (state.is_response) {
    return state.expects_head || net::IsInterimStatus(StatusOf(*parser))
               ? kSkipBody
               : 0;
  }
  if (DeclaredLength(state) > state.limits.body_bytes) {
    return Stop(state, ParseFailure::kBodyTooLarge);
  }
  const auto* expect = FindHeader(state.headers, "Expect");
  state.expects_continue =
      expect != nullptr && net::EqualsIgnoreCase(*expect, "100-continue");
  FilterBody(state);
  return 0;
}

int OnBody(http_parser* parser, const char* at, std::size_t n) {
  ParserState& state = StateOf(parser);
  if (state.is_dropping) state.dropped_bytes += n;
  if (state.body.size() + state.dropped_bytes + n > state.limits.body_bytes) {
    return Stop(state, ParseFailure::kBodyTooLarge);
  }
  if (!state.is_dropping) state.body.append(at, n);
  return 0;
}

int OnComplete(http_parser* parser) {
  ParserState& state = StateOf(parser);
  state.in_message = false;
  if (state.is_response) {
    if (net::IsInterimStatus(StatusOf(*parser))) return 0;
    state.pending_bytes = 0;
    http_parser_pause(parser, 1);
    state.responses->push_back({StatusOf(*parser), std::move(state.headers),
                                std::move(state.body),
                                http_should_keep_alive(parser) != 0});
    return 0;
  }
  state.pending_bytes = 0;
  if (!std::exchange(state.is_dropping, false) && !state.is_closed) {
    PutRequest(state, TakeRequest(state));
  }
  if (state.requests->size() >= state.max_requests) {
    http_parser_pause(parser, 1);
  }
  return 0;
}

const http_parser_settings& Callbacks() {
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings it;
    http_parser_settings_init(&it);
    it.on_message_begin = &OnBegin;
    it.on_url = &OnTarget;
    it.on_status = &OnStatus;
    it.on_header_field = &OnField;
    it.on_header_value = &OnValue;
    it.on_headers_complete = &OnHeadComplete;
    it.on_body = &OnBody;
    it.on_message_complete = &OnComplete;
    return it;
  }();
  return kCallbacks;
}

ParserStatePtr MakeState(const Limits& limits, bool is_response) {
  ParserStatePtr state(new ParserState);
  http_parser_init(&state->parser, is_response ? HTTP_RESPONSE : HTTP_REQUEST);
  state->parser.data = state.get();
  state->limits = limits;
  state->is_response = is_response;
  return state;
}

/// Checks the size of what the parser drops: empty lines and interim answers
/// before a message, chunk extensions, trailers.
std::optional<ParseFailure> CheckPendingBytes(const ParserState& state) {
  /// Framing may be as long as the body.
  constexpr std::size_t kFramingFactor = 2;
  const Limits& limits = state.limits;
  if (!state.head_complete || !state.in_message) {
    const bool is_over = state.pending_bytes > 2 * limits.header_bytes;
    return is_over ? std::optional(ParseFailure::kHeadersTooLarge)
                   : std::nullopt;
  }
  const bool is_over =
      state.pending_bytes >
      2 * limits.header_bytes + kFramingFactor * limits.body_bytes;
  return is_over ? std::optional(ParseFailure::kBodyTooLarge) : std::nullopt;
}

/// Stores the number of parsed bytes in `consumed`.
std::optional<ParseFailure> Execute(ParserState& state, std::string_view bytes,
                                    std::size_t& consumed) {
  if (state.failure) return state.failure;
  state.pending_bytes += bytes.size();
  consumed = http_parser_execute(&state.parser, &Callbacks(), bytes.data(),
                                 bytes.size());
  if (state.failure) return state.failure;
  if (HTTP_PARSER_ERRNO(&state.parser) == HPE_PAUSED) {
    http_parser_pause(&state.parser, 0);
    // Counted when they are fed again.
    state.pending_bytes = 0;
    return std::nullopt;
  }
  const bool is_invalid = HTTP_PARSER_ERRNO(&state.parser) != HPE_OK ||
                          consumed != bytes.size() || state.parser.upgrade != 0;
  state.failure = is_invalid ? std::optional(ParseFailure::kMalformed)
                             : CheckPendingBytes(state);
  return state.failure;
}

bool IsInHead(const ParserState& state) {
  return state.in_message && !state.head_complete;
}

/// Returns how many bytes to parse at once: the rest of a body, or one line.
std::size_t NextPartSize(const ParserState& state, std::string_view bytes) {
  if (state.in_message && state.head_complete) return bytes.size();
  const std::size_t line_end = bytes.find('\n');
  return line_end == std::string_view::npos ? bytes.size() : line_end + 1;
}

/// Parses bytes of responses, heads line by line: http-parser joins a line that
/// starts with a blank to the field before it, which then has a value that the
/// server has not sent.
std::optional<ParseFailure> ExecuteByLines(ParserState& state,
                                           std::string_view bytes) {
  while (!state.failure && !bytes.empty()) {
    const bool is_folded = IsInHead(state) && state.is_line_start &&
                           (bytes.front() == ' ' || bytes.front() == '\t');
    if (is_folded) {
      state.failure = ParseFailure::kMalformed;
      break;
    }
    const auto part = bytes.substr(0, NextPartSize(state, bytes));
    std::size_t consumed = 0;
    if (Execute(state, part, consumed)) break;
    state.is_line_start = part[consumed - 1] == '\n';
    bytes.remove_prefix(consumed);
  }
  return state.failure;
}

}  // namespace
}  // namespace Internal

RequestParser::RequestParser(Internal::ParserStatePtr state)
    : state_(std::move(state)) {}

RequestParser RequestParser::Create(const Limits& limits, BodyFilter filter) {
  auto state = Internal::MakeState(limits, false);
  state->filter = std::move(filter);
  return RequestParser(std::move(state));
}

std::optional<ParseFailure> RequestParser::Feed(std::string_view bytes,
                                                std::vector<Request>& out) {
  return FeedUpTo(Internal::kNoLimit, bytes, out).failure;
}

FeedResult RequestParser::FeedUpTo(std::size_t max_requests,
                                   std::string_view bytes,
                                   std::vector<Request>& out) {
  // An empty input would mean the end of the connection to http-parser.
  if (bytes.empty()) return {0, state_->failure};
  state_->requests = &out;
  state_->max_requests = max_requests;
  FeedResult result;
  result.failure = Internal::Execute(*state_, bytes, result.consumed);
  return result;
}

bool RequestParser::in_message() const { return state_->in_message; }

bool RequestParser::is_dropping() const {
  return state_->in_message && state_->is_dropping;
}

bool RequestParser::in_body() const {
  return state_->in_message && state_->head_complete;
}

std::size_t RequestParser::held_bytes() const {
  if (!state_->in_message || state_->is_dropping) return 0;
  return state_->head_bytes +
         state_->headers.size() * Internal::kFieldOverhead +
         state_->body.size();
}

bool RequestParser::TakeExpectsContinue() {
  return state_->in_message && std::exchange(state_->expects_continue, false);
}

ResponseParser::ResponseParser(Internal::ParserStatePtr state)
    : state_(std::move(state)) {}

ResponseParser ResponseParser::Create(const Limits& limits) {
  return ResponseParser(Internal::MakeState(limits, true));
}

void ResponseParser::ExpectHead(bool is_head) {
  state_->expects_head = is_head;
}

std::optional<ParseFailure> ResponseParser::Feed(std::string_view bytes,
                                                 std::vector<Response>& out) {
  state_->responses = &out;
  return Internal::ExecuteByLines(*state_, bytes);
}

std::optional<ParseFailure> ResponseParser::FeedEnd(
    std::vector<Response>& out) {
  state_->responses = &out;
  std::size_t consumed = 0;
  return Internal::Execute(*state_, {}, consumed);
}

bool ResponseParser::in_message() const { return state_->in_message; }

std::size_t ResponseParser::body_bytes() const {
  return state_->in_message ? state_->body.size() : 0;
}

Response ResponseParser::PartialHead() const {
  return {Internal::StatusOf(state_->parser), state_->headers, "",
          http_should_keep_alive(&state_->parser) != 0};
}

std::string ResponseParser::TakeBody() {
  state_->pending_bytes = 0;
  return std::exchange(state_->body, {});
}

}  // namespace ibisladder::http1
