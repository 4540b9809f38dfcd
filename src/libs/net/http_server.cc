#include "libs/net/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <utility>

namespace ibisladder::net {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1000000;

constexpr std::size_t kMaxReadAhead = 64U << 10U;

constexpr unsigned kAllowedMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

const char* MethodName(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "OTHER";
  }
}

/// Keeps reading while a request is unanswered. evhttp would stop until the
/// reply, and so would not detect that the caller closes the connection.
/// Further requests stay in the buffer, up to kMaxReadAhead bytes. evhttp
/// restores its own callbacks when it replies.
void WatchForClose(evhttp_connection* connection) {
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  bufferevent_data_cb on_read = nullptr;
  bufferevent_data_cb on_write = nullptr;
  bufferevent_event_cb on_event = nullptr;
  void* context = nullptr;
  bufferevent_getcb(bev, &on_read, &on_write, &on_event, &context);
  bufferevent_setcb(bev, nullptr, on_write, on_event, context);
  bufferevent_setwatermark(bev, EV_READ, 0, kMaxReadAhead);
  bufferevent_enable(bev, EV_READ);
}

}  // namespace

Expected<std::unique_ptr<HttpServer>> HttpServer::Listen(
    EventLoop& loop, const Endpoint& endpoint, const Limits& limits) {
  std::unique_ptr<HttpServer> server(new HttpServer());
  server->http_ = evhttp_new(loop.base());
  evhttp* http = server->http_;
  evhttp_set_allowed_methods(http, kAllowedMethods);
  evhttp_set_max_headers_size(http,
                              static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_max_body_size(http,
                           static_cast<ev_ssize_t>(limits.max_body_bytes));
  evhttp_set_timeout(
      http, static_cast<int>(limits.idle_timeout.count() / kMicrosPerSecond));
  evhttp_set_default_content_type(http, nullptr);
  evhttp_set_gencb(http, &HttpServer::OnRequest, server.get());
  server->socket_ = evhttp_bind_socket_with_handle(
      http, endpoint.address.c_str(), endpoint.port);
  if (server->socket_ == nullptr) {
    return Fail(ResultCode::kInternal, FormatEndpoint(endpoint),
                "the HTTP endpoint cannot be bound");
  }
  return server;
}

HttpServer::~HttpServer() {
  for (auto& [connection, id] : by_connection_) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
  evhttp_free(http_);
}

void HttpServer::Reply(std::uint64_t id, int status, const Headers& headers,
                       const std::string& body) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  evhttp_request* request = it->second;
  pending_.erase(it);
  if (evhttp_connection* connection = evhttp_request_get_connection(request)) {
    by_connection_.erase(connection);
  }
  evkeyvalq* fields = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : headers) {
    if (!IsHopByHop(name)) {
      evhttp_add_header(fields, name.c_str(), value.c_str());
    }
  }
  evbuffer* buf = evbuffer_new();
  evbuffer_add(buf, body.data(), body.size());
  evhttp_send_reply(request, status, nullptr, buf);
  evbuffer_free(buf);
}

void HttpServer::StopListening() {
  if (socket_ == nullptr) return;
  evhttp_del_accept_socket(http_, socket_);
  socket_ = nullptr;
}

void HttpServer::OnRequest(evhttp_request* request, void* self) {
  static_cast<HttpServer*>(self)->Accept(request);
}

void HttpServer::OnClose(evhttp_connection* connection, void* self) {
  static_cast<HttpServer*>(self)->Abandon(connection);
}

void HttpServer::Accept(evhttp_request* request) {
  HttpRequest it;
  it.id = ++last_id_;
  it.method = MethodName(evhttp_request_get_command(request));
  it.target = evhttp_request_get_uri(request);
  it.headers = Internal::CopyHeaders(evhttp_request_get_input_headers(request));
  it.body = Internal::CopyBody(evhttp_request_get_input_buffer(request));
  evhttp_connection* connection = evhttp_request_get_connection(request);
  evhttp_connection_set_closecb(connection, &HttpServer::OnClose, this);
  WatchForClose(connection);
  pending_[it.id] = request;
  by_connection_[connection] = it.id;
  request_.emit(it);
}

void HttpServer::Abandon(evhttp_connection* connection) {
  const auto it = by_connection_.find(connection);
  if (it == by_connection_.end()) return;
  const std::uint64_t id = it->second;
  by_connection_.erase(it);
  // When a connection closes, evhttp leaves its unanswered request to us.
  const auto request = pending_.find(id);
  if (request != pending_.end()) {
    evhttp_request* abandoned = request->second;
    pending_.erase(request);
    if (evhttp_request_get_connection(abandoned) == nullptr) {
      evhttp_request_free(abandoned);
    }
  }
  abandoned_.emit(id);
}

}  // namespace ibisladder::net
