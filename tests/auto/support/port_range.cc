#include "tests/auto/support/port_range.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace ibisladder::testing {
namespace {

// Below the ports that the operating system assigns to outgoing connections.
constexpr int kFirstPort = 22000;
constexpr int kLastPort = 31900;
constexpr int kRangeSize = 100;

/// Returns a socket bound to the port, or -1.
int Bind(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    return fd;
  }
  close(fd);
  return -1;
}

}  // namespace

PortRange::PortRange() {
  // Programs that run at the same time start their search at different ranges.
  constexpr int kRanges = (kLastPort - kFirstPort) / kRangeSize;
  const int start = getpid() % kRanges;
  for (int i = 0; i < kRanges; ++i) {
    first_ = kFirstPort + (start + i) % kRanges * kRangeSize;
    marker_socket_ = Bind(first_ + kRangeSize - 1);
    if (marker_socket_ >= 0) return;
  }
  throw std::runtime_error(
      "no free range of 100 ports between 22000 and 31900 on 127.0.0.1");
}

PortRange::~PortRange() {
  if (marker_socket_ >= 0) close(marker_socket_);
}

}  // namespace ibisladder::testing
