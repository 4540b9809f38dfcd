#include "libs/net/socket_address.h"

#include <arpa/inet.h>
#include <event2/util.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <array>
#include <cerrno>

namespace ibisladder::net {

Expected<SocketAddress> ToSocketAddress(const Endpoint& endpoint) {
  SocketAddress result;
  const std::string text = FormatEndpoint(endpoint);
  int size = static_cast<int>(result.size);
  if (evutil_parse_sockaddr_port(text.c_str(), result.get(), &size) != 0) {
    return Fail(ResultCode::kBadAddress, text, "not an IP number with a port");
  }
  result.size = static_cast<socklen_t>(size);
  return result;
}

bool IsConnecting(int fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return false;
  return info.tcpi_state == TCP_SYN_SENT;
}

bool HasUnreadInput(int fd) {
  char byte = 0;
  const ssize_t n = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool IsClosedByPeer(int fd) {
  pollfd it{fd, POLLRDHUP, 0};
  return poll(&it, 1, 0) > 0 &&
         (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool IsOutputAcknowledged(int fd) {
  int unacknowledged = 0;
  return ioctl(fd, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

Endpoint ToEndpoint(const sockaddr* address) {
  std::array<char, INET6_ADDRSTRLEN> buf{};
  if (address->sa_family == AF_INET) {
    const auto* it = reinterpret_cast<const sockaddr_in*>(address);
    inet_ntop(AF_INET, &it->sin_addr, buf.data(), buf.size());
    return {buf.data(), ntohs(it->sin_port)};
  }
  if (address->sa_family == AF_INET6) {
    const auto* it = reinterpret_cast<const sockaddr_in6*>(address);
    inet_ntop(AF_INET6, &it->sin6_addr, buf.data(), buf.size());
    return {buf.data(), ntohs(it->sin6_port)};
  }
  return {};
}

}  // namespace ibisladder::net
