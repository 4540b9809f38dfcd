#ifndef LIBS_NET_HTTP_CLIENT_H_
#define LIBS_NET_HTTP_CLIENT_H_

#include <event2/buffer.h>
#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/net/event_loop.h"
#include "libs/net/http_types.h"

namespace ibisladder::net {

/// A request to send. The user chooses `id`, unique among the unfinished calls.
struct HttpCall {
  std::uint64_t id = 0;
  Endpoint endpoint;
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;
  /// The call fails with kTimeout after this time without progress.
  Duration timeout = Seconds(5);
  /// The call fails with kTimeout after this time, whether or not it makes
  /// progress; zero: after twice `timeout`.
  Duration total_timeout{};
  std::size_t max_answer_bytes = 4U << 20U;
  /// Maximum number of concurrent calls to the endpoint; a call above it fails
  /// with kConnectFailed.
  std::size_t max_connections = 64;
  /// Sends TCP keep-alive probes each second, so that a connection whose
  /// network path is lost fails within about three seconds.
  bool keep_alive_probes = false;
};

struct HttpAnswer {
  std::uint64_t id = 0;
  int status = 0;
  Headers headers;
  std::string body;
};

enum class HttpFailure : std::uint8_t {
  kConnectFailed,   ///< No byte of the request was sent.
  kConnectionLost,  ///< The request may have been sent.
  kTruncated,       ///< The answer ended early, has no explicit length, or is
                    ///< malformed.
  kTooLarge,
  kTimeout,  ///< The request may have been sent.
};

struct HttpError {
  std::uint64_t id = 0;
  HttpFailure failure = HttpFailure::kConnectionLost;
};

/// HTTP/1.1 client with pooled connections on top of evhttp. A connection
/// carries one request at a time; it is closed if the call is cancelled.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Emits exactly one of the two signals later, unless the call is cancelled.
  /// Never emits from within Send.
  void Send(const HttpCall& call);
  /// Closes the call's connection. No signal is emitted.
  void Cancel(std::uint64_t id);
  /// Returns how many bytes have arrived on the call's connection since it was
  /// sent; 0 if the call is not open.
  std::size_t ReceivedBytes(std::uint64_t id) const;
  /// Closes connections that have been idle for too long; to be called about
  /// once a second.
  void CloseIdle(TimePoint now);

  sigc::signal<void(HttpAnswer&)>& signal_answer() { return answer_; }
  sigc::signal<void(const HttpError&)>& signal_error() { return error_; }

  std::size_t open_connections() const;

 private:
  struct Connection;
  struct Exchange;
  struct Pool {
    std::vector<std::unique_ptr<Connection>> idle;
    std::size_t busy = 0;
  };

  static void OnDone(evhttp_request* request, void* exchange);
  static int OnHeader(evhttp_request* request, void* exchange);
  static void OnError(evhttp_request_error error, void* exchange);
  static void OnInput(evbuffer* input, const evbuffer_cb_info* info,
                      void* exchange);

  /// Whether an idle connection has received bytes, which belong to no further
  /// call, or has ended. After a stall, the next call comes before evhttp reads
  /// either.
  static bool HasInput(const Connection& connection);
  std::unique_ptr<Connection> TakeConnection(Pool& pool, const HttpCall& call);
  void Finish(Exchange& exchange, evhttp_request* request);
  void CheckConnected(std::uint64_t id);
  void StartTotalTimer(Exchange& exchange, Duration time,
                       std::function<void()> action);
  void ScheduleFailure(std::uint64_t id, HttpFailure failure);
  std::unique_ptr<Exchange> TakeExchange(std::uint64_t id);

  EventLoop& loop_;
  std::map<Endpoint, Pool> pools_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
  std::vector<std::unique_ptr<Exchange>> finished_;
  std::vector<std::unique_ptr<Connection>> discarded_;
  EventPtr cleanup_event_;
  sigc::signal<void(HttpAnswer&)> answer_;
  sigc::signal<void(const HttpError&)> error_;
};

}  // namespace ibisladder::net

#endif  // LIBS_NET_HTTP_CLIENT_H_
