#ifndef LIBS_NET_SOCKET_ADDRESS_H_
#define LIBS_NET_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"

namespace ibisladder::net {

/// A socket address for the operating system's calls.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = sizeof(sockaddr_storage);

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
};

/// kBadAddress if the address is not an IP address.
Expected<SocketAddress> ToSocketAddress(const Endpoint& endpoint);

/// Whether a TCP socket is still connecting, so that no data can have been
/// sent. False for a connection that was established and then lost.
bool IsConnecting(int fd);

/// Whether bytes, the end of the connection or an error wait to be read. After
/// a stall of the process, that is known to the kernel only.
bool HasUnreadInput(int fd);
/// Returns whether the peer of a connected socket has closed it or ended its
/// output, also if there is unread input before the end.
bool IsClosedByPeer(int fd);

/// Whether the peer has acknowledged all bytes that were written.
bool IsOutputAcknowledged(int fd);

/// Returns an empty endpoint for families other than IPv4 and IPv6.
Endpoint ToEndpoint(const sockaddr* address);

}  // namespace ibisladder::net

#endif  // LIBS_NET_SOCKET_ADDRESS_H_
