#include "plugins/gateway/server_connections.h"

#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <optional>
#include <utility>

#include "libs/http1/message_parser.h"
#include "libs/net/socket_address.h"

namespace ibisladder::gateway {

namespace Internal {

struct ServerConnection {
  ServerConnection(ServerConnections* owner, std::uint64_t number,
                   bufferevent* socket, const http1::Limits& limits)
      : connections(owner),
        id(number),
        bev(socket),
        parser(http1::ResponseParser::Create(limits)) {}
  ~ServerConnection() { bufferevent_free(bev); }
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  ServerConnections* connections;
  std::uint64_t id;
  bufferevent* bev;
  http1::ResponseParser parser;
  BackendServerId server;
  bool is_connected = false;
  /// Being opened without a request.
  bool is_spare = false;
  TimePoint opened_at;
  /// Empty while the connection is idle.
  std::optional<AttemptId> attempt;
  std::string request_id;
  bool is_instance = false;
  /// Hashes of the IDs of earlier requests on this connection, latest last.
  std::deque<std::size_t> earlier_ids;
  std::size_t request_bytes = 0;
  /// Read since the request was sent.
  std::size_t answer_bytes = 0;
  /// How the answer is received: not decided, as a whole, or in parts.
  enum class Mode : std::uint8_t { kUndecided, kWhole, kParts };
  Mode mode = Mode::kUndecided;
  TimePoint idle_since;
  Duration idle_timeout{};
};

}  // namespace Internal

using Internal::ServerConnection;

namespace {

/// Servers accept connections within a few milliseconds. A lost SYN packet is
/// resent only after a second; trying another server is faster.
constexpr Duration kConnectTimeout = Millis(300);
/// Shorter than the time after which servers close idle connections.
constexpr Duration kIdleTimeout = Seconds(6);
/// Subtracted from the idle timeout that a server advertises.
constexpr Duration kIdleMargin = Seconds(1);
constexpr std::size_t kMaxIdleConnections = 4;
/// Number of earlier requests of a connection whose answers may come once more;
/// a request is repeated within seconds.
constexpr std::size_t kMaxEarlierIds = 64;
constexpr std::size_t kReadBufferBytes = 16384;
/// Maximum size of all answers together that are not complete. They must fit an
/// instance of 260 MB while strings grow by doubling.
constexpr std::size_t kMaxReceivedBytes = 64U << 20U;

/// Returns the timeout in seconds of a field like
/// "Keep-Alive: timeout=5, max=100".
std::optional<Duration> AdvertisedIdleTimeout(const http1::Headers& headers) {
  constexpr std::string_view kName = "timeout=";
  const std::string* value = http1::FindHeader(headers, "Keep-Alive");
  if (value == nullptr) return std::nullopt;
  const std::size_t at = value->find(kName);
  if (at == std::string::npos) return std::nullopt;
  int seconds = 0;
  const char* begin = value->data() + at + kName.size();
  const auto [end, ec] =
      std::from_chars(begin, value->data() + value->size(), seconds);
  if (ec != std::errc() || seconds < 0) return std::nullopt;
  return Seconds(seconds);
}

Duration IdleTimeoutOf(const http1::Response& response) {
  const auto advertised = AdvertisedIdleTimeout(response.headers);
  if (!advertised) return kIdleTimeout;
  return std::max(*advertised - kIdleMargin, *advertised / 2);
}

std::size_t HashOf(const std::string& request_id) {
  return std::hash<std::string>()(request_id);
}

std::size_t UnsentBytes(const ServerConnection& connection) {
  return evbuffer_get_length(bufferevent_get_output(connection.bev));
}

/// Whether the kernel has taken any byte of the request, so that the server may
/// execute it. After a stall, the request is written before the callback that
/// reports the connect runs.
bool HasSentBytes(const ServerConnection& connection) {
  return UnsentBytes(connection) < connection.request_bytes;
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
  connection->mode = ServerConnection::Mode::kUndecided;
  connection->parser.ExpectHead(exchange.is_head);
  connection_of_attempt_[exchange.attempt] = connection->id;
  bufferevent_write(connection->bev, exchange.bytes.data(),
                    exchange.bytes.size());
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
  it.connections->Read(it);
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
  it.connections->HandleDisconnect(it, (what & BEV_EVENT_EOF) != 0);
}

void ServerConnections::HandleConnected(ServerConnection& connection) {
  connection.is_connected = true;
  if (!std::exchange(connection.is_spare, false)) return;
  const BackendServerId server = connection.server;
  Close(connection.id);
  spare_ended_.emit(server, true);
}

void ServerConnections::KeepOrClose(ServerConnection& connection,
                                    Duration idle_timeout) {
  auto& idle = idle_[connection.server];
  if (idle.size() >= kMaxIdleConnections) {
    Close(connection.id);
    return;
  }
  connection.idle_since = net::MonotonicNow();
  connection.idle_timeout = idle_timeout;
  idle.push_back(connection.id);
}

void ServerConnections::Read(ServerConnection& connection) {
  // Without an open request, the bytes are a late or second answer.
  if (!connection.attempt) {
    Close(connection.id);
    return;
  }
  evbuffer* input = bufferevent_get_input(connection.bev);
  std::vector<http1::Response> responses;
  char buf[kReadBufferBytes];
  std::optional<http1::ParseFailure> failure;
  while (!failure && evbuffer_get_length(input) > 0) {
    const int n = evbuffer_remove(input, buf, sizeof(buf));
    if (n <= 0) break;
    connection.answer_bytes += static_cast<std::size_t>(n);
    received_bytes_ += static_cast<std::size_t>(n);
    failure = connection.parser.Feed(
        std::string_view(buf, static_cast<std::size_t>(n)), responses);
    if (responses.empty() && received_bytes_ > kMaxReceivedBytes) {
      failure = http1::ParseFailure::kBodyTooLarge;
    }
  }
  const std::uint64_t id = connection.id;
  if (!responses.empty()) {
    HandleAnswer(connection, responses, !failure);
  } else if (!failure) {
    StreamAnswer(connection);
  }
  if (!failure || !connections_.contains(id)) return;
  if (connection.attempt) {
    Fail(connection, AttemptFailure::kTruncated);
  } else {
    Close(id);
  }
}

/// Emits what was received of the body, if it is received in parts.
void ServerConnections::StreamAnswer(ServerConnection& connection) {
  const std::uint64_t id = connection.id;
  const bool is_offered =
      stream_threshold_ > 0 &&
      connection.mode == ServerConnection::Mode::kUndecided &&
      connection.parser.body_bytes() >= stream_threshold_;
  if (is_offered) OfferStream(connection);
  if (!connections_.contains(id) || !connection.attempt ||
      connection.mode != ServerConnection::Mode::kParts) {
    return;
  }
  received_bytes_ -= std::exchange(connection.answer_bytes, 0);
  const std::string part = connection.parser.TakeBody();
  if (!part.empty()) answer_part_.emit(*connection.attempt, part);
}

void ServerConnections::OfferStream(ServerConnection& connection) {
  connection.mode = ServerConnection::Mode::kWhole;
  http1::Response head = connection.parser.PartialHead();
  if (Match(connection, head) == AnswerMatch::kMatches) {
    answer_started_.emit(*connection.attempt, head);
  }
}

ServerConnection* ServerConnections::FindByAttempt(AttemptId attempt) {
  const auto it = connection_of_attempt_.find(attempt);
  return it == connection_of_attempt_.end() ? nullptr
                                            : connections_.at(it->second).get();
}

void ServerConnections::Stream(AttemptId attempt) {
  if (auto* it = FindByAttempt(attempt)) {
    it->mode = ServerConnection::Mode::kParts;
  }
}

void ServerConnections::SetPaused(AttemptId attempt, bool is_paused) {
  const auto* it = FindByAttempt(attempt);
  if (it == nullptr) return;
  if (is_paused) {
    bufferevent_disable(it->bev, EV_READ);
  } else {
    bufferevent_enable(it->bev, EV_READ);
  }
}

AnswerMatch ServerConnections::Match(const ServerConnection& connection,
                                     const http1::Response& response) const {
  const AnswerMatch match = matches_request_(response, connection.request_id);
  // On a new connection, no other request can be meant.
  const bool is_certain = connection.is_instance ||
                          connection.request_id.empty() ||
                          connection.earlier_ids.empty();
  return match == AnswerMatch::kUnnamed && is_certain ? AnswerMatch::kMatches
                                                      : match;
}

void ServerConnections::HandleAnswer(ServerConnection& connection,
                                     std::vector<http1::Response>& responses,
                                     bool is_intact) {
  const auto it = std::ranges::find_if(responses, [&](const auto& response) {
    return Match(connection, response) != AnswerMatch::kOther;
  });
  if (it == responses.end()) return;
  if (Match(connection, *it) == AnswerMatch::kUnnamed) {
    Fail(connection, AttemptFailure::kTruncated);
    return;
  }
  http1::Response response = std::move(*it);
  connection.earlier_ids.push_back(HashOf(connection.request_id));
  if (connection.earlier_ids.size() > kMaxEarlierIds) {
    connection.earlier_ids.pop_front();
  }
  const AttemptId attempt = *std::exchange(connection.attempt, std::nullopt);
  connection_of_attempt_.erase(attempt);
  received_bytes_ -= std::exchange(connection.answer_bytes, 0);
  // If the answer came early, the rest of the request is still being sent.
  const bool is_reusable =
      is_intact && responses.size() == 1 && response.keep_alive &&
      !connection.parser.in_message() && UnsentBytes(connection) == 0;
  if (is_reusable) {
    // The end of an idle connection must be noticed, also after a pause.
    bufferevent_enable(connection.bev, EV_READ);
    KeepOrClose(connection, IdleTimeoutOf(response));
  } else {
    Close(connection.id);
  }
  answer_.emit(attempt, response);
}

void ServerConnections::HandleDisconnect(ServerConnection& connection,
                                         bool is_eof) {
  if (!connection.attempt && !connection.is_spare) {
    Close(connection.id);
    return;
  }
  const std::uint64_t id = connection.id;
  if (is_eof && connection.parser.in_message()) {
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
  for (const auto& [id, it] : connections_) {
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
}

}  // namespace ibisladder::gateway
