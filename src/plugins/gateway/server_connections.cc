#include "plugins/gateway/server_connections.h"

#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "libs/net/socket_address.h"
#include "plugins/gateway/server_connection.h"

namespace ibisladder::gateway {

using Internal::HashOf;
using Internal::ServerConnection;

namespace {

/// Servers accept connections within a few milliseconds. A lost SYN packet is
/// resent only after a second; trying another server is faster.
constexpr Duration kConnectTimeout = Millis(300);
/// Whether the kernel has taken any byte of the request, so that the server may
/// execute it. After a stall, the request is written before the callback that
/// reports the connect runs.
bool HasSentBytes(const ServerConnection& connection) {
  return UnsentBytes(connection) < connection.request_bytes;
}

/// Whether the server's kernel has taken the whole request. A server that
/// closes the connection earlier may have failed while it sent its answer. Also
/// false if a write failed: the read after it may report a regular end instead
/// of a reset.
bool IsRequestDelivered(const ServerConnection& connection) {
  return UnsentBytes(connection) == 0 &&
         net::IsOutputAcknowledged(bufferevent_getfd(connection.bev));
}

/// Whether the kernel has opened the connection or has failed to; a callback
/// reports either.
bool IsOpened(const ServerConnection& connection) {
  const int fd = bufferevent_getfd(connection.bev);
  return fd >= 0 && !net::IsConnecting(fd);
}

/// Whether an idle connection has received bytes, which belong to no further
/// request, or has ended. After a stall, the next request comes before the
/// callback that reports either.
bool HasInput(const ServerConnection& connection) {
  return evbuffer_get_length(bufferevent_get_input(connection.bev)) > 0 ||
         net::HasUnreadInput(bufferevent_getfd(connection.bev));
}

}  // namespace

ServerConnections::ServerConnections(net::EventLoop& loop,
                                     const http1::Limits& limits,
                                     RequestMatcher matches_request)
    : loop_(loop), limits_(limits), matches_request_(matches_request) {}

ServerConnections::~ServerConnections() = default;

void ServerConnections::Send(ServerExchange exchange) {
  ServerConnection* connection = TakeIdle(exchange);
  if (connection == nullptr) {
    connection = &Open(exchange.server, exchange.endpoint);
  }
  connection->attempt = exchange.attempt;
  connection->request_id = std::move(exchange.request_id);
  connection->is_instance = exchange.is_instance;
  connection->request_bytes = exchange.bytes.size();
  unsent_bytes_ += exchange.bytes.size();
  connection->mode = ServerConnection::Mode::kUndecided;
  connection->parser.ExpectHead(exchange.is_head);
  connection_of_attempt_[exchange.attempt] = connection->id;
  bufferevent_write(connection->bev, exchange.bytes.data(),
                    exchange.bytes.size());
  ReportMemory();
}

ServerConnection* ServerConnections::TakeIdle(const ServerExchange& exchange) {
  const auto idle = idle_.find(exchange.server);
  if (idle == idle_.end()) return nullptr;
  const std::vector<std::uint64_t> ids(idle->second.rbegin(),
                                       idle->second.rend());
  for (const std::uint64_t id : ids) {
    ServerConnection& connection = *connections_.at(id);
    const Duration age = net::MonotonicNow() - connection.idle_since;
    if (age > connection.idle_timeout || HasInput(connection)) {
      Close(id);
      continue;
    }
    // The server may write its earlier answer to a repeated request once more.
    const bool is_repeated = !exchange.request_id.empty() &&
                             std::ranges::find(connection.earlier_ids,
                                               HashOf(exchange.request_id)) !=
                                 connection.earlier_ids.end();
    if (is_repeated) continue;
    std::erase(idle_.at(exchange.server), id);
    return &connection;
  }
  return nullptr;
}

void ServerConnections::OpenSpare(BackendServerId server,
                                  const Endpoint& endpoint) {
  Open(server, endpoint).is_spare = true;
}

void ServerConnections::CloseIdle(BackendServerId server) {
  const auto it = idle_.find(server);
  if (it == idle_.end()) return;
  for (const std::uint64_t id : std::vector<std::uint64_t>(it->second)) {
    Close(id);
  }
}

ServerConnection& ServerConnections::Open(BackendServerId server,
                                          const Endpoint& endpoint) {
  bufferevent* bev = bufferevent_socket_new(
      loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  const std::uint64_t id = ++last_connection_id_;
  auto owned = std::make_unique<ServerConnection>(this, id, bev, limits_);
  ServerConnection& connection = *owned;
  connection.server = server;
  connection.opened_at = net::MonotonicNow();
  connections_.emplace(id, std::move(owned));
  bufferevent_setcb(bev, &ServerConnections::OnReadable, nullptr,
                    &ServerConnections::OnEvent, &connection);
  bufferevent_enable(bev, EV_READ | EV_WRITE);
  const auto address = net::ToSocketAddress(endpoint);
  // A failure is reported to OnEvent, or becomes a connect timeout in Sweep.
  if (address) {
    bufferevent_socket_connect(bev, address->get(),
                               static_cast<int>(address->size));
  }
  return connection;
}

void ServerConnections::OnReadable(bufferevent* /*bev*/, void* connection) {
  auto& it = *static_cast<ServerConnection*>(connection);
  ServerConnections& owner = *it.connections;
  owner.Read(it);
  owner.ReportMemory();
}

void ServerConnections::OnEvent(bufferevent* bev, short what,  // NOLINT
                                void* connection) {
  auto& it = *static_cast<ServerConnection*>(connection);
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    const int on = 1;
    setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
    it.connections->HandleConnected(it);
    return;
  }
  // Deferred callbacks may report a failed write and the end of the input at
  // once.
  const bool is_regular =
      (what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0;
  it.connections->HandleDisconnect(it, is_regular);
}

void ServerConnections::HandleConnected(ServerConnection& connection) {
  connection.is_connected = true;
  if (!std::exchange(connection.is_spare, false)) return;
  const BackendServerId server = connection.server;
  Close(connection.id);
  spare_ended_.emit(server, true);
}

void ServerConnections::HandleDisconnect(ServerConnection& connection,
                                         bool is_regular) {
  if (!connection.attempt && !connection.is_spare) {
    Close(connection.id);
    return;
  }
  const std::uint64_t id = connection.id;
  const bool may_be_whole = is_regular && IsRequestDelivered(connection);
  if (may_be_whole && connection.parser.in_message()) {
    std::vector<http1::Response> responses;
    connection.parser.FeedEnd(responses);
    if (!responses.empty()) HandleAnswer(connection, responses, false);
    if (!connections_.contains(id)) return;
  }
  AttemptFailure failure = AttemptFailure::kConnectionLost;
  if (!HasSentBytes(connection)) {
    failure = AttemptFailure::kConnectFailed;
  } else if (connection.parser.in_message()) {
    failure = AttemptFailure::kTruncated;
  }
  Fail(connection, failure);
}

void ServerConnections::Fail(ServerConnection& connection,
                             AttemptFailure failure, bool is_connect_timeout) {
  const auto attempt = std::exchange(connection.attempt, std::nullopt);
  ExchangeFailure result;
  result.failure = failure;
  result.request_id = std::move(connection.request_id);
  result.is_connect_timeout = is_connect_timeout;
  result.connection_age = net::MonotonicNow() - connection.opened_at;
  result.unwritten = UnsentBytes(connection);
  result.written = connection.request_bytes - result.unwritten;
  const BackendServerId server = connection.server;
  const bool is_spare = connection.is_spare;
  Close(connection.id);
  if (is_spare) spare_ended_.emit(server, false);
  if (!attempt) return;
  connection_of_attempt_.erase(*attempt);
  result.attempt = *attempt;
  failure_.emit(result);
}

void ServerConnections::Cancel(AttemptId attempt) {
  const auto it = connection_of_attempt_.find(attempt);
  if (it == connection_of_attempt_.end()) return;
  const std::uint64_t id = it->second;
  connection_of_attempt_.erase(it);
  Close(id);
}

void ServerConnections::Close(std::uint64_t id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  if (const auto idle = idle_.find(it->second->server); idle != idle_.end()) {
    std::erase(idle->second, id);
    if (idle->second.empty()) idle_.erase(idle);
  }
  received_bytes_ -= it->second->answer_bytes;
  connections_.erase(it);
}

void ServerConnections::Sweep(TimePoint now) {
  std::vector<std::uint64_t> unconnected;
  std::vector<std::uint64_t> expired;
  unsent_bytes_ = 0;
  for (const auto& [id, it] : connections_) {
    unsent_bytes_ += UnsentBytes(*it);
    const bool is_due =
        !it->is_connected && now - it->opened_at > kConnectTimeout;
    if (is_due && !IsOpened(*it)) {
      unconnected.push_back(id);
    } else if (!it->attempt && !it->is_spare &&
               now - it->idle_since > it->idle_timeout) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) Close(id);
  for (const std::uint64_t id : unconnected) {
    const auto it = connections_.find(id);
    if (it != connections_.end()) {
      Fail(*it->second, AttemptFailure::kConnectFailed, true);
    }
  }
  ReportMemory();
}

void ServerConnections::ReportMemory() {
  if (budget_ == nullptr) return;
  memory::Holdings held{};
  held[static_cast<std::size_t>(memory::Use::kServers)] =
      received_bytes_ + unsent_bytes_;
  memory::Report(*budget_, reported_, held);
}

void ServerConnections::SetBudget(memory::MemoryBudget* budget) {
  budget_ = budget;
  max_received_bytes_ = std::min(kMaxReceivedBytes, budget->capacity);
}

}  // namespace ibisladder::gateway
