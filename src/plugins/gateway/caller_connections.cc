#include "plugins/gateway/caller_connections.h"

#include <event2/buffer.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <optional>
#include <utility>

#include "libs/net/socket_address.h"
#include "plugins/gateway/caller_connection.h"

namespace ibisladder::gateway {

using Internal::CallerConnection;
using Internal::PendingAnswer;

namespace {

constexpr int kBacklog = 1024;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;
constexpr int kStatusUnavailable = 503;

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

/// Returns the memory of a request while it waits for its answer.
std::size_t MemoryOf(const http1::Request& request) {
  constexpr std::size_t kFieldOverhead = 160;
  std::size_t n = request.target.size() + request.body.size();
  for (const auto& [name, value] : request.headers) {
    n += name.size() + value.size() + kFieldOverhead;
  }
  return n;
}

}  // namespace

Expected<std::unique_ptr<CallerConnections>> CallerConnections::Listen(
    net::EventLoop& loop, const Endpoint& endpoint, CallId before_first,
    ConnectionGuardPtr guard) {
  auto address = net::ToSocketAddress(endpoint);
  if (!address) return tl::unexpected<Error>(address.error());
  std::unique_ptr<CallerConnections> result(
      new CallerConnections(loop, std::move(guard)));
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

CallerConnections::CallerConnections(net::EventLoop& loop,
                                     ConnectionGuardPtr guard)
    : loop_(loop), guard_(std::move(guard)) {
  if (!guard_) {
    guard_ = std::make_shared<ConnectionGuard>(memory::MakeBudget(0));
  }
  guard_->Add(this);
}

CallerConnections::~CallerConnections() {
  for (const auto& [id, it] : connections_) ForgetHoldings(*it);
  guard_->Remove(this);
}

void CallerConnections::OnAccept(evconnlistener* /*listener*/,
                                 evutil_socket_t fd, sockaddr* address,
                                 int /*size*/, void* self) {
  auto& owner = *static_cast<CallerConnections*>(self);
  const std::string ip = net::ToEndpoint(address).address;
  if (!owner.MakeRoom()) {
    owner.guard_->Count(GuardReason::kDescriptors, ip);
    evutil_closesocket(fd);
    return;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent* bev =
      bufferevent_socket_new(owner.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
  const std::uint64_t id = ++owner.last_connection_id_;
  auto connection =
      std::make_unique<CallerConnection>(&owner, id, bev, owner.MakeParser(ip));
  connection->address = ip;
  connection->last_activity_at = net::MonotonicNow();
  bufferevent_setcb(bev, &CallerConnections::OnReadable,
                    &CallerConnections::OnWritten, &CallerConnections::OnEvent,
                    connection.get());
  bufferevent_enable(bev, EV_READ | EV_WRITE);
  owner.UpdateHoldings(*connection);
  owner.connections_.emplace(id, std::move(connection));
}

http1::RequestParser CallerConnections::MakeParser(
    const std::string& address) const {
  http1::Limits limits;
  limits.header_bytes = limits_.header_bytes;
  limits.body_bytes = limits_.body_bytes;
  limits.fields = limits_.fields;
  return http1::RequestParser::Create(
      limits, [this, address](const http1::Request& head) {
        if (needs_body_ && !needs_body_(head)) return false;
        if (memory::MayStoreBody(guard_->budget())) return true;
        guard_->Count(GuardReason::kNoBody, address);
        return false;
      });
}

std::string CallerConnections::AddressOf(CallId call) const {
  const auto it = connection_of_call_.find(call);
  if (it == connection_of_call_.end()) return "";
  const auto connection = connections_.find(it->second);
  return connection == connections_.end() ? "" : connection->second->address;
}

void CallerConnections::OnReadable(bufferevent* /*bev*/, void* connection) {
  auto& it = *static_cast<CallerConnection*>(connection);
  CallerConnections& owner = *it.connections;
  it.last_activity_at = net::MonotonicNow();
  owner.Read(it);
  // May close the connection.
  owner.guard_->Reclaim(net::MonotonicNow());
}

void CallerConnections::OnWritten(bufferevent* /*bev*/, void* connection) {
  auto& it = *static_cast<CallerConnection*>(connection);
  it.last_activity_at = net::MonotonicNow();
  it.connections->UpdateHoldings(it);
  if (it.closes_when_written && !it.is_lingering) {
    it.connections->StartLinger(it);
    return;
  }
  it.connections->ResumeReading(it);
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

bool CallerConnections::MayRead(const CallerConnection& connection) const {
  if (connection.parser.in_message()) return true;
  if (connection.pending_answers.size() >= Internal::kMaxPipelinedRequests ||
      UnsentBytes(connection) >= Internal::kMaxUnsentBytes) {
    return false;
  }
  return connection.pending_answers.empty() ||
         memory::MayReadAhead(guard_->budget());
}

void CallerConnections::Read(CallerConnection& connection) {
  evbuffer* input = bufferevent_get_input(connection.bev);
  const std::uint64_t id = connection.id;
  const TimePoint now = net::MonotonicNow();
  // Whatever was taken from the socket is passed on or refused now: its caller
  // waits for an answer, and can no longer tell that it was not read.
  while (UnreadBytes(connection) > 0) {
    if (connection.discards_input || connection.is_lingering) {
      evbuffer_drain(input, UnreadBytes(connection));
      break;
    }
    const bool was_in_message = connection.parser.in_message();
    if (!was_in_message && !memory::MayAccept(guard_->budget())) {
      guard_->Count(GuardReason::kMemory, connection.address);
      RejectInput(connection, kStatusUnavailable);
      return;
    }
    const std::size_t size = evbuffer_get_contiguous_space(input);
    const auto* bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
    std::vector<http1::Request> requests;
    const auto [consumed, failure] = connection.parser.FeedUpTo(
        1, {reinterpret_cast<const char*>(bytes), size}, requests);
    evbuffer_drain(input, failure ? size : consumed);
    memory::Advance(connection.received, consumed, now);
    if (!was_in_message || !requests.empty()) {
      connection.message_started_at = now;
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
  // What follows stays in the socket, where its caller sees that it is unread.
  if (!connection.discards_input && !MayRead(connection))
    bufferevent_disable(connection.bev, EV_READ);
  Internal::AdaptPriority(connection);
  UpdateHoldings(connection);
}

void CallerConnections::ResumeReading(CallerConnection& connection) {
  if (connection.is_lingering || connection.closes_when_written) return;
  if (!IsReading(connection) && MayRead(connection))
    bufferevent_enable(connection.bev, EV_READ);
}

void CallerConnections::HandleRequests(CallerConnection& connection,
                                       std::vector<http1::Request>& requests) {
  const std::uint64_t id = connection.id;
  for (auto& it : requests) {
    if (connection.discards_input) return;
    const CallId call(++last_call_id_);
    PendingAnswer pending{call, it.method == "HEAD", it.accepts_chunks};
    pending.request_bytes = MemoryOf(it);
    connection.waiting_bytes += pending.request_bytes;
    connection.pending_answers.push_back(std::move(pending));
    connection.discards_input = !it.keep_alive;
    connection_of_call_.emplace(call, id);
    request_.emit(call, it);
    // The connection may be closed if the request was answered immediately.
    if (!connections_.contains(id)) return;
  }
}

bool CallerConnections::IsPipelined(CallId call) const {
  const CallerConnection* connection = FindConnection(call);
  if (connection == nullptr) return false;
  const bool has_earlier = connection->pending_answers.front().call != call;
  return has_earlier || UnreadBytes(*connection) > 0;
}

void CallerConnections::StopReading(CallerConnection& connection) {
  connection.discards_input = true;
  connection.parser = MakeParser(connection.address);
  evbuffer_drain(bufferevent_get_input(connection.bev),
                 UnreadBytes(connection));
  bufferevent_enable(connection.bev, EV_READ);
}

void CallerConnections::RejectInput(CallerConnection& connection, int status) {
  const bool is_answered = connection.parser.is_dropping();
  StopReading(connection);
  if (is_answered) {
    // The answer may have been written as if others would follow.
    if (connection.pending_answers.empty()) {
      connection.closes_when_written = true;
      if (UnsentBytes(connection) == 0) StartLinger(connection);
    }
    UpdateHoldings(connection);
    return;
  }
  PendingAnswer pending;
  pending.response = http1::Response{status, {}, "", false};
  if (status == kStatusUnavailable) {
    pending.response->headers = refusal_fields_;
    pending.response->headers.emplace_back("Retry-After", "1");
  }
  connection.pending_answers.push_back(std::move(pending));
  WriteReadyAnswers(connection);
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
  ForgetHoldings(*connection);
  std::vector<CallId> unanswered;
  for (const PendingAnswer& pending : connection->pending_answers) {
    if (connection_of_call_.erase(pending.call) > 0)
      unanswered.push_back(pending.call);
  }
  if (!unanswered.empty()) callers_left_.emit(unanswered);
}

}  // namespace ibisladder::gateway
