#include "tests/process/closing_server.h"

#include <event2/buffer.h>
#include <sys/socket.h>

#include <functional>
#include <utility>

#include "libs/net/socket_address.h"
#include "platform/wire_names.h"

namespace ibisladder::process {
namespace {

/// Connections that the operating system queues while the server does not
/// accept; few, so that further SYN packets are dropped.
constexpr int kBacklog = 8;
constexpr std::int64_t kMinServiceMs = 5;
constexpr std::int64_t kMaxServiceMs = 20;
constexpr int kStatusOk = 200;
constexpr char kHealthPath[] = "/healthz";

std::string HeaderOf(const http1::Request& request, const char* name) {
  const std::string* it = http1::FindHeader(request.headers, name);
  return it == nullptr ? "" : *it;
}

/// Makes the close of a socket send a reset.
void ResetOnClose(evutil_socket_t fd) {
  const linger it{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &it, sizeof(it));
}

}  // namespace

ClosingServer::ClosingServer(net::EventLoop& loop, std::string name,
                             Executions& executions)
    : loop_(loop),
      name_(std::move(name)),
      executions_(executions),
      random_(std::hash<std::string>()(name_)) {}

Expected<std::unique_ptr<ClosingServer>> ClosingServer::Listen(
    net::EventLoop& loop, const Endpoint& endpoint, std::string name,
    Executions& executions) {
  auto address = net::ToSocketAddress(endpoint);
  if (!address) return tl::unexpected<Error>(address.error());
  std::unique_ptr<ClosingServer> server(
      new ClosingServer(loop, std::move(name), executions));
  server->listener_.reset(evconnlistener_new_bind(
      loop.base(), &ClosingServer::OnAccept, server.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kBacklog, address->get(), static_cast<int>(address->size)));
  if (server->listener_ == nullptr) {
    return Fail(ResultCode::kInternal, FormatEndpoint(endpoint),
                "cannot bind the endpoint of a backend server");
  }
  return server;
}

void ClosingServer::SetAccepting(bool is_accepting) {
  if (is_accepting) {
    evconnlistener_enable(listener_.get());
  } else {
    evconnlistener_disable(listener_.get());
  }
}

void ClosingServer::SetResetting(bool is_resetting) {
  is_resetting_ = is_resetting;
  if (!is_resetting) return;
  while (!connections_.empty()) Reset(connections_.begin()->second);
}

void ClosingServer::OnAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                             sockaddr* /*address*/, int /*size*/, void* self) {
  static_cast<ClosingServer*>(self)->Accept(fd);
}

void ClosingServer::OnReadable(bufferevent* /*bev*/, void* connection) {
  auto& it = *static_cast<Connection*>(connection);
  it.server->Read(it);
}

void ClosingServer::OnWritten(bufferevent* /*bev*/, void* connection) {
  auto& it = *static_cast<Connection*>(connection);
  // libevent also reports an empty output before anything is written.
  if (it.has_answered) it.server->connections_.erase(it.id);
}

void ClosingServer::OnEvent(bufferevent* /*bev*/, short what,  // NOLINT
                            void* connection) {
  auto& it = *static_cast<Connection*>(connection);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    it.server->connections_.erase(it.id);
  }
}

void ClosingServer::Accept(evutil_socket_t fd) {
  const std::uint64_t id = ++last_connection_;
  std::unique_ptr<bufferevent, BufferDeleter> bev(
      bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  Connection& connection =
      connections_
          .emplace(id, Connection{this,
                                  id,
                                  std::move(bev),
                                  http1::RequestParser::Create({}),
                                  {}})
          .first->second;
  if (is_resetting_ && id % 2 == 0) {
    Reset(connection);
    return;
  }
  bufferevent_setcb(connection.bev.get(), &ClosingServer::OnReadable,
                    &ClosingServer::OnWritten, &ClosingServer::OnEvent,
                    &connection);
  bufferevent_enable(connection.bev.get(), EV_READ | EV_WRITE);
}

void ClosingServer::Read(Connection& connection) {
  evbuffer* input = bufferevent_get_input(connection.bev.get());
  std::string buf(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, buf.data(), buf.size());
  std::vector<http1::Request> requests;
  connection.parser.Feed(buf, requests);
  if (!requests.empty()) Handle(connection, requests.front());
}

void ClosingServer::Handle(Connection& connection,
                           const http1::Request& request) {
  const std::string request_id = HeaderOf(request, platform::kRequestId);
  const bool is_health_check = request.target == kHealthPath;
  if (!is_health_check) {
    executions_[request_id].push_back({name_, net::MonotonicNow()});
  }
  if (!crashing_target_.empty() &&
      request.target.starts_with(crashing_target_)) {
    Crash();
    return;
  }
  if (is_resetting_) {
    Reset(connection);
    return;
  }
  http1::Response response;
  response.status = kStatusOk;
  response.headers = {{platform::kServerName, name_},
                      {platform::kSignature, "s"},
                      {platform::kRequestId, request_id}};
  response.headers.insert(response.headers.end(), extra_headers_.begin(),
                          extra_headers_.end());
  response.body = request_id;
  const std::int64_t spread = kMaxServiceMs - kMinServiceMs + 1;
  const auto millis = static_cast<std::int64_t>(
      UniformBelow(random_, static_cast<std::uint64_t>(spread)));
  connection.delay = std::make_unique<net::Timer>(
      loop_, net::Timer::Kind::kOnce, Millis(kMinServiceMs + millis),
      [&connection, bytes = http1::FormatResponse(response, true, false)] {
        connection.has_answered = true;
        bufferevent_write(connection.bev.get(), bytes.data(), bytes.size());
      });
}

void ClosingServer::Crash() {
  while (!connections_.empty()) Reset(connections_.begin()->second);
  listener_.reset();
  crashed_();
}

void ClosingServer::Reset(Connection& connection) {
  ResetOnClose(bufferevent_getfd(connection.bev.get()));
  connections_.erase(connection.id);
}

}  // namespace ibisladder::process
