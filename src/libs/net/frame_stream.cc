#include "libs/net/frame_stream.h"

#include <arpa/inet.h>
#include <event2/buffer.h>

#include <cstring>
#include <optional>
#include <utility>

#include "libs/net/socket_address.h"

namespace ibisladder::net {
namespace {

constexpr int kListenBacklog = 256;
constexpr timeval kConnectTimeout{1, 0};
/// Deferred callbacks, so that a connect that fails at once does not emit
/// signal_lost from within Send.
constexpr int kClientOptions = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;

void WriteFrame(bufferevent* bev, const std::string& bytes) {
  const std::uint32_t size = htonl(static_cast<std::uint32_t>(bytes.size()));
  bufferevent_write(bev, &size, sizeof(size));
  bufferevent_write(bev, bytes.data(), bytes.size());
}

enum class ReadResult { kFrame, kIncomplete, kOversized };

ReadResult ReadFrame(evbuffer* input, std::size_t limit, std::string& bytes) {
  std::uint32_t size = 0;
  if (evbuffer_copyout(input, &size, sizeof(size)) !=
      static_cast<ev_ssize_t>(sizeof(size))) {
    return ReadResult::kIncomplete;
  }
  size = ntohl(size);
  if (size > limit) return ReadResult::kOversized;
  if (evbuffer_get_length(input) < sizeof(size) + size) {
    return ReadResult::kIncomplete;
  }
  evbuffer_drain(input, sizeof(size));
  bytes.resize(size);
  evbuffer_remove(input, bytes.data(), size);
  return ReadResult::kFrame;
}

}  // namespace

struct FrameServer::Stream {
  FrameServer* server = nullptr;
  StreamId id;
  BufferEventPtr bev;
};

Expected<std::unique_ptr<FrameServer>> FrameServer::Listen(
    EventLoop& loop, const Endpoint& endpoint, std::size_t max_frame_bytes) {
  auto address = ToSocketAddress(endpoint);
  if (!address) return tl::unexpected<Error>(address.error());
  std::unique_ptr<FrameServer> result(new FrameServer());
  result->loop_ = &loop;
  result->max_frame_bytes_ = max_frame_bytes;
  result->listener_ = evconnlistener_new_bind(
      loop.base(), &FrameServer::OnAccept, result.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kListenBacklog, address->get(), static_cast<int>(address->size));
  if (result->listener_ == nullptr) {
    return Fail(ResultCode::kInternal, FormatEndpoint(endpoint),
                "the TCP endpoint cannot be bound");
  }
  return result;
}

FrameServer::~FrameServer() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

void FrameServer::Send(StreamId stream, const std::string& bytes) {
  const auto it = streams_.find(stream);
  if (it != streams_.end()) WriteFrame(it->second->bev.get(), bytes);
}

void FrameServer::Close(StreamId stream) { streams_.erase(stream); }

void FrameServer::OnAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                           sockaddr* /*address*/, int /*size*/, void* self) {
  auto* server = static_cast<FrameServer*>(self);
  auto stream = std::make_unique<Stream>();
  stream->server = server;
  stream->id = StreamId(++server->last_id_);
  stream->bev.reset(
      bufferevent_socket_new(server->loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(stream->bev.get(), &FrameServer::OnReadable, nullptr,
                    &FrameServer::OnEvent, stream.get());
  bufferevent_enable(stream->bev.get(), EV_READ | EV_WRITE);
  server->streams_[stream->id] = std::move(stream);
}

void FrameServer::OnReadable(bufferevent* bev, void* stream) {
  auto* it = static_cast<Stream*>(stream);
  FrameServer* server = it->server;
  const StreamId id = it->id;
  ReceivedFrame frame{id, {}};
  // The handler of a frame may close the stream.
  while (server->streams_.count(id) != 0) {
    switch (ReadFrame(bufferevent_get_input(bev), server->max_frame_bytes_,
                      frame.bytes)) {
      case ReadResult::kIncomplete:
        return;
      case ReadResult::kOversized:
        server->oversized_.emit(id);
        server->streams_.erase(id);
        server->closed_.emit(id);
        return;
      case ReadResult::kFrame:
        server->frame_.emit(frame);
    }
  }
}

void FrameServer::OnEvent(bufferevent* /*bev*/, short what,  // NOLINT
                          void* stream) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  auto* it = static_cast<Stream*>(stream);
  FrameServer* server = it->server;
  const StreamId id = it->id;
  server->streams_.erase(id);
  server->closed_.emit(id);
}

struct FrameClient::Link {
  FrameClient* client = nullptr;
  Endpoint peer;
  BufferEventPtr bev;
  bool connected = false;
};

FrameClient::FrameClient(EventLoop& loop, std::size_t max_frame_bytes)
    : loop_(loop), max_frame_bytes_(max_frame_bytes) {}

FrameClient::~FrameClient() = default;

void FrameClient::Send(const Endpoint& peer, const std::string& bytes) {
  auto& link = links_[peer];
  if (link == nullptr) {
    link = std::make_unique<Link>();
    link->client = this;
    link->peer = peer;
    link->bev.reset(bufferevent_socket_new(loop_.base(), -1, kClientOptions));
    bufferevent* bev = link->bev.get();
    bufferevent_setcb(bev, &FrameClient::OnReadable, nullptr,
                      &FrameClient::OnEvent, link.get());
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    bufferevent_set_timeouts(bev, nullptr, &kConnectTimeout);
    if (auto address = ToSocketAddress(peer)) {
      bufferevent_socket_connect(bev, address->get(),
                                 static_cast<int>(address->size));
    }
  }
  WriteFrame(link->bev.get(), bytes);
}

void FrameClient::OnReadable(bufferevent* bev, void* link) {
  auto* it = static_cast<Link*>(link);
  FrameClient* client = it->client;
  const Endpoint peer = it->peer;
  std::string bytes;
  while (true) {
    switch (ReadFrame(bufferevent_get_input(bev), client->max_frame_bytes_,
                      bytes)) {
      case ReadResult::kIncomplete:
        return;
      case ReadResult::kOversized:
        client->links_.erase(peer);
        client->lost_.emit(peer, true);
        return;
      case ReadResult::kFrame:
        client->frame_.emit(peer, bytes);
    }
  }
}

void FrameClient::OnEvent(bufferevent* bev, short what,  // NOLINT
                          void* link) {
  auto* it = static_cast<Link*>(link);
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    it->connected = true;
    bufferevent_set_timeouts(bev, nullptr, nullptr);
    return;
  }
  FrameClient* client = it->client;
  const Endpoint peer = it->peer;
  const bool was_connected = it->connected;
  client->links_.erase(peer);
  client->lost_.emit(peer, was_connected);
}

}  // namespace ibisladder::net
