#include "libs/net/udp_socket.h"

#include <unistd.h>

#include <array>

#include "libs/net/socket_address.h"

namespace ibisladder::net {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;
/// Maximum number of datagrams read before the loop handles other events.
constexpr int kMaxBatch = 64;

}  // namespace

Expected<std::unique_ptr<UdpSocket>> UdpSocket::Bind(EventLoop& loop,
                                                     const Endpoint& endpoint) {
  auto address = ToSocketAddress(endpoint);
  if (!address) return tl::unexpected<Error>(address.error());
  const evutil_socket_t fd =
      socket(address->storage.ss_family,
             SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);  // NOLINT
  std::unique_ptr<UdpSocket> result(new UdpSocket(fd));
  if (fd < 0 || bind(fd, address->get(), address->size) != 0) {
    return Fail(ResultCode::kInternal, FormatEndpoint(endpoint),
                "the UDP endpoint cannot be bound");
  }
  result->event_.reset(event_new(loop.base(), fd, EV_READ | EV_PERSIST,
                                 &UdpSocket::OnReadable, result.get()));
  event_add(result->event_.get(), nullptr);
  return result;
}

UdpSocket::~UdpSocket() {
  event_.reset();
  if (fd_ >= 0) close(fd_);
}

void UdpSocket::Send(const Endpoint& to, const std::string& bytes) {
  auto address = ToSocketAddress(to);
  if (!address) return;
  sendto(fd_, bytes.data(), bytes.size(), 0, address->get(), address->size);
}

void UdpSocket::OnReadable(evutil_socket_t /*fd*/, short /*what*/,  // NOLINT
                           void* self) {
  static_cast<UdpSocket*>(self)->Receive();
}

void UdpSocket::Receive() {
  static thread_local std::array<char, kMaxDatagramBytes> buf;
  for (int i = 0; i < kMaxBatch; ++i) {
    SocketAddress from;
    const ssize_t n =
        recvfrom(fd_, buf.data(), buf.size(), 0, from.get(), &from.size);
    if (n < 0) return;
    Datagram datagram{ToEndpoint(from.get()),
                      std::string(buf.data(), static_cast<std::size_t>(n))};
    received_.emit(datagram);
  }
}

}  // namespace ibisladder::net
