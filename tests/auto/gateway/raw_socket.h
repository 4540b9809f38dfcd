#ifndef TESTS_AUTO_GATEWAY_RAW_SOCKET_H_
#define TESTS_AUTO_GATEWAY_RAW_SOCKET_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <string_view>

/// Blocking sockets that act as server or caller between turns of the event
/// loop under test, so that a test determines what the kernel holds at each
/// turn.
namespace ibisladder::testing {

class RawSocket {
 public:
  /// Listens on a port of 127.0.0.1.
  static RawSocket Listen(std::uint16_t port) {
    RawSocket result(socket(AF_INET, SOCK_STREAM, 0));
    const int on = 1;
    setsockopt(result.fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Address(port);
    bind(result.fd_, reinterpret_cast<const sockaddr*>(&address),  // NOLINT
         sizeof(address));
    listen(result.fd_, SOMAXCONN);
    return result;
  }
  static RawSocket Connect(std::uint16_t port) {
    RawSocket result(socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in address = Address(port);
    connect(result.fd_, reinterpret_cast<const sockaddr*>(&address),  // NOLINT
            sizeof(address));
    return result;
  }
  RawSocket(RawSocket&& other) noexcept : fd_(other.fd_) { other.fd_ = -1; }
  RawSocket& operator=(RawSocket&&) = delete;
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket() { Close(); }

  RawSocket Accept() const { return RawSocket(accept(fd_, nullptr, nullptr)); }
  bool IsReadable() const {
    pollfd it{fd_, POLLIN, 0};
    return poll(&it, 1, 0) > 0;
  }
  void Write(std::string_view bytes) const {
    send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// Returns what has arrived; "" at the end of the connection.
  std::string Read() const {
    char buf[4096];
    const ssize_t n = recv(fd_, buf, sizeof(buf), 0);
    return n <= 0 ? "" : std::string(buf, static_cast<std::size_t>(n));
  }
  /// Sends the end of the connection, or a reset if bytes were not read.
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  explicit RawSocket(int fd) : fd_(fd) {}

  static sockaddr_in Address(std::uint16_t port) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    result.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return result;
  }

  int fd_;
};

}  // namespace ibisladder::testing

#endif  // TESTS_AUTO_GATEWAY_RAW_SOCKET_H_
