#ifndef TESTS_AUTO_NET_HTTP_SESSION_H_
#define TESTS_AUTO_NET_HTTP_SESSION_H_

#include <memory>
#include <optional>
#include <utility>

#include "libs/net/http_client.h"

namespace ibisladder::net {

/// An event loop with a client, and the result of its last call.
struct Session {
  std::unique_ptr<EventLoop> loop = std::move(*EventLoop::Create());
  HttpClient client{*loop};
  std::optional<HttpAnswer> answer;
  std::optional<HttpFailure> failure;

  Session() {
    client.signal_answer().connect([this](HttpAnswer& it) {
      answer = it;
      loop->Stop();
    });
    client.signal_error().connect([this](const HttpError& it) {
      failure = it.failure;
      loop->Stop();
    });
  }

  void Send(HttpCall call) {
    answer.reset();
    failure.reset();
    call.id = 1;
    client.Send(call);
    loop->Run();
  }
};

inline HttpCall CallTo(const Endpoint& endpoint) {
  HttpCall call;
  call.endpoint = endpoint;
  return call;
}

}  // namespace ibisladder::net

#endif  // TESTS_AUTO_NET_HTTP_SESSION_H_
