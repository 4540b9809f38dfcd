#ifndef REVIEW_STANDINS_2_HTTP_H_
#define REVIEW_STANDINS_2_HTTP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Blocking HTTP/1.1 over TCP, for stand-ins with a thread per connection.
namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// IPv4 address and port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
};

std::string ToString(const Address& address);

/// A connected TCP socket, closed when it goes out of scope.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Returns a socket that is not open if the connection fails.
  static Socket Connect(const Address& address, Millis timeout);

  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void Close();
  /// Returns false if the peer has closed or reset the connection.
  bool Send(std::string_view bytes) const;
  /// Returns the number of bytes; 0 at the end of the connection, -1 on a reset
  /// and -2 after `timeout`.
  int Receive(char* buf, std::size_t n, Millis timeout) const;
  /// Whether the peer has closed or reset the connection and sent nothing that
  /// is not read.
  bool HasEnded() const;
  /// Port of this side.
  std::uint16_t LocalPort() const;

 private:
  int fd_ = -1;
};

/// Returns a listening descriptor, or -1 if the address is in use.
int Listen(const Address& address);

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
  /// "GET /path HTTP/1.1" or "HTTP/1.1 200 OK".
  std::string first_line;
  Headers headers;
  std::string body;

  /// Returns "" without such a field.
  std::string Field(std::string_view name) const;
  /// Second word of the first line: the target of a request.
  std::string Target() const;
  std::string Method() const;
  /// Status of a response; 0 if it has none.
  int Status() const;
};

/// Reads the messages of one connection.
class Reader {
 public:
  explicit Reader(const Socket& socket) : socket_(socket) {}

  enum class End : std::uint8_t { kComplete, kClosed, kReset, kTimeout };
  /// Reads one message. A body has a length or chunks; without both, a request
  /// has none, and a response ends with the connection. At an end other than
  /// kComplete, `message` holds what has arrived.
  End Read(Message& message, Millis timeout, bool is_response);
  /// Bytes that arrived behind the last message.
  std::size_t left() const { return buf_.size(); }

 private:
  End Fill(Clock::time_point until);
  End ReadChunks(Message& message, Clock::time_point until);

  const Socket& socket_;
  std::string buf_;
};

const char* EndName(Reader::End end);

/// Returns the bytes of a message with a Content-Length.
std::string Format(const std::string& first_line, const Headers& headers,
                   std::string_view body);

}  // namespace review

#endif  // REVIEW_STANDINS_2_HTTP_H_
