#include "libs/net/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "libs/net/answer_check.h"
#include "libs/net/socket_address.h"

namespace ibisladder::net {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1000000;
constexpr Duration kConnectTimeout = Seconds(1);
/// Below the usual keep-alive time of servers, so that a request is rarely sent
/// on a connection that the server is closing.
constexpr Duration kIdleLimit = Seconds(4);
constexpr std::size_t kMaxHeaderBytes = 64U << 10U;
/// Bytes on the wire per byte of the largest answer: chunks have lengths, and
/// interim answers, which evhttp drops without a limit, may come before it.
constexpr std::size_t kWireBytesFactor = 2;
/// A call whose answer makes progress may take so many times its timeout.
constexpr int kTotalTimeoutFactor = 2;
constexpr Duration kLateTurnGrace = Millis(100);

timeval ToTimeval(Duration duration) {
  timeval result{};
  result.tv_sec = duration.count() / kMicrosPerSecond;
  result.tv_usec = duration.count() % kMicrosPerSecond;
  return result;
}

void SetKeepAliveProbes(int fd) {
  constexpr int kProbeSeconds = 1;
  constexpr int kLostProbes = 2;
  const int on = 1;
  if (fd < 0) return;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeSeconds,
             sizeof(kProbeSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeSeconds,
             sizeof(kProbeSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kLostProbes, sizeof(kLostProbes));
}

std::optional<evhttp_cmd_type> MethodType(const std::string& method) {
  static const std::array<std::pair<const char*, evhttp_cmd_type>, 7> kTypes = {
      {{"GET", EVHTTP_REQ_GET},
       {"POST", EVHTTP_REQ_POST},
       {"HEAD", EVHTTP_REQ_HEAD},
       {"PUT", EVHTTP_REQ_PUT},
       {"DELETE", EVHTTP_REQ_DELETE},
       {"OPTIONS", EVHTTP_REQ_OPTIONS},
       {"PATCH", EVHTTP_REQ_PATCH}}};
  for (const auto& [name, type] : kTypes) {
    if (method == name) return type;
  }
  return std::nullopt;
}

bool RequestsClose(const Headers& headers) {
  const std::string* value = FindHeader(headers, "Connection");
  return value != nullptr && EqualsIgnoreCase(*value, "close");
}

HttpFailure FailureOf(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return HttpFailure::kTimeout;
    case EVREQ_HTTP_DATA_TOO_LONG:
      return HttpFailure::kTooLarge;
    default:
      return HttpFailure::kConnectionLost;
  }
}

}  // namespace

struct HttpClient::Connection {
  Endpoint endpoint;
  evhttp_connection* evhttp = nullptr;
  TimePoint idle_since;
  bool was_used = false;

  Connection() = default;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() {
    if (evhttp != nullptr) evhttp_connection_free(evhttp);
  }
};

struct HttpClient::Exchange {
  HttpClient* client = nullptr;
  std::uint64_t id = 0;
  std::string method;
  std::unique_ptr<Connection> connection;
  evhttp_request* request = nullptr;
  std::optional<HttpFailure> failure;
  bool answer_started = false;
  /// Bytes that have arrived since the call was sent, and what counts them.
  std::size_t received = 0;
  std::size_t max_received = 0;
  evbuffer_cb_entry* input_counter = nullptr;
  std::unique_ptr<Timer> connect_timer;
  std::unique_ptr<Timer> failure_timer;
  std::unique_ptr<Timer> total_timer;
};

HttpClient::HttpClient(EventLoop& loop) : loop_(loop) {
  const auto clean_up = [](evutil_socket_t, short, void* self) {  // NOLINT
    static_cast<HttpClient*>(self)->finished_.clear();
    static_cast<HttpClient*>(self)->discarded_.clear();
  };
  cleanup_event_.reset(event_new(loop.base(), -1, 0, clean_up, this));
}

HttpClient::~HttpClient() {
  for (auto& [id, exchange] : exchanges_) {
    if (exchange->request != nullptr) evhttp_cancel_request(exchange->request);
  }
}

void HttpClient::Send(const HttpCall& call) {
  auto exchange = std::make_unique<Exchange>();
  exchange->client = this;
  exchange->id = call.id;
  exchange->method = call.method;
  Exchange& it = *exchange;
  exchanges_[call.id] = std::move(exchange);
  const auto type = MethodType(call.method);
  Pool& pool = pools_[call.endpoint];
  if (!type || pool.busy >= call.max_connections) {
    ScheduleFailure(call.id, HttpFailure::kConnectFailed);
    return;
  }
  it.connection = TakeConnection(pool, call);
  ++pool.busy;
  evhttp_connection* connection = it.connection->evhttp;
  const timeval timeout = ToTimeval(call.timeout);
  evhttp_connection_set_timeout_tv(connection, &timeout);
  evhttp_connection_set_max_body_size(
      connection, static_cast<ev_ssize_t>(call.max_answer_bytes));

  evhttp_connection_set_max_headers_size(
      connection, static_cast<ev_ssize_t>(kMaxHeaderBytes));
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection),
                           EV_READ, 0, call.max_answer_bytes + kMaxHeaderBytes);
  evbuffer* input =
      bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
  it.max_received = kWireBytesFactor * call.max_answer_bytes + kMaxHeaderBytes;
  it.input_counter = evbuffer_add_cb(input, &HttpClient::OnInput, &it);
  const Duration total = call.total_timeout > Duration::zero()
                             ? call.total_timeout
                             : call.timeout * kTotalTimeoutFactor;
  StartTotalTimer(it, total, [this, &it] {
    // After a stall of the process the answer may only wait to be read.
    StartTotalTimer(it, kLateTurnGrace, [this, id = it.id] {
      Cancel(id);
      error_.emit(HttpError{id, HttpFailure::kTimeout});
    });
  });

  it.request = evhttp_request_new(&HttpClient::OnDone, &it);
  evhttp_request_set_error_cb(it.request, &HttpClient::OnError);
  evhttp_request_set_header_cb(it.request, &HttpClient::OnHeader);
  evkeyvalq* fields = evhttp_request_get_output_headers(it.request);
  evhttp_add_header(fields, "Host", FormatEndpoint(call.endpoint).c_str());
  for (const auto& [name, value] : call.headers) {
    if (!IsHopByHop(name)) {
      evhttp_add_header(fields, name.c_str(), value.c_str());
    }
  }
  evbuffer_add(evhttp_request_get_output_buffer(it.request), call.body.data(),
               call.body.size());
  if (!it.connection->was_used) {
    it.connect_timer = std::make_unique<Timer>(
        loop_, Timer::Kind::kOnce, std::min(kConnectTimeout, call.timeout),
        [this, id = call.id] { CheckConnected(id); });
  }
  it.connection->was_used = true;
  if (evhttp_make_request(connection, it.request, *type, call.target.c_str()) !=
      0) {
    // evhttp fails here before any byte is written, and may already have called
    // OnDone, which finished the exchange.
    if (exchanges_.count(call.id) == 0) return;
    it.request = nullptr;
    ScheduleFailure(call.id, HttpFailure::kConnectFailed);
    return;
  }
  if (call.keep_alive_probes) {
    const int fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    SetKeepAliveProbes(fd);
  }
}

void HttpClient::StartTotalTimer(Exchange& exchange, Duration time,
                                 std::function<void()> action) {
  exchange.total_timer = std::make_unique<Timer>(loop_, Timer::Kind::kOnce,
                                                 time, std::move(action));
}

void HttpClient::Cancel(std::uint64_t id) {
  if (auto exchange = TakeExchange(id)) {
    evhttp_request* request = std::exchange(exchange->request, nullptr);
    if (request != nullptr) evhttp_cancel_request(request);
    // Freed later: evhttp may still be on the call stack.
    finished_.push_back(std::move(exchange));
    event_active(cleanup_event_.get(), EV_TIMEOUT, 0);
  }
}

std::size_t HttpClient::ReceivedBytes(std::uint64_t id) const {
  const auto it = exchanges_.find(id);
  return it == exchanges_.end() ? 0 : it->second->received;
}

void HttpClient::OnInput(evbuffer* /*input*/, const evbuffer_cb_info* info,
                         void* exchange) {
  auto* it = static_cast<Exchange*>(exchange);
  it->received += info->n_added;
  if (it->received <= it->max_received || it->failure_timer != nullptr) return;
  // Later, since evhttp is about to read the buffer.
  it->failure_timer = std::make_unique<Timer>(
      it->client->loop_, Timer::Kind::kOnce, Duration::zero(),
      [client = it->client, id = it->id] {
        client->Cancel(id);
        client->error_.emit(HttpError{id, HttpFailure::kTooLarge});
      });
}

void HttpClient::CloseIdle(TimePoint now) {
  for (auto it = pools_.begin(); it != pools_.end();) {
    std::erase_if(it->second.idle, [&](const auto& connection) {
      return now - connection->idle_since > kIdleLimit;
    });
    const bool is_unused = it->second.idle.empty() && it->second.busy == 0;
    it = is_unused ? pools_.erase(it) : std::next(it);
  }
}

std::size_t HttpClient::open_connections() const {
  std::size_t n = 0;
  for (const auto& [endpoint, pool] : pools_) n += pool.idle.size() + pool.busy;
  return n;
}

bool HttpClient::HasInput(const Connection& connection) {
  bufferevent* bev = evhttp_connection_get_bufferevent(connection.evhttp);
  return evbuffer_get_length(bufferevent_get_input(bev)) > 0 ||
         HasUnreadInput(bufferevent_getfd(bev));
}

std::unique_ptr<HttpClient::Connection> HttpClient::TakeConnection(
    Pool& pool, const HttpCall& call) {
  while (!pool.idle.empty()) {
    auto result = std::move(pool.idle.back());
    pool.idle.pop_back();
    const bool is_fresh = MonotonicNow() - result->idle_since <= kIdleLimit;
    if (is_fresh && !HasInput(*result)) return result;
    // Freed later: evhttp may still be on the call stack.
    discarded_.push_back(std::move(result));
    event_active(cleanup_event_.get(), EV_TIMEOUT, 0);
  }
  auto result = std::make_unique<Connection>();
  result->endpoint = call.endpoint;
  result->evhttp = evhttp_connection_base_new(
      loop_.base(), nullptr, call.endpoint.address.c_str(), call.endpoint.port);
  return result;
}

std::unique_ptr<HttpClient::Exchange> HttpClient::TakeExchange(
    std::uint64_t id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return nullptr;
  auto result = std::move(it->second);
  exchanges_.erase(it);
  result->connect_timer.reset();
  result->failure_timer.reset();
  result->total_timer.reset();
  if (result->connection != nullptr) {
    bufferevent* bev =
        evhttp_connection_get_bufferevent(result->connection->evhttp);
    evbuffer_remove_cb_entry(bufferevent_get_input(bev), result->input_counter);
    --pools_[result->connection->endpoint].busy;
  }
  return result;
}

void HttpClient::ScheduleFailure(std::uint64_t id, HttpFailure failure) {
  Exchange& exchange = *exchanges_.at(id);
  exchange.failure_timer = std::make_unique<Timer>(
      loop_, Timer::Kind::kOnce, Duration(0), [this, id, failure] {
        auto exchange = TakeExchange(id);
        finished_.push_back(std::move(exchange));
        event_active(cleanup_event_.get(), EV_TIMEOUT, 0);
        error_.emit(HttpError{id, failure});
      });
}

void HttpClient::CheckConnected(std::uint64_t id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end() || it->second->connection == nullptr) return;
  bufferevent* bev =
      evhttp_connection_get_bufferevent(it->second->connection->evhttp);
  if (!IsConnecting(bufferevent_getfd(bev))) return;
  Cancel(id);
  error_.emit(HttpError{id, HttpFailure::kConnectFailed});
}

int HttpClient::OnHeader(evhttp_request* /*request*/, void* exchange) {
  static_cast<Exchange*>(exchange)->answer_started = true;
  return 0;
}

void HttpClient::OnError(evhttp_request_error error, void* exchange) {
  auto* it = static_cast<Exchange*>(exchange);
  it->failure = FailureOf(error);
  if (it->answer_started && it->failure == HttpFailure::kConnectionLost) {
    it->failure = HttpFailure::kTruncated;
  }
}

void HttpClient::OnDone(evhttp_request* request, void* exchange) {
  auto* it = static_cast<Exchange*>(exchange);
  it->request = nullptr;
  it->client->Finish(*it, request);
}

void HttpClient::Finish(Exchange& exchange, evhttp_request* request) {
  const std::uint64_t id = exchange.id;
  auto owned = TakeExchange(id);
  if (owned == nullptr) return;
  std::optional<HttpAnswer> answer;
  HttpFailure failure = HttpFailure::kConnectionLost;
  if (owned->failure) {
    failure = *owned->failure;
  } else if (request != nullptr &&
             evhttp_request_get_response_code(request) == 0) {
    // evhttp reports a failed connect as a request with status 0 and no error.
    failure = HttpFailure::kConnectFailed;
  } else if (request != nullptr) {
    answer.emplace();
    answer->id = id;
    answer->status = evhttp_request_get_response_code(request);
    answer->headers =
        Internal::CopyHeaders(evhttp_request_get_input_headers(request));
    answer->body = Internal::CopyBody(evhttp_request_get_input_buffer(request));
  }
  if (answer && !IsValidAnswer(*answer, owned->method)) {
    answer.reset();
    failure = HttpFailure::kTruncated;
  }
  if (answer && !RequestsClose(answer->headers)) {
    auto connection = std::move(owned->connection);
    connection->idle_since = MonotonicNow();
    pools_[connection->endpoint].idle.push_back(std::move(connection));
  }
  // A connection that is not reused is freed once evhttp has left the call
  // stack.
  finished_.push_back(std::move(owned));
  event_active(cleanup_event_.get(), EV_TIMEOUT, 0);
  if (answer) {
    answer_.emit(*answer);
  } else {
    error_.emit(HttpError{id, failure});
  }
}

}  // namespace ibisladder::net
