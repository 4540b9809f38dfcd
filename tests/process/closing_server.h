#ifndef TESTS_PROCESS_CLOSING_SERVER_H_
#define TESTS_PROCESS_CLOSING_SERVER_H_

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libs/base/random.h"
#include "libs/base/strong_types.h"
#include "libs/http1/message_parser.h"
#include "libs/net/event_loop.h"

/// Backend server of the platform that closes the connection after each answer,
/// so that each request opens a new one.
namespace ibisladder::process {

/// One execution of a request.
struct Execution {
  std::string server;
  TimePoint at;
};

/// The executions of all servers, by request id.
using Executions = std::map<std::string, std::vector<Execution>>;

class ClosingServer {
 public:
  /// Appends to `executions` once a request has been read completely. Returns
  /// kInternal if the endpoint cannot be bound.
  static Expected<std::unique_ptr<ClosingServer>> Listen(
      net::EventLoop& loop, const Endpoint& endpoint, std::string name,
      Executions& executions);
  ClosingServer(const ClosingServer&) = delete;
  ClosingServer& operator=(const ClosingServer&) = delete;

  /// While it does not accept, new connections wait in a short queue of the
  /// operating system, and then their SYN packets are dropped.
  void SetAccepting(bool is_accepting);
  /// At the start, resets all connections. Meanwhile, resets every second new
  /// connection at once, and the others when they have delivered a request,
  /// which counts as executed.
  void SetResetting(bool is_resetting);
  /// A request whose target begins like this ends the server: it resets all
  /// connections, listens no longer, and calls `crashed`.
  void SetCrashingTarget(std::string target, std::function<void()> crashed) {
    crashing_target_ = std::move(target);
    crashed_ = std::move(crashed);
  }
  /// Adds these fields to all further answers.
  void SetExtraHeaders(net::Headers headers) {
    extra_headers_ = std::move(headers);
  }

 private:
  struct ListenerDeleter {
    void operator()(evconnlistener* it) const { evconnlistener_free(it); }
  };
  struct BufferDeleter {
    void operator()(bufferevent* it) const { bufferevent_free(it); }
  };
  struct Connection {
    ClosingServer* server = nullptr;
    std::uint64_t id = 0;
    std::unique_ptr<bufferevent, BufferDeleter> bev;
    http1::RequestParser parser;
    std::unique_ptr<net::Timer> delay;
    bool has_answered = false;
  };

  ClosingServer(net::EventLoop& loop, std::string name, Executions& executions);

  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* address, int size, void* self);
  static void OnReadable(bufferevent* bev, void* connection);
  static void OnWritten(bufferevent* bev, void* connection);
  static void OnEvent(bufferevent* bev, short what,  // NOLINT
                      void* connection);

  void Accept(evutil_socket_t fd);
  void Read(Connection& connection);
  void Handle(Connection& connection, const http1::Request& request);
  void Reset(Connection& connection);
  void Crash();

  net::EventLoop& loop_;
  std::string name_;
  Executions& executions_;
  Random random_;
  bool is_resetting_ = false;
  std::string crashing_target_;
  std::function<void()> crashed_;
  net::Headers extra_headers_;
  std::uint64_t last_connection_ = 0;
  std::map<std::uint64_t, Connection> connections_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
};

}  // namespace ibisladder::process

#endif  // TESTS_PROCESS_CLOSING_SERVER_H_
