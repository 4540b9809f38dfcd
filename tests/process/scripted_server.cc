#include "tests/process/scripted_server.h"

#include <event2/buffer.h>
#include <sys/socket.h>

#include <stdexcept>
#include <utility>

#include "libs/net/socket_address.h"
#include "platform/wire_names.h"
#include "tests/process/raw_caller.h"

namespace ibisladder::process {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

}  // namespace

ScriptedServer::ScriptedServer(net::EventLoop& loop, const Endpoint& endpoint,
                               std::string name)
    : loop_(loop), name_(std::move(name)) {
  const auto address = net::ToSocketAddress(endpoint);
  listener_.reset(evconnlistener_new_bind(
      loop.base(), &ScriptedServer::OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
      address->get(), static_cast<int>(address->size)));
  if (listener_ == nullptr) throw std::runtime_error("cannot bind a server");
}

void ScriptedServer::OnAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                              sockaddr* /*address*/, int /*size*/, void* self) {
  auto& server = *static_cast<ScriptedServer*>(self);
  const std::uint64_t id = ++server.last_connection_;
  Connection& connection = server.connections_[id];
  connection.server = &server;
  connection.id = id;
  connection.bev.reset(
      bufferevent_socket_new(server.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(connection.bev.get(), &ScriptedServer::OnReadable,
                    &ScriptedServer::OnWritten, &ScriptedServer::OnEvent,
                    &connection);
  bufferevent_enable(connection.bev.get(), EV_READ | EV_WRITE);
}

void ScriptedServer::OnReadable(bufferevent* bev, void* connection) {
  auto& it = *static_cast<Connection*>(connection);
  evbuffer* input = bufferevent_get_input(bev);
  std::string buf(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, buf.data(), buf.size());
  it.input += buf;
  const std::size_t head_end = it.input.find(kHeadEnd);
  if (head_end == std::string::npos || it.is_answering) return;
  const std::size_t size =
      head_end + kHeadEnd.size() + LengthOf(it.input.substr(0, head_end));
  const bool reads_body = it.server->answer_.reads_body;
  if (!reads_body || it.input.size() >= size) it.server->Answer(it);
}

void ScriptedServer::OnWritten(bufferevent* /*bev*/, void* connection) {
  auto& it = *static_cast<Connection*>(connection);
  // libevent also reports an empty output before anything is written.
  if (!it.is_answering) return;
  if (it.end == ScriptedAnswer::End::kKeepOpen) {
    it.is_answering = false;
    return;
  }
  it.end_timer =
      std::make_unique<net::Timer>(it.server->loop_, net::Timer::Kind::kOnce,
                                   it.end_delay, [&it] { it.server->End(it); });
}

void ScriptedServer::OnEvent(bufferevent* /*bev*/, short what,  // NOLINT
                             void* connection) {
  auto& it = *static_cast<Connection*>(connection);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    it.server->connections_.erase(it.id);
  }
}

void ScriptedServer::Answer(Connection& connection) {
  ++answered_;
  const std::string head =
      connection.input.substr(0, connection.input.find(kHeadEnd));
  connection.input.clear();
  connection.is_answering = true;
  connection.end = answer_.end;
  connection.end_delay = answer_.end_delay;
  if (!answer_.reads_body) {
    bufferevent_disable(connection.bev.get(), EV_READ);
  }
  const std::string bytes =
      answer_.status_line + std::string(platform::kServerName) + ": " + name_ +
      "\r\n" + platform::kSignature + ": s\r\n" + platform::kRequestId + ": " +
      FieldOf(head, platform::kRequestId) + "\r\n" + answer_.fields + "\r\n" +
      answer_.body;
  bufferevent_write(connection.bev.get(), bytes.data(), bytes.size());
}

void ScriptedServer::End(Connection& connection) {
  const int fd = bufferevent_getfd(connection.bev.get());
  if (connection.end == ScriptedAnswer::End::kShutdown) {
    shutdown(fd, SHUT_WR);
    return;
  }
  if (connection.end == ScriptedAnswer::End::kReset) {
    const linger reset{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  connections_.erase(connection.id);
}

}  // namespace ibisladder::process
