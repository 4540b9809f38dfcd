#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace review {
namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 65536;
constexpr int kReset = -1;
constexpr int kTimedOut = -2;

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

int MillisUntil(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Millis>(until - Clock::now()).count();
  return static_cast<int>(std::max<std::int64_t>(left, 0));
}

std::size_t ParseNumber(std::string_view text, int base) {
  std::size_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, base);
  return number;
}

bool IsSame(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

void ParseHead(std::string_view head, Message& message) {
  std::size_t at = 0;
  bool is_first = true;
  while (at < head.size()) {
    const std::size_t end = std::min(head.find("\r\n", at), head.size());
    const std::string_view line = head.substr(at, end - at);
    at = end + 2;
    if (std::exchange(is_first, false)) {
      message.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    message.headers.emplace_back(line.substr(0, colon), value);
  }
}

std::string WordOf(const std::string& line, int n) {
  std::size_t at = 0;
  while (n-- > 0) {
    at = line.find(' ', at);
    if (at == std::string::npos) return "";
    ++at;
  }
  return line.substr(at, line.find(' ', at) - at);
}

}  // namespace

std::string ToString(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void Socket::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

Socket Socket::Connect(const Address& address, Millis timeout) {
  Socket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int fd = result.fd();
  const sockaddr_in to = ToSockaddr(address);
  const int flags = fcntl(fd, F_GETFL);
  fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    pollfd it{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    const bool is_ready = errno == EINPROGRESS &&
                          poll(&it, 1, static_cast<int>(timeout.count())) == 1;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (!is_ready || error != 0) return {};
  }
  fcntl(fd, F_SETFL, flags);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return result;
}

bool Socket::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

int Socket::Receive(char* buf, std::size_t n, Millis timeout) const {
  pollfd it{fd_, POLLIN, 0};
  if (poll(&it, 1, static_cast<int>(timeout.count())) == 0) return kTimedOut;
  const ssize_t received = recv(fd_, buf, n, 0);
  return received < 0 ? kReset : static_cast<int>(received);
}

bool Socket::HasEnded() const {
  char byte = 0;
  const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::uint16_t Socket::LocalPort() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int Listen(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = ToSockaddr(address);
  const bool is_bound =
      bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0 &&
      listen(fd, kBacklog) == 0;
  if (is_bound) return fd;
  close(fd);
  return -1;
}

std::string Message::Field(std::string_view name) const {
  for (const auto& [field, value] : headers) {
    if (IsSame(field, name)) return value;
  }
  return "";
}

std::string Message::Target() const { return WordOf(first_line, 1); }

std::string Message::Method() const { return WordOf(first_line, 0); }

int Message::Status() const {
  constexpr int kDecimal = 10;
  return static_cast<int>(ParseNumber(WordOf(first_line, 1), kDecimal));
}

Reader::End Reader::Fill(Clock::time_point until) {
  char buf[kReadBytes];
  const int n = socket_.Receive(buf, sizeof(buf), Millis(MillisUntil(until)));
  if (n == 0) return End::kClosed;
  if (n == kReset) return End::kReset;
  if (n == kTimedOut) return End::kTimeout;
  buf_.append(buf, static_cast<std::size_t>(n));
  return End::kComplete;
}

Reader::End Reader::ReadChunks(Message& message, Clock::time_point until) {
  constexpr int kHexadecimal = 16;
  while (true) {
    const std::size_t line = buf_.find("\r\n");
    if (line != std::string::npos) {
      const std::size_t n = ParseNumber(buf_.substr(0, line), kHexadecimal);
      const std::size_t end = line + 2 + n + 2;
      if (buf_.size() >= end) {
        message.body += buf_.substr(line + 2, n);
        buf_.erase(0, end);
        if (n == 0) return End::kComplete;
        continue;
      }
    }
    if (const End end = Fill(until); end != End::kComplete) return end;
  }
}

Reader::End Reader::Read(Message& message, Millis timeout, bool is_response) {
  constexpr int kDecimal = 10;
  const Clock::time_point until = Clock::now() + timeout;
  message = {};
  std::size_t head = buf_.find("\r\n\r\n");
  while (head == std::string::npos) {
    if (const End end = Fill(until); end != End::kComplete) return end;
    head = buf_.find("\r\n\r\n");
  }
  ParseHead(buf_.substr(0, head), message);
  buf_.erase(0, head + 4);
  if (IsSame(message.Field("Transfer-Encoding"), "chunked"))
    return ReadChunks(message, until);
  const std::string length = message.Field("Content-Length");
  if (length.empty() && !is_response) return End::kComplete;
  const std::size_t n =
      length.empty() ? std::string::npos : ParseNumber(length, kDecimal);
  while (message.body.size() + buf_.size() < n) {
    message.body += std::exchange(buf_, {});
    const End end = Fill(until);
    if (end == End::kClosed && length.empty()) return End::kComplete;
    if (end != End::kComplete) return end;
  }
  const std::size_t rest = n - message.body.size();
  message.body += buf_.substr(0, rest);
  buf_.erase(0, rest);
  return End::kComplete;
}

const char* EndName(Reader::End end) {
  switch (end) {
    case Reader::End::kComplete:
      return "complete";
    case Reader::End::kClosed:
      return "closed";
    case Reader::End::kReset:
      return "reset";
    case Reader::End::kTimeout:
      return "timeout";
  }
  return "";
}

std::string Format(const std::string& first_line, const Headers& headers,
                   std::string_view body) {
  std::string out = first_line + "\r\n";
  for (const auto& [name, value] : headers) out += name + ": " + value + "\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return out.append(body);
}

}  // namespace review
