#ifndef TESTS_AUTO_SUPPORT_ENDLESS_SERVER_H_
#define TESTS_AUTO_SUPPORT_ENDLESS_SERVER_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/net/event_loop.h"
#include "libs/net/socket_address.h"

namespace ibisladder::testing {

/// An answer that never ends: its start, and what follows again and again.
struct EndlessAnswer {
  const char* title;
  std::string start;
  std::string repeated;
};

/// Answers each request with bytes without end, until the peer closes.
class EndlessServer {
 public:
  EndlessServer(net::EventLoop& loop, const Endpoint& endpoint,
                const EndlessAnswer& answer)
      : start_(answer.start) {
    constexpr std::size_t kBlockBytes = 65536;
    while (block_.size() < kBlockBytes) block_ += answer.repeated;
    const auto address = net::ToSocketAddress(endpoint);
    listener_ = evconnlistener_new_bind(
        loop.base(), &EndlessServer::OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, address->get(),
        static_cast<int>(address->size));
  }
  ~EndlessServer() {
    for (bufferevent* it : connections_) bufferevent_free(it);
    evconnlistener_free(listener_);
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  /// Bytes that the kernel took, over all connections.
  std::size_t sent() const { return sent_; }
  /// Number of connections that the peer closed.
  int closed() const { return closed_; }

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* /*address*/, int /*size*/, void* self) {
    bufferevent* bev = bufferevent_socket_new(evconnlistener_get_base(listener),
                                              fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, &EndlessServer::OnReadable,
                      &EndlessServer::OnWritten, &EndlessServer::OnEvent, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    static_cast<EndlessServer*>(self)->connections_.push_back(bev);
  }
  static void OnReadable(bufferevent* bev, void* self) {
    auto& it = *static_cast<EndlessServer*>(self);
    evbuffer* input = bufferevent_get_input(bev);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (it.is_answering_) return;
    it.is_answering_ = true;
    it.Write(bev, it.start_ + it.block_);
  }
  static void OnWritten(bufferevent* bev, void* self) {
    auto& it = *static_cast<EndlessServer*>(self);
    if (it.is_answering_) it.Write(bev, it.block_);
  }
  static void OnEvent(bufferevent* bev, short what,  // NOLINT
                      void* self) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    auto& it = *static_cast<EndlessServer*>(self);
    ++it.closed_;
    it.is_answering_ = false;
    std::erase(it.connections_, bev);
    bufferevent_free(bev);
  }

  void Write(bufferevent* bev, const std::string& bytes) {
    bufferevent_write(bev, bytes.data(), bytes.size());
    sent_ += bytes.size();
  }

  std::string start_;
  std::string block_;
  std::size_t sent_ = 0;
  int closed_ = 0;
  bool is_answering_ = false;
  std::vector<bufferevent*> connections_;
  evconnlistener* listener_ = nullptr;
};

/// Answers without end, in the head, between messages, and in the body.
inline std::vector<EndlessAnswer> EndlessAnswers() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"bytes that are no answer", "", "x"},
      {"zero bytes", "", std::string(1, '\0')},
      {"empty lines", "", "\r\n"},
      {"a status line", "HTTP/1.1 200 ", "OK"},
      {"a field name", ok, "x"},
      {"a field value", ok + "a: ", "x"},
      {"fields", ok, "a: b\r\n"},
      {"folded lines", ok + "a: b\r\n", " c\r\n"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"a body without a length", ok + "\r\n", "x"},
      {"a body of a huge length",
       ok + "Content-Length: 999999999999999\r\n\r\n", "x"},
      {"chunks", chunked, "1\r\nx\r\n"},
      {"a chunk size", chunked, "0"},
      {"a chunk extension", chunked + "1;", "x"},
      {"chunk extensions", chunked,
       "1;" + std::string(1000, 'e') + "\r\nx\r\n"},
      {"trailer fields", chunked + "0\r\n", "a: b\r\n"},
  };
}

/// Whole answers that are followed by bytes without end.
inline std::vector<EndlessAnswer> EndlessBytesBehindAnswers() {
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
  return {
      {"bytes behind an answer", whole, "x"},
      {"zero bytes behind an answer", whole, std::string(1, '\0')},
      {"empty lines behind an answer", whole, "\r\n"},
      {"answers behind an answer", whole, whole},
      {"an endless answer behind an answer", whole + "HTTP/1.1 200 OK\r\n\r\n",
       "x"},
      {"interim answers behind an answer", whole,
       "HTTP/1.1 100 Continue\r\n\r\n"},
  };
}

}  // namespace ibisladder::testing

#endif  // TESTS_AUTO_SUPPORT_ENDLESS_SERVER_H_
