#ifndef LIBS_NET_UDP_SOCKET_H_
#define LIBS_NET_UDP_SOCKET_H_

#include <sigc++/sigc++.h>

#include <memory>
#include <string>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/net/event_loop.h"

namespace ibisladder::net {

struct Datagram {
  Endpoint peer;
  std::string bytes;
};

/// A bound, non-blocking UDP socket.
class UdpSocket {
 public:
  static Expected<std::unique_ptr<UdpSocket>> Bind(EventLoop& loop,
                                                   const Endpoint& endpoint);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// Best effort: a datagram that the socket does not accept at once is lost.
  void Send(const Endpoint& to, const std::string& bytes);

  sigc::signal<void(Datagram&)>& signal_received() { return received_; }

 private:
  explicit UdpSocket(evutil_socket_t fd) : fd_(fd) {}

  static void OnReadable(evutil_socket_t fd, short what, void* self);  // NOLINT
  void Receive();

  evutil_socket_t fd_;
  EventPtr event_;
  sigc::signal<void(Datagram&)> received_;
};

}  // namespace ibisladder::net

#endif  // LIBS_NET_UDP_SOCKET_H_
