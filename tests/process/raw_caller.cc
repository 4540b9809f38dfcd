#include "tests/process/raw_caller.h"

#include <event2/buffer.h>

#include <charconv>
#include <string_view>

#include "libs/net/socket_address.h"

namespace ibisladder::process {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// Decodes chunks. Returns whether the last one is among them.
bool ReadChunks(const std::string& bytes, std::string& body) {
  constexpr int kHexadecimal = 16;
  std::size_t at = 0;
  while (true) {
    const std::size_t line_end = bytes.find("\r\n", at);
    if (line_end == std::string::npos) return false;
    std::size_t size = 0;
    const auto [end, ec] = std::from_chars(
        bytes.data() + at, bytes.data() + line_end, size, kHexadecimal);
    if (ec != std::errc()) return false;
    if (size == 0) return bytes.substr(line_end) == kHeadEnd;
    at = line_end + 2;
    body += bytes.substr(at, size);
    at += size + 2;
    if (at > bytes.size()) return false;
  }
}

}  // namespace

std::string FieldOf(const std::string& head, const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const std::size_t at = head.find(start);
  if (at == std::string::npos) return "";
  const std::size_t from = at + start.size();
  return head.substr(from, head.find("\r\n", from) - from);
}

std::size_t LengthOf(const std::string& head) {
  const std::string text = FieldOf(head, "Content-Length");
  std::size_t length = 0;
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

ReceivedAnswer ReadAnswer(const std::string& bytes) {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  constexpr std::size_t kStatusDigits = 3;
  ReceivedAnswer answer;
  const std::size_t head_end = bytes.find(kHeadEnd);
  if (head_end == std::string::npos || !bytes.starts_with(kVersion)) {
    return answer;
  }
  answer.head = bytes.substr(0, head_end);
  const char* digits = bytes.data() + kVersion.size();
  std::from_chars(digits, digits + kStatusDigits, answer.status);
  const std::string rest = bytes.substr(head_end + kHeadEnd.size());
  if (FieldOf(answer.head, "Transfer-Encoding") == "chunked") {
    answer.is_whole = ReadChunks(rest, answer.body);
    return answer;
  }
  answer.body = rest;
  answer.is_whole = !FieldOf(answer.head, "Content-Length").empty() &&
                    rest.size() == LengthOf(answer.head);
  return answer;
}

RawCaller::RawCaller(net::EventLoop& loop, const Endpoint& endpoint,
                     const std::string& request) {
  bev_.reset(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(bev_.get(), &RawCaller::OnReadable, nullptr,
                    &RawCaller::OnEvent, this);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  const auto address = net::ToSocketAddress(endpoint);
  bufferevent_socket_connect(bev_.get(), address->get(),
                             static_cast<int>(address->size));
  bufferevent_write(bev_.get(), request.data(), request.size());
}

void RawCaller::OnReadable(bufferevent* bev, void* self) {
  evbuffer* input = bufferevent_get_input(bev);
  std::string buf(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, buf.data(), buf.size());
  static_cast<RawCaller*>(self)->received_ += buf;
}

void RawCaller::OnEvent(bufferevent* /*bev*/, short what,  // NOLINT
                        void* self) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<RawCaller*>(self)->has_ended_ = true;
  }
}

}  // namespace ibisladder::process
