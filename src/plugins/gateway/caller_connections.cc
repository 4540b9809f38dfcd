#include "plugins/gateway/caller_connections.h"

#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

#include "libs/http1/message_parser.h"
#include "libs/net/socket_address.h"

namespace ibisladder::gateway {

namespace Internal {

/// An answer whose body arrives in parts.
struct AnswerStream {
  http1::Response head;
  bool is_chunked = false;
  /// Bytes of the body that follow the earlier answers' bytes.
  std::string waiting;
  bool is_head_written = false;
  /// The answer closes the connection.
  bool closes = false;
  bool is_ended = false;
};

/// The answer to one request, in the order of the requests.
struct PendingAnswer {
  CallId call;
  bool is_head = false;
  bool accepts_chunks = true;
  /// One of them, once the answer is there.
  std::optional<http1::Response> response;
  std::optional<AnswerStream> stream;
  bool close = false;
};

struct CallerConnection {
  CallerConnection(CallerConnections* owner, std::uint64_t number,
                   bufferevent* socket, const http1::Limits& limits)
      : connections(owner),
        id(number),
        bev(socket),
        parser(http1::RequestParser::Create(limits)) {}
  ~CallerConnection() { bufferevent_free(bev); }
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  CallerConnections* connections;
  std::uint64_t id;
  bufferevent* bev;
  /// IP address of the caller.
  std::string address;
  http1::RequestParser parser;
  std::deque<PendingAnswer> pending_answers;
  /// Set after the last request that is read; further input is dropped, and the
  /// last pending answer closes the connection.
  bool discards_input = false;
  /// Shuts down once all output is written.
  bool closes_when_written = false;
  /// Shut down for writing; waits for the caller to close.
  bool is_lingering = false;
  /// When a byte last arrived or left, or a request was answered.
  TimePoint last_activity_at;
  TimePoint message_started_at;
  TimePoint linger_started_at;
};

}  // namespace Internal

using Internal::AnswerStream;
using Internal::CallerConnection;
using Internal::PendingAnswer;

namespace {

constexpr int kBacklog = 1024;
/// Reading pauses at this many unanswered requests of a connection.
constexpr std::size_t kMaxPipelinedRequests = 32;
/// Reading pauses at this many unsent bytes of answers.
constexpr std::size_t kMaxUnsentBytes = 1U << 20U;
constexpr std::size_t kReadBufferBytes = 16384;
/// Time that a caller has to close its side after the last answer. Closing the
/// socket earlier resets the connection if the caller is still sending.
constexpr Duration kLingerTimeout = Seconds(1);

constexpr int kStatusBadRequest = 400;
constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;

int StatusOf(http1::ParseFailure failure) {
  switch (failure) {
    case http1::ParseFailure::kHeadersTooLarge:
      return kStatusHeadersTooLarge;
    case http1::ParseFailure::kBodyTooLarge:
      return kStatusTooLarge;
    case http1::ParseFailure::kMalformed:
      break;
  }
  return kStatusBadRequest;
}

std::size_t UnsentBytes(const CallerConnection& connection) {
  return evbuffer_get_length(bufferevent_get_output(connection.bev));
}

/// Whether the kernel holds input that is about to be read. After a stall, the
/// timers are due before a request that arrived in the meantime is read.
bool HasUnreadInput(const CallerConnection& connection) {
  const bool is_read = (bufferevent_get_enabled(connection.bev) & EV_READ) != 0;
  return is_read && net::HasUnreadInput(bufferevent_getfd(connection.bev));
}

}  // namespace

Expected<std::unique_ptr<CallerConnections>> CallerConnections::Listen(
    net::EventLoop& loop, const Endpoint& endpoint, CallId before_first) {
  auto address = net::ToSocketAddress(endpoint);
  if (!address) return tl::unexpected<Error>(address.error());
  std::unique_ptr<CallerConnections> result(new CallerConnections(loop));
  result->last_call_id_ = before_first.value();
  result->listener_.reset(evconnlistener_new_bind(
      loop.base(), &CallerConnections::OnAccept, result.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kBacklog, address->get(), static_cast<int>(address->size)));
  if (result->listener_ == nullptr) {
    return Fail(ResultCode::kInternal, FormatEndpoint(endpoint),
                "cannot bind the endpoint for callers");
  }
  return result;
}

CallerConnections::CallerConnections(net::EventLoop& loop) : loop_(loop) {}

CallerConnections::~CallerConnections() = default;

void CallerConnections::OnAccept(evconnlistener* /*listener*/,
                                 evutil_socket_t fd, sockaddr* address,
                                 int /*size*/, void* self) {
  auto& owner = *static_cast<CallerConnections*>(self);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent* bev =
      bufferevent_socket_new(owner.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
  const std::uint64_t id = ++owner.last_connection_id_;
  const http1::Limits limits{owner.limits_.header_bytes,
                             owner.limits_.body_bytes};
  auto connection = std::make_unique<CallerConnection>(&owner, id, bev, limits);
  connection->address = net::ToEndpoint(address).address;
  connection->last_activity_at = net::MonotonicNow();
  bufferevent_setcb(bev, &CallerConnections::OnReadable,
                    &CallerConnections::OnWritten, &CallerConnections::OnEvent,
                    connection.get());
  bufferevent_enable(bev, EV_READ | EV_WRITE);
  owner.connections_.emplace(id, std::move(connection));
}

std::string CallerConnections::AddressOf(CallId call) const {
  const auto it = connection_of_call_.find(call);
  if (it == connection_of_call_.end()) return "";
  const auto connection = connections_.find(it->second);
  return connection == connections_.end() ? "" : connection->second->address;
}

void CallerConnections::OnReadable(bufferevent* /*bev*/, void* connection) {
  auto& it = *static_cast<CallerConnection*>(connection);
  it.connections->Read(it);
}

void CallerConnections::OnWritten(bufferevent* /*bev*/, void* connection) {
  auto& it = *static_cast<CallerConnection*>(connection);
  it.last_activity_at = net::MonotonicNow();
  if (it.closes_when_written && !it.is_lingering) {
    it.connections->StartLinger(it);
    return;
  }
  if (it.pending_answers.empty()) return;
  const PendingAnswer& first = it.pending_answers.front();
  if (first.stream) it.connections->drained_.emit(first.call);
}

void CallerConnections::OnEvent(bufferevent* /*bev*/, short what,  // NOLINT
                                void* connection) {
  auto& it = *static_cast<CallerConnection*>(connection);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    it.connections->Close(it.id);
  }
}

void CallerConnections::Read(CallerConnection& connection) {
  evbuffer* input = bufferevent_get_input(connection.bev);
  const std::uint64_t id = connection.id;
  connection.last_activity_at = net::MonotonicNow();
  char buf[kReadBufferBytes];
  while (evbuffer_get_length(input) > 0) {
    const int n = evbuffer_remove(input, buf, sizeof(buf));
    if (n <= 0) return;
    if (connection.discards_input || connection.is_lingering) continue;
    const bool was_in_message = connection.parser.in_message();
    std::vector<http1::Request> requests;
    const auto failure = connection.parser.Feed(
        std::string_view(buf, static_cast<std::size_t>(n)), requests);
    if (!was_in_message || !requests.empty()) {
      connection.message_started_at = connection.last_activity_at;
    }
    HandleRequests(connection, requests);
    if (!connections_.contains(id)) return;
    if (failure && !connection.discards_input) {
      RejectInput(connection, StatusOf(*failure));
      return;
    }
  }
  if (connection.parser.TakeExpectsContinue() &&
      connection.pending_answers.empty()) {
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(connection.bev, kContinue.data(), kContinue.size());
  }
  const bool is_full =
      connection.pending_answers.size() >= kMaxPipelinedRequests ||
      UnsentBytes(connection) >= kMaxUnsentBytes;
  if (is_full) bufferevent_disable(connection.bev, EV_READ);
}

void CallerConnections::HandleRequests(CallerConnection& connection,
                                       std::vector<http1::Request>& requests) {
  const std::uint64_t id = connection.id;
  for (auto& it : requests) {
    if (connection.discards_input) return;
    const CallId call(++last_call_id_);
    connection.pending_answers.push_back(
        {call, it.method == "HEAD", it.accepts_chunks});
    connection.discards_input = !it.keep_alive;
    connection_of_call_.emplace(call, id);
    request_.emit(call, it);
    // The connection may be closed if the request was answered immediately.
    if (!connections_.contains(id)) return;
  }
}

void CallerConnections::RejectInput(CallerConnection& connection, int status) {
  connection.discards_input = true;
  PendingAnswer pending;
  pending.response = http1::Response{status, {}, "", false};
  connection.pending_answers.push_back(std::move(pending));
  WriteReadyAnswers(connection);
}

void CallerConnections::Answer(CallId call, const http1::Response& response,
                               bool close) {
  const auto it = connection_of_call_.find(call);
  if (it == connection_of_call_.end()) return;
  CallerConnection& connection = *connections_.at(it->second);
  connection_of_call_.erase(it);
  const auto pending =
      std::ranges::find(connection.pending_answers, call, &PendingAnswer::call);
  pending->close = close;
  pending->response = response;
  WriteReadyAnswers(connection);
}

CallerConnection* CallerConnections::FindConnection(CallId call) const {
  const auto it = connection_of_call_.find(call);
  return it == connection_of_call_.end() ? nullptr
                                         : connections_.at(it->second).get();
}

AnswerStream* CallerConnections::FindStream(CallerConnection& connection,
                                            CallId call) {
  const auto it =
      std::ranges::find(connection.pending_answers, call, &PendingAnswer::call);
  const bool is_started =
      it != connection.pending_answers.end() && it->stream.has_value();
  return is_started ? &*it->stream : nullptr;
}

bool CallerConnections::CanStream(CallId call, bool has_length) const {
  const CallerConnection* connection = FindConnection(call);
  if (connection == nullptr || has_length) return true;
  const auto it = std::ranges::find(connection->pending_answers, call,
                                    &PendingAnswer::call);
  return it->accepts_chunks;
}

void CallerConnections::StartAnswer(CallId call, const http1::Response& head) {
  CallerConnection* connection = FindConnection(call);
  if (connection == nullptr) return;
  const auto it = std::ranges::find(connection->pending_answers, call,
                                    &PendingAnswer::call);
  it->stream = AnswerStream{head, !http1::HasLength(head)};
  WriteReadyAnswers(*connection);
}

void CallerConnections::AppendToAnswer(CallId call, const std::string& part) {
  CallerConnection* connection = FindConnection(call);
  if (connection == nullptr) return;
  AnswerStream* stream = FindStream(*connection, call);
  if (stream == nullptr) return;
  stream->waiting += stream->is_chunked ? http1::FormatChunk(part) : part;
  WriteReadyAnswers(*connection);
}

void CallerConnections::EndAnswer(CallId call) {
  CallerConnection* connection = FindConnection(call);
  if (connection == nullptr) return;
  AnswerStream* stream = FindStream(*connection, call);
  if (stream == nullptr) return;
  if (stream->is_chunked) stream->waiting += http1::kLastChunk;
  stream->is_ended = true;
  connection_of_call_.erase(call);
  WriteReadyAnswers(*connection);
}

void CallerConnections::BreakAnswer(CallId call) {
  const CallerConnection* connection = FindConnection(call);
  if (connection == nullptr) return;
  connection_of_call_.erase(call);
  Close(connection->id);
}

std::size_t CallerConnections::BacklogOf(CallId call) const {
  CallerConnection* connection = FindConnection(call);
  if (connection == nullptr) return 0;
  const AnswerStream* stream = FindStream(*connection, call);
  return UnsentBytes(*connection) +
         (stream == nullptr ? 0 : stream->waiting.size());
}

bool CallerConnections::IsLastAnswer(CallerConnection& connection) const {
  if (connection.pending_answers.front().close || closes_after_answers_) {
    connection.discards_input = true;
  }
  // Callers take requests behind a closing answer for unread and send them
  // again, so that those that were passed on are answered first.
  return connection.discards_input && connection.pending_answers.size() == 1;
}

bool CallerConnections::WriteFirstAnswer(CallerConnection& connection) {
  PendingAnswer& first = connection.pending_answers.front();
  const auto write = [&connection](const std::string& bytes) {
    bufferevent_write(connection.bev, bytes.data(), bytes.size());
  };
  if (first.response) {
    const bool is_last = IsLastAnswer(connection);
    write(http1::FormatResponse(*first.response, is_last, first.is_head));
    connection.closes_when_written = is_last;
    return true;
  }
  if (!first.stream) return false;
  AnswerStream& stream = *first.stream;
  if (!std::exchange(stream.is_head_written, true)) {
    stream.closes = IsLastAnswer(connection);
    write(http1::FormatHead(stream.head, stream.closes));
  }
  write(std::exchange(stream.waiting, {}));
  connection.closes_when_written = stream.is_ended && stream.closes;
  return stream.is_ended;
}

void CallerConnections::WriteReadyAnswers(CallerConnection& connection) {
  while (!connection.pending_answers.empty() && WriteFirstAnswer(connection)) {
    connection.pending_answers.pop_front();
  }
  connection.last_activity_at = net::MonotonicNow();
  if (!connection.closes_when_written &&
      connection.pending_answers.size() < kMaxPipelinedRequests &&
      UnsentBytes(connection) < kMaxUnsentBytes) {
    bufferevent_enable(connection.bev, EV_READ);
  }
}

void CallerConnections::StartLinger(CallerConnection& connection) {
  connection.is_lingering = true;
  connection.linger_started_at = net::MonotonicNow();
  shutdown(bufferevent_getfd(connection.bev), SHUT_WR);
  bufferevent_enable(connection.bev, EV_READ);
}

void CallerConnections::Close(std::uint64_t id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  const auto connection = std::move(it->second);
  connections_.erase(it);
  for (const PendingAnswer& pending : connection->pending_answers) {
    if (connection_of_call_.erase(pending.call) > 0)
      caller_left_.emit(pending.call);
  }
}

bool CallerConnections::IsExpired(const CallerConnection& connection,
                                  TimePoint now) const {
  if (connection.is_lingering) {
    return now - connection.linger_started_at > kLingerTimeout;
  }
  if (!connection.pending_answers.empty()) return false;
  return now - connection.last_activity_at > limits_.idle_timeout &&
         !HasUnreadInput(connection);
}

void CallerConnections::Sweep(TimePoint now) {
  std::vector<std::uint64_t> expired;
  std::vector<CallerConnection*> stalled;
  for (const auto& [id, connection] : connections_) {
    if (IsExpired(*connection, now)) {
      expired.push_back(id);
    } else if (connection->parser.in_message() && !connection->discards_input &&
               now - connection->message_started_at > limits_.header_timeout &&
               now - connection->last_activity_at > limits_.header_timeout &&
               !HasUnreadInput(*connection)) {
      stalled.push_back(connection.get());
    }
  }
  for (const std::uint64_t it : expired) Close(it);
  for (CallerConnection* it : stalled) RejectInput(*it, kStatusRequestTimeout);
}

void CallerConnections::CloseIdle() {
  std::vector<std::uint64_t> idle;
  for (const auto& [id, connection] : connections_) {
    const bool is_busy =
        !connection->pending_answers.empty() ||
        connection->parser.in_message() || connection->is_lingering ||
        UnsentBytes(*connection) > 0 || HasUnreadInput(*connection);
    if (!is_busy) idle.push_back(id);
  }
  for (const std::uint64_t it : idle) StartLinger(*connections_.at(it));
}

}  // namespace ibisladder::gateway
