#include "tests/process/download_server.h"

#include <event2/buffer.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include "libs/net/socket_address.h"
#include "platform/wire_names.h"

namespace ibisladder::process {
namespace {

constexpr std::size_t kAlphabet = 26;
/// Whole repetitions of the alphabet, so that all blocks are equal.
constexpr std::size_t kBlockBytes = kAlphabet * 2048;
/// Bytes of an answer that the server keeps in its buffer.
constexpr std::size_t kBufferedBytes = 4 * kBlockBytes;
constexpr std::size_t kExcessBytes = 1000;
constexpr Duration kPaceInterval = Millis(10);
constexpr std::size_t kReadBytes = 65536;

bool IsChunked(const std::string& kind) {
  return kind == "chunked" || kind == "cutchunks" || kind == "endless";
}

/// Returns the number of bytes after which an answer of this kind ends.
std::size_t EndOf(const std::string& kind, std::size_t size) {
  if (kind == "endless") return SIZE_MAX;
  const bool is_half =
      kind == "cut" || kind == "cutchunks" || kind == "stalled";
  return is_half ? size / 2 : size + (kind == "longer" ? kExcessBytes : 0);
}

std::string Block(std::size_t offset, std::size_t size) {
  std::string block(size, '\0');
  for (std::size_t i = 0; i < size; ++i) block[i] = DownloadByte(offset + i);
  return block;
}

}  // namespace

char DownloadByte(std::size_t offset) {
  return static_cast<char>('a' + offset % kAlphabet);
}

DownloadServer::DownloadServer(net::EventLoop& loop, const Endpoint& endpoint,
                               std::string name)
    : loop_(loop), name_(std::move(name)) {
  constexpr int kBacklog = 512;
  const auto address = net::ToSocketAddress(endpoint);
  listener_.reset(evconnlistener_new_bind(
      loop.base(), &DownloadServer::OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kBacklog, address->get(), static_cast<int>(address->size)));
  if (listener_ == nullptr) throw std::runtime_error("cannot bind a server");
}

void DownloadServer::OnAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                              sockaddr* /*address*/, int /*size*/, void* self) {
  auto& server = *static_cast<DownloadServer*>(self);
  const std::uint64_t id = ++server.last_connection_;
  Connection& connection = server.connections_[id];
  connection.server = &server;
  connection.id = id;
  connection.bev.reset(
      bufferevent_socket_new(server.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(connection.bev.get(), &DownloadServer::OnReadable,
                    &DownloadServer::OnWritten, &DownloadServer::OnEvent,
                    &connection);
  bufferevent_enable(connection.bev.get(), EV_READ | EV_WRITE);
}

void DownloadServer::OnReadable(bufferevent* bev, void* connection) {
  auto& it = *static_cast<Connection*>(connection);
  evbuffer* input = bufferevent_get_input(bev);
  std::string buf(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, buf.data(), buf.size());
  std::vector<http1::Request> requests;
  it.parser.Feed(buf, requests);
  if (!requests.empty()) it.server->Handle(it, requests.front());
}

void DownloadServer::OnWritten(bufferevent* /*bev*/, void* connection) {
  auto& it = *static_cast<Connection*>(connection);
  if (it.is_answering) it.server->WriteMore(it);
}

void DownloadServer::OnEvent(bufferevent* /*bev*/, short what,  // NOLINT
                             void* connection) {
  auto& it = *static_cast<Connection*>(connection);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    it.server->connections_.erase(it.id);
  }
}

void DownloadServer::Handle(Connection& connection,
                            const http1::Request& request) {
  ++requests_;
  std::istringstream target(request.target);
  std::string part;
  std::getline(target, part, '/');
  std::getline(target, part, '/');
  std::getline(target, connection.kind, '/');
  target >> connection.size;
  connection.sent = 0;
  connection.is_answering = true;
  http1::Response head;
  head.status = 200;
  const std::string* id =
      http1::FindHeader(request.headers, platform::kRequestId);
  head.headers = {{platform::kSignature, "s"},
                  {platform::kServerName, name_},
                  {platform::kRequestId, id == nullptr ? "" : *id}};
  if (connection.kind != "closed" && !IsChunked(connection.kind)) {
    head.headers.emplace_back("Content-Length",
                              std::to_string(connection.size));
  }
  std::string bytes = http1::FormatHead(head, connection.kind == "closed");
  if (connection.kind == "closed") {
    // FormatHead announces chunks where there is no length.
    const std::string field = "Transfer-Encoding: chunked\r\n";
    bytes.erase(bytes.find(field), field.size());
  }
  bufferevent_write(connection.bev.get(), bytes.data(), bytes.size());
}

void DownloadServer::WriteMore(Connection& connection) {
  const std::size_t end = EndOf(connection.kind, connection.size);
  std::size_t buffered = 0;
  while (connection.sent < end && buffered < kBufferedBytes) {
    const std::size_t n = std::min(kBlockBytes, end - connection.sent);
    const std::string block = Block(connection.sent, n);
    const std::string bytes =
        IsChunked(connection.kind) ? http1::FormatChunk(block) : block;
    bufferevent_write(connection.bev.get(), bytes.data(), bytes.size());
    connection.sent += n;
    buffered += n;
    written_ += n;
  }
  if (buffered == 0) Finish(connection);
}

void DownloadServer::Finish(Connection& connection) {
  connection.is_answering = false;
  const std::string kind = connection.kind;
  if (kind == "chunked") {
    bufferevent_write(connection.bev.get(), http1::kLastChunk.data(),
                      http1::kLastChunk.size());
  } else if (kind == "cut" || kind == "cutchunks" || kind == "closed") {
    connections_.erase(connection.id);
  }
}

DownloadCaller::DownloadCaller(net::EventLoop& loop, const Endpoint& endpoint,
                               const std::string& target,
                               std::size_t bytes_per_second)
    : bev_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
  static int number = 0;
  const std::string request = "GET " + target +
                              " HTTP/1.1\r\nHost: 127.0.0.1\r\n" +
                              platform::kRequestId + ": download-" +
                              std::to_string(++number) + "\r\n\r\n";
  bufferevent_setcb(
      bev_.get(), bytes_per_second == 0 ? &DownloadCaller::OnReadable : nullptr,
      nullptr, &DownloadCaller::OnEvent, this);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadBytes);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  const auto address = net::ToSocketAddress(endpoint);
  bufferevent_socket_connect(bev_.get(), address->get(),
                             static_cast<int>(address->size));
  bufferevent_write(bev_.get(), request.data(), request.size());
  if (bytes_per_second == 0) return;
  const std::size_t share = bytes_per_second *
                            static_cast<std::size_t>(ToMillis(kPaceInterval)) /
                            1000;
  pace_ = std::make_unique<net::Timer>(loop, net::Timer::Kind::kPeriodic,
                                       kPaceInterval,
                                       [this, share] { Read(share); });
}

void DownloadCaller::Leave() {
  pace_.reset();
  bev_.reset();
}

void DownloadCaller::OnReadable(bufferevent* /*bev*/, void* self) {
  static_cast<DownloadCaller*>(self)->Read(kReadBytes);
}

void DownloadCaller::OnEvent(bufferevent* /*bev*/, short what,  // NOLINT
                             void* self) {
  auto& it = *static_cast<DownloadCaller*>(self);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  it.Read(SIZE_MAX);
  it.is_broken_ = !it.is_complete_;
}

void DownloadCaller::Read(std::size_t most) {
  if (!bev_) return;
  evbuffer* input = bufferevent_get_input(bev_.get());
  std::string buf(std::min(most, evbuffer_get_length(input)), '\0');
  evbuffer_remove(input, buf.data(), buf.size());
  std::vector<http1::Response> responses;
  const auto failure = parser_.Feed(buf, responses);
  is_correct_ = is_correct_ && !failure;
  if (responses.empty()) {
    if (parser_.body_bytes() > 0) status_ = parser_.PartialHead().status;
    Check(parser_.TakeBody());
    return;
  }
  status_ = responses.front().status;
  Check(responses.front().body);
  is_complete_ = true;
}

void DownloadCaller::Check(const std::string& part) {
  if (status_ != 200) return;
  for (const char it : part) {
    is_correct_ = is_correct_ && it == DownloadByte(received_++);
  }
}

}  // namespace ibisladder::process
