#ifndef LIBS_NET_HTTP_CLIENT_H_
#define LIBS_NET_HTTP_CLIENT_H_

#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/net/event_loop.h"
#include "libs/net/http_types.h"

namespace ibisladder::net {

/// A request to send. `id` is chosen by the user, unique among open ones.
struct HttpCall {
  std::uint64_t id = 0;
  Endpoint endpoint;
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;
  /// The exchange is given up after so long.
  Duration timeout = Seconds(5);
  std::size_t max_answer_bytes = 4U << 20U;
  /// Connections to the endpoint at the most.
  std::size_t max_connections = 64;
  /// Probe a silent connection each second, so that one that has lost its path
  /// fails within about three seconds.
  bool keep_alive_probes = false;
};

struct HttpAnswer {
  std::uint64_t id = 0;
  int status = 0;
  Headers headers;
  std::string body;
};

enum class HttpFailure : std::uint8_t {
  kConnectFailed,   ///< No byte of the request left.
  kConnectionLost,  ///< The request may have left.
  kTruncated,  ///< The answer ended early, or cannot show that it is whole.
  kTooLarge,
  kTimeout,  ///< The request may have left.
};

struct HttpError {
  std::uint64_t id = 0;
  HttpFailure failure = HttpFailure::kConnectionLost;
};

/// An HTTP/1.1 client with pooled connections on evhttp. One request at a time
/// on a connection; a connection whose answer was abandoned is closed.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Ends with exactly one of the two signals, unless cancelled before. Never
  /// emits from within Send.
  void Send(const HttpCall& call);
  /// Closes the call's connection; no signal follows.
  void Cancel(std::uint64_t id);
  /// Closes connections idle for longer than the limit; call about each second.
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

  std::unique_ptr<Connection> TakeConnection(Pool& pool, const HttpCall& call);
  void Finish(Exchange& exchange, evhttp_request* request);
  void CheckConnected(std::uint64_t id);
  void ScheduleFailure(std::uint64_t id, HttpFailure failure);
  std::unique_ptr<Exchange> TakeExchange(std::uint64_t id);

  EventLoop& loop_;
  std::map<Endpoint, Pool> pools_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
  std::vector<std::unique_ptr<Exchange>> finished_;
  EventPtr cleanup_event_;
  sigc::signal<void(HttpAnswer&)> answer_;
  sigc::signal<void(const HttpError&)> error_;
};

}  // namespace ibisladder::net

#endif  // LIBS_NET_HTTP_CLIENT_H_
