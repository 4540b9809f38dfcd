#ifndef LIBS_NET_FRAME_STREAM_H_
#define LIBS_NET_FRAME_STREAM_H_

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/net/event_loop.h"

/// Length-prefixed frames over TCP: a 32-bit length in network byte order,
/// followed by that many bytes.
namespace ibisladder::net {

/// A connection of a FrameServer, unique in the process.
using StreamId = Strong<struct StreamIdTag, std::uint64_t>;

struct BufferEventDeleter {
  void operator()(bufferevent* it) const { bufferevent_free(it); }
};
using BufferEventPtr = std::unique_ptr<bufferevent, BufferEventDeleter>;

/// A received frame and its connection.
struct ReceivedFrame {
  StreamId stream;
  std::string bytes;
};

/// Accepts connections and exchanges frames on them. Closes a connection that
/// sends a frame over the limit.
class FrameServer {
 public:
  static Expected<std::unique_ptr<FrameServer>> Listen(
      EventLoop& loop, const Endpoint& endpoint, std::size_t max_frame_bytes);
  ~FrameServer();
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;

  /// Does nothing if the connection is closed.
  void Send(StreamId stream, const std::string& bytes);
  void Close(StreamId stream);

  sigc::signal<void(ReceivedFrame&)>& signal_frame() { return frame_; }
  sigc::signal<void(StreamId)>& signal_closed() { return closed_; }
  /// A frame over the limit was rejected; signal_closed follows.
  sigc::signal<void(StreamId)>& signal_oversized() { return oversized_; }

 private:
  struct Stream;

  FrameServer() = default;
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* address, int size, void* self);
  static void OnReadable(bufferevent* bev, void* stream);
  static void OnEvent(bufferevent* bev, short what, void* stream);  // NOLINT

  EventLoop* loop_ = nullptr;
  std::size_t max_frame_bytes_ = 0;
  std::uint64_t last_id_ = 0;
  evconnlistener* listener_ = nullptr;
  std::unordered_map<StreamId, std::unique_ptr<Stream>> streams_;
  sigc::signal<void(ReceivedFrame&)> frame_;
  sigc::signal<void(StreamId)> closed_;
  sigc::signal<void(StreamId)> oversized_;
};

/// Sends frames to endpoints, over one persistent connection each.
class FrameClient {
 public:
  FrameClient(EventLoop& loop, std::size_t max_frame_bytes);
  ~FrameClient();
  FrameClient(const FrameClient&) = delete;
  FrameClient& operator=(const FrameClient&) = delete;

  void Send(const Endpoint& peer, const std::string& bytes);

  /// A frame was received from the peer at that endpoint.
  sigc::signal<void(const Endpoint&, const std::string&)>& signal_frame() {
    return frame_;
  }
  /// The connection failed or was closed. The second argument says whether it
  /// had been established.
  sigc::signal<void(const Endpoint&, bool)>& signal_lost() { return lost_; }

 private:
  struct Link;

  static void OnReadable(bufferevent* bev, void* link);
  static void OnEvent(bufferevent* bev, short what, void* link);  // NOLINT

  EventLoop& loop_;
  std::size_t max_frame_bytes_;
  std::map<Endpoint, std::unique_ptr<Link>> links_;
  sigc::signal<void(const Endpoint&, const std::string&)> frame_;
  sigc::signal<void(const Endpoint&, bool)> lost_;
};

}  // namespace ibisladder::net

#endif  // LIBS_NET_FRAME_STREAM_H_
