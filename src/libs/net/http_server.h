#ifndef LIBS_NET_HTTP_SERVER_H_
#define LIBS_NET_HTTP_SERVER_H_

#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/net/event_loop.h"
#include "libs/net/http_types.h"

namespace ibisladder::net {

/// A received request. `id` identifies it in Reply.
struct HttpRequest {
  std::uint64_t id = 0;
  std::string method;
  /// Path with query, as received.
  std::string target;
  Headers headers;
  std::string body;
};

/// Asynchronous HTTP/1.1 server on top of evhttp, which itself replies 413 to
/// oversized and 400 to malformed requests.
class HttpServer {
 public:
  struct Limits {
    std::size_t max_header_bytes = 32U << 10U;
    std::size_t max_body_bytes = 16U << 20U;
    /// Time after which an idle connection is closed, rounded down to seconds.
    Duration idle_timeout = Seconds(90);
  };

  /// kInternal if the endpoint cannot be bound.
  static Expected<std::unique_ptr<HttpServer>> Listen(EventLoop& loop,
                                                      const Endpoint& endpoint,
                                                      const Limits& limits);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Answers a request. Does nothing if the caller has closed the connection.
  void Reply(std::uint64_t id, int status, const Headers& headers,
             const std::string& body);

  /// Stops accepting connections; open ones stay open.
  void StopListening();

  sigc::signal<void(HttpRequest&)>& signal_request() { return request_; }
  /// The connection of an unanswered request was closed by its caller.
  sigc::signal<void(std::uint64_t)>& signal_abandoned() { return abandoned_; }

  /// Number of unanswered requests.
  std::size_t pending() const { return pending_.size(); }

 private:
  HttpServer() = default;

  static void OnRequest(evhttp_request* request, void* self);
  static void OnClose(evhttp_connection* connection, void* self);

  void Accept(evhttp_request* request);
  void Abandon(evhttp_connection* connection);

  evhttp* http_ = nullptr;
  evhttp_bound_socket* socket_ = nullptr;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, evhttp_request*> pending_;
  std::unordered_map<evhttp_connection*, std::uint64_t> by_connection_;
  sigc::signal<void(HttpRequest&)> request_;
  sigc::signal<void(std::uint64_t)> abandoned_;
};

}  // namespace ibisladder::net

#endif  // LIBS_NET_HTTP_SERVER_H_
