/// Stand-in for a link between two processes: forwards TCP and UDP from one
/// endpoint to another, and can cut one or both directions, or delay the data.
///
/// Control request, over HTTP:
///   PUT /standin/link {"forward": bool, "backward": bool, "delay_ms": n}
/// "forward" is the direction from the connecting side. A cut direction
/// silently drops its data, and open connections stay open.
///
/// UDP: the relay sends each sender's datagrams to the target from a separate
/// socket, and returns datagrams received there to that sender.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <csignal>
#include <iterator>
#include <list>
#include <map>
#include <memory>
#include <utility>

#include "libs/net/frame_stream.h"
#include "libs/net/socket_address.h"
#include "libs/net/udp_socket.h"
#include "tests/standins/standin_flags.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:20401", "ADDRESS:PORT");
ABSL_FLAG(std::string, target, "127.0.0.1:20402", "ADDRESS:PORT");
ABSL_FLAG(std::string, control, "127.0.0.1:20403", "ADDRESS:PORT");
ABSL_FLAG(std::string, first_udp, "127.0.0.1:20410",
          "first of the UDP endpoints used on behalf of senders");

namespace ibisladder::standins {
namespace {

struct LinkState {
  bool forward = true;
  bool backward = true;
  Duration delay{};
};

/// One TCP connection through the relay.
struct Connection {
  net::EventLoop* loop = nullptr;
  const LinkState* link = nullptr;
  net::BufferEventPtr client;
  net::BufferEventPtr server;
  bool closed = false;
  /// Timers of delayed data, in order of arrival.
  std::list<std::unique_ptr<net::Timer>> delayed;
};

class TcpRelay {
 public:
  TcpRelay(net::EventLoop& loop, const LinkState& link, const Endpoint& listen,
           const Endpoint& target)
      : loop_(loop), link_(link), target_(target) {
    auto address = OrExit(net::ToSocketAddress(listen));
    listener_ =
        evconnlistener_new_bind(loop.base(), &TcpRelay::OnAccept, this,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                address.get(), static_cast<int>(address.size));
    if (listener_ == nullptr) {
      ExitWith(
          {ResultCode::kInternal, FormatEndpoint(listen), "cannot be bound"});
    }
  }
  ~TcpRelay() { evconnlistener_free(listener_); }
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  void RemoveClosed() {
    connections_.remove_if([](const auto& it) { return it->closed; });
  }

 private:
  static void OnAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                       sockaddr* /*address*/, int /*size*/, void* self) {
    static_cast<TcpRelay*>(self)->AddConnection(fd);
  }

  void AddConnection(evutil_socket_t fd) {
    auto connection = std::make_unique<Connection>();
    constexpr int kOptions = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;
    connection->loop = &loop_;
    connection->link = &link_;
    connection->client.reset(
        bufferevent_socket_new(loop_.base(), fd, kOptions));
    connection->server.reset(
        bufferevent_socket_new(loop_.base(), -1, kOptions));
    for (bufferevent* it :
         {connection->client.get(), connection->server.get()}) {
      bufferevent_setcb(it, &TcpRelay::OnData, nullptr, &TcpRelay::OnEvent,
                        connection.get());
      bufferevent_enable(it, EV_READ | EV_WRITE);
    }
    auto address = OrExit(net::ToSocketAddress(target_));
    bufferevent_socket_connect(connection->server.get(), address.get(),
                               static_cast<int>(address.size));
    connections_.push_back(std::move(connection));
  }

  static void OnData(bufferevent* from, void* connection) {
    auto* it = static_cast<Connection*>(connection);
    const bool forward = from == it->client.get();
    bufferevent* to = forward ? it->server.get() : it->client.get();
    evbuffer* input = bufferevent_get_input(from);
    if (!(forward ? it->link->forward : it->link->backward)) {
      evbuffer_drain(input, evbuffer_get_length(input));
    } else if (it->link->delay == Duration(0)) {
      bufferevent_write_buffer(to, input);
    } else {
      WriteDelayed(*it, to, input);
    }
  }

  static void WriteDelayed(Connection& connection, bufferevent* to,
                           evbuffer* input) {
    const std::string bytes = net::Internal::CopyBody(input);
    evbuffer_drain(input, bytes.size());
    connection.delayed.push_back(nullptr);
    const auto slot = std::prev(connection.delayed.end());
    *slot = std::make_unique<net::Timer>(
        *connection.loop, net::Timer::Kind::kOnce, connection.link->delay,
        [&connection, to, bytes, slot] {
          if (!connection.closed)
            bufferevent_write(to, bytes.data(), bytes.size());
          connection.delayed.erase(slot);
        });
  }

  static void OnEvent(bufferevent* bev, short what, void* data) {  // NOLINT
    if ((what & BEV_EVENT_CONNECTED) != 0) return;
    auto* it = static_cast<Connection*>(data);
    const bool forward = bev == it->client.get();
    // A cut direction does not pass on the end of a connection either.
    const bool is_open = forward ? it->link->forward : it->link->backward;
    if (!is_open) return;
    it->closed = true;
    it->client.reset();
    it->server.reset();
  }

  net::EventLoop& loop_;
  const LinkState& link_;
  Endpoint target_;
  evconnlistener* listener_ = nullptr;
  std::list<std::unique_ptr<Connection>> connections_;
};

class UdpRelay {
 public:
  UdpRelay(net::EventLoop& loop, const LinkState& link, const Endpoint& listen,
           Endpoint target, Endpoint first)
      : loop_(loop),
        link_(link),
        target_(std::move(target)),
        next_sender_endpoint_(std::move(first)),
        socket_(OrExit(net::UdpSocket::Bind(loop, listen))) {
    socket_->signal_received().connect(
        [this](net::Datagram& it) { Forward(it); });
  }

 private:
  void Forward(const net::Datagram& datagram) {
    auto& sender = senders_[datagram.peer];
    if (sender == nullptr) {
      sender = OrExit(net::UdpSocket::Bind(loop_, next_sender_endpoint_));
      ++next_sender_endpoint_.port;
      sender->signal_received().connect(
          [this, peer = datagram.peer](net::Datagram& it) {
            if (link_.backward) SendDelayed(*socket_, peer, it.bytes);
          });
    }
    if (link_.forward) SendDelayed(*sender, target_, datagram.bytes);
  }

  void SendDelayed(net::UdpSocket& socket, const Endpoint& to,
                   const std::string& bytes) {
    if (link_.delay == Duration(0)) return socket.Send(to, bytes);
    delayed_.push_back(nullptr);
    auto it = std::prev(delayed_.end());
    *it = std::make_unique<net::Timer>(loop_, net::Timer::Kind::kOnce,
                                       link_.delay,
                                       [this, &socket, to, bytes, it] {
                                         socket.Send(to, bytes);
                                         delayed_.erase(it);
                                       });
  }

  net::EventLoop& loop_;
  const LinkState& link_;
  Endpoint target_;
  Endpoint next_sender_endpoint_;
  std::unique_ptr<net::UdpSocket> socket_;
  std::map<Endpoint, std::unique_ptr<net::UdpSocket>> senders_;
  std::list<std::unique_ptr<net::Timer>> delayed_;
};

}  // namespace
}  // namespace ibisladder::standins

int main(int argc, char** argv) {
  using namespace ibisladder;            // NOLINT
  using namespace ibisladder::standins;  // NOLINT
  absl::ParseCommandLine(argc, argv);
  auto loop = OrExit(net::EventLoop::Create());
  LinkState link;
  const Endpoint listen = EndpointFlag(absl::GetFlag(FLAGS_listen));
  const Endpoint target = EndpointFlag(absl::GetFlag(FLAGS_target));
  TcpRelay tcp(*loop, link, listen, target);
  const UdpRelay udp(*loop, link, listen, target,
                     EndpointFlag(absl::GetFlag(FLAGS_first_udp)));
  auto control = OrExit(net::HttpServer::Listen(
      *loop, EndpointFlag(absl::GetFlag(FLAGS_control)), {}));
  control->signal_request().connect([&](net::HttpRequest& request) {
    const auto body = JsonBody(request);
    link.forward = body.value("forward", link.forward);
    link.backward = body.value("backward", link.backward);
    link.delay = Millis(body.value("delay_ms", ToMillis(link.delay)));
    control->Reply(request.id, 200, {}, "{}");
  });
  const net::Timer cleanup(*loop, net::Timer::Kind::kPeriodic, Seconds(1),
                           [&] { tcp.RemoveClosed(); });
  const net::SignalWatch stop(*loop, SIGTERM, [&] { loop->Stop(); });
  loop->Run();
  return 0;
}
