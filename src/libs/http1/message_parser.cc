#include "libs/http1/message_parser.h"

#include <http_parser.h>

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
  bool last_was_value = false;
  std::optional<ParseFailure> failure;
  std::string target;
  Headers headers;
  std::string body;
  std::vector<Request>* requests = nullptr;
  std::vector<Response>* responses = nullptr;
};

void ParserStateDeleter::operator()(ParserState* it) const { delete it; }

namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kStop = 1;
/// Return value that tells http-parser that no body follows.
constexpr int kSkipBody = 1;

ParserState& StateOf(http_parser* parser) {
  return *static_cast<ParserState*>(parser->data);
}

int Stop(ParserState& state, ParseFailure failure) {
  state.failure = failure;
  return kStop;
}

/// Checked here, since lenient builds of http-parser accept blanks in field
/// names.
bool IsFieldName(std::string_view name) {
  if (name.empty()) return false;
  return name.find_first_of(" \t\"(),/:;<=>?@[\\]{}") == std::string_view::npos;
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
  state.last_was_value = false;
  state.target.clear();
  state.headers.clear();
  state.body.clear();
  return 0;
}

int OnTarget(http_parser* parser, const char* at, std::size_t n) {
  ParserState& state = StateOf(parser);
  state.target.append(at, n);
  return CountHead(state, n);
}

int OnField(http_parser* parser, const char* at, std::size_t n) {
  ParserState& state = StateOf(parser);
  if (state.head_complete) return 0;  // Trailers are dropped.
  if (state.headers.empty() || state.last_was_value) {
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

int OnHeadComplete(http_parser* parser) {
  ParserState& state = StateOf(parser);
  state.head_complete = true;
  for (const auto& [name, value] : state.headers) {
    if (!IsFieldName(name)) return Stop(state, ParseFailure::kMalformed);
  }
  if (state.is_response) return state.expects_head ? kSkipBody : 0;
  const auto* expect = FindHeader(state.headers, "Expect");
  state.expects_continue =
      expect != nullptr && net::EqualsIgnoreCase(*expect, "100-continue");
  return 0;
}

int OnBody(http_parser* parser, const char* at, std::size_t n) {
  ParserState& state = StateOf(parser);
  if (state.body.size() + n > state.limits.body_bytes) {
    return Stop(state, ParseFailure::kBodyTooLarge);
  }
  state.body.append(at, n);
  return 0;
}

int OnComplete(http_parser* parser) {
  ParserState& state = StateOf(parser);
  state.in_message = false;
  const bool keep_alive = http_should_keep_alive(parser) != 0;
  if (state.is_response) {
    if (parser->status_code < kFirstFinalStatus) return 0;
    state.pending_bytes = 0;
    state.responses->push_back({static_cast<int>(parser->status_code),
                                std::move(state.headers), std::move(state.body),
                                keep_alive});
    return 0;
  }
  state.pending_bytes = 0;
  if (std::exchange(state.is_closed, state.is_closed || !keep_alive)) return 0;
  const auto method = static_cast<http_method>(parser->method);
  state.requests->push_back({http_method_str(method), std::move(state.target),
                             std::move(state.headers), std::move(state.body),
                             keep_alive, parser->http_minor > 0});
  return 0;
}

const http_parser_settings& Callbacks() {
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings it;
    http_parser_settings_init(&it);
    it.on_message_begin = &OnBegin;
    it.on_url = &OnTarget;
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

std::optional<ParseFailure> Execute(ParserState& state,
                                    std::string_view bytes) {
  if (state.failure) return state.failure;
  state.pending_bytes += bytes.size();
  const std::size_t n = http_parser_execute(&state.parser, &Callbacks(),
                                            bytes.data(), bytes.size());
  if (state.failure) return state.failure;
  const bool is_invalid = HTTP_PARSER_ERRNO(&state.parser) != HPE_OK ||
                          n != bytes.size() || state.parser.upgrade != 0;
  state.failure = is_invalid ? std::optional(ParseFailure::kMalformed)
                             : CheckPendingBytes(state);
  return state.failure;
}

}  // namespace
}  // namespace Internal

RequestParser::RequestParser(Internal::ParserStatePtr state)
    : state_(std::move(state)) {}

RequestParser RequestParser::Create(const Limits& limits) {
  return RequestParser(Internal::MakeState(limits, false));
}

std::optional<ParseFailure> RequestParser::Feed(std::string_view bytes,
                                                std::vector<Request>& out) {
  // An empty input would mean the end of the connection to http-parser.
  if (bytes.empty()) return state_->failure;
  state_->requests = &out;
  return Internal::Execute(*state_, bytes);
}

bool RequestParser::in_message() const { return state_->in_message; }

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
  if (bytes.empty()) return state_->failure;
  state_->responses = &out;
  return Internal::Execute(*state_, bytes);
}

std::optional<ParseFailure> ResponseParser::FeedEnd(
    std::vector<Response>& out) {
  state_->responses = &out;
  return Internal::Execute(*state_, {});
}

bool ResponseParser::in_message() const { return state_->in_message; }

std::size_t ResponseParser::body_bytes() const {
  return state_->in_message ? state_->body.size() : 0;
}

Response ResponseParser::PartialHead() const {
  return {static_cast<int>(state_->parser.status_code), state_->headers, "",
          http_should_keep_alive(&state_->parser) != 0};
}

std::string ResponseParser::TakeBody() {
  state_->pending_bytes = 0;
  return std::exchange(state_->body, {});
}

}  // namespace ibisladder::http1
