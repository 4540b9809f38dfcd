#ifndef TESTS_PROCESS_DOWNLOAD_SERVER_H_
#define TESTS_PROCESS_DOWNLOAD_SERVER_H_

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <map>
#include <memory>
#include <string>

#include "libs/base/strong_types.h"
#include "libs/http1/message_parser.h"
#include "libs/net/event_loop.h"

/// Backend server with large answers, whole and defective, and a caller that
/// takes them at its own pace.
namespace ibisladder::process {

/// Returns the byte at an offset of every download.
char DownloadByte(std::size_t offset);

/// Answers requests for /ROUTE/KIND/BYTES. KIND: "length"; "chunked"; "closed"
/// (ends with the connection); "cut", "cutchunks" (break off halfway); "longer"
/// (than announced); "stalled" (stops halfway); "endless".
class DownloadServer {
 public:
  /// Throws std::runtime_error if the endpoint cannot be bound.
  DownloadServer(net::EventLoop& loop, const Endpoint& endpoint,
                 std::string name);
  DownloadServer(const DownloadServer&) = delete;
  DownloadServer& operator=(const DownloadServer&) = delete;

  /// Number of downloads that were requested.
  int requests() const { return requests_; }
  /// Number of downloads whose connection is open.
  std::size_t open() const { return connections_.size(); }
  /// Number of bytes that were written, including those in buffers.
  std::size_t written() const { return written_; }

 private:
  struct ListenerDeleter {
    void operator()(evconnlistener* it) const { evconnlistener_free(it); }
  };
  struct BufferDeleter {
    void operator()(bufferevent* it) const { bufferevent_free(it); }
  };
  struct Connection {
    DownloadServer* server = nullptr;
    std::uint64_t id = 0;
    std::unique_ptr<bufferevent, BufferDeleter> bev;
    http1::RequestParser parser = http1::RequestParser::Create({});
    std::string kind;
    std::size_t size = 0;
    std::size_t sent = 0;
    bool is_answering = false;
  };

  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* address, int size, void* self);
  static void OnReadable(bufferevent* bev, void* connection);
  static void OnWritten(bufferevent* bev, void* connection);
  static void OnEvent(bufferevent* bev, short what,  // NOLINT
                      void* connection);

  void Handle(Connection& connection, const http1::Request& request);
  void WriteMore(Connection& connection);
  void Finish(Connection& connection);

  net::EventLoop& loop_;
  std::string name_;
  int requests_ = 0;
  std::size_t written_ = 0;
  std::uint64_t last_connection_ = 0;
  std::map<std::uint64_t, Connection> connections_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
};

/// Requests one download and checks its bytes as they arrive.
class DownloadCaller {
 public:
  /// `bytes_per_second` 0: as fast as it can.
  DownloadCaller(net::EventLoop& loop, const Endpoint& endpoint,
                 const std::string& target, std::size_t bytes_per_second = 0);
  DownloadCaller(const DownloadCaller&) = delete;
  DownloadCaller& operator=(const DownloadCaller&) = delete;

  /// Closes the connection.
  void Leave();

  int status() const { return status_; }
  std::size_t received() const { return received_; }
  /// The answer was whole, by what HTTP tells.
  bool is_complete() const { return is_complete_; }
  /// The connection ended before the answer did.
  bool is_broken() const { return is_broken_; }
  bool has_ended() const { return is_complete_ || is_broken_; }
  /// All bytes were those of the download.
  bool is_correct() const { return is_correct_; }

 private:
  struct BufferDeleter {
    void operator()(bufferevent* it) const { bufferevent_free(it); }
  };

  static void OnReadable(bufferevent* bev, void* self);
  static void OnEvent(bufferevent* bev, short what, void* self);  // NOLINT

  void Read(std::size_t most);
  void Check(const std::string& part);

  std::unique_ptr<bufferevent, BufferDeleter> bev_;
  std::unique_ptr<net::Timer> pace_;
  http1::ResponseParser parser_ = http1::ResponseParser::Create({});
  int status_ = 0;
  std::size_t received_ = 0;
  bool is_complete_ = false;
  bool is_broken_ = false;
  bool is_correct_ = true;
};

}  // namespace ibisladder::process

#endif  // TESTS_PROCESS_DOWNLOAD_SERVER_H_
