#ifndef TESTS_PROCESS_SCRIPTED_SERVER_H_
#define TESTS_PROCESS_SCRIPTED_SERVER_H_

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "libs/base/strong_types.h"
#include "libs/net/event_loop.h"

/// Backend server whose answers are sent byte by byte as a test writes them.
namespace ibisladder::process {

/// An answer that need not be valid HTTP.
struct ScriptedAnswer {
  enum class End : std::uint8_t {
    kKeepOpen,
    kShutdown,  ///< The sending side is closed; the socket stays open.
    kClose,     ///< The kernel resets the connection if input is unread.
    kReset,
  };

  /// With the line end; the fields that identify server and request follow.
  std::string status_line = "HTTP/1.1 200 OK\r\n";
  /// Further fields, each with its line end.
  std::string fields;
  /// All bytes behind the head, with their framing.
  std::string body;
  End end = End::kKeepOpen;
  /// Time from the last byte to the end of the connection.
  Duration end_delay = Duration::zero();
  /// Otherwise the answer follows the request's head at once, and nothing more
  /// is read.
  bool reads_body = true;
};

class ScriptedServer {
 public:
  /// Throws std::runtime_error if the endpoint cannot be bound.
  ScriptedServer(net::EventLoop& loop, const Endpoint& endpoint,
                 std::string name);
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  /// Sets the answer to all requests from now on.
  void SetAnswer(const ScriptedAnswer& answer) { answer_ = answer; }
  /// Number of requests that were answered.
  int answered() const { return answered_; }

 private:
  struct ListenerDeleter {
    void operator()(evconnlistener* it) const { evconnlistener_free(it); }
  };
  struct BufferDeleter {
    void operator()(bufferevent* it) const { bufferevent_free(it); }
  };
  struct Connection {
    ScriptedServer* server = nullptr;
    std::uint64_t id = 0;
    std::unique_ptr<bufferevent, BufferDeleter> bev;
    std::string input;
    bool is_answering = false;
    ScriptedAnswer::End end = ScriptedAnswer::End::kKeepOpen;
    Duration end_delay{};
    std::unique_ptr<net::Timer> end_timer;
  };

  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* address, int size, void* self);
  static void OnReadable(bufferevent* bev, void* connection);
  static void OnWritten(bufferevent* bev, void* connection);
  static void OnEvent(bufferevent* bev, short what,  // NOLINT
                      void* connection);

  void Answer(Connection& connection);
  void End(Connection& connection);

  net::EventLoop& loop_;
  std::string name_;
  ScriptedAnswer answer_;
  int answered_ = 0;
  std::uint64_t last_connection_ = 0;
  std::map<std::uint64_t, Connection> connections_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
};

}  // namespace ibisladder::process

#endif  // TESTS_PROCESS_SCRIPTED_SERVER_H_
