#include "tools/ibisladder/http_sender.h"

#include "libs/net/event_loop.h"
#include "libs/net/http_client.h"

namespace ibisladder::tool {
namespace {

constexpr Duration kCallTimeout = Seconds(10);
/// Instances that do not answer are named, so that a short time does.
constexpr Duration kFetchTimeout = Seconds(3);
constexpr std::size_t kMaxFetchedBytes = 64U << 10U;

std::string FailureText(net::HttpFailure failure) {
  switch (failure) {
    case net::HttpFailure::kConnectFailed:
      return "the connection could not be opened";
    case net::HttpFailure::kConnectionLost:
      return "the connection was lost";
    case net::HttpFailure::kTruncated:
      return "the answer ended early";
    case net::HttpFailure::kTooLarge:
      return "the answer is larger than the limit";
    case net::HttpFailure::kTimeout:
      break;
  }
  return "no answer before the timeout";
}

net::HttpCall MakeHttpCall(const Endpoint& endpoint,
                           const rpc::ProcedureCall& call,
                           const std::string& token) {
  net::HttpCall http;
  http.id = 1;
  http.endpoint = endpoint;
  http.method = "POST";
  http.target = rpc::ProcedurePath(call);
  http.headers = {
      {"Authorization", "Bearer " + token},
      {"Content-Type",
       std::string(rpc::ContentTypeText(rpc::ContentType::kProtobuf))}};
  http.body = rpc::EncodeCall(call);
  http.timeout = kCallTimeout;
  http.max_answer_bytes = rpc::kMaxCallBytes;
  return http;
}

CallResult SendOverHttp(const Endpoint& endpoint,
                        const rpc::ProcedureCall& call,
                        const std::string& token) {
  CallResult result;
  result.detail = FormatEndpoint(endpoint);
  auto loop = net::EventLoop::Create();
  if (!loop) {
    result.detail += ": " + loop.error().message;
    return result;
  }
  net::HttpClient client(**loop);
  client.signal_answer().connect([&](net::HttpAnswer& answer) {
    result.delivery = Delivery::kAnswered;
    result.body = std::move(answer.body);
    (*loop)->Stop();
  });
  client.signal_error().connect([&](const net::HttpError& error) {
    if (error.failure != net::HttpFailure::kConnectFailed) {
      result.delivery = Delivery::kReplyLost;
    }
    result.detail += ": " + FailureText(error.failure);
    (*loop)->Stop();
  });
  client.Send(MakeHttpCall(endpoint, call, token));
  (*loop)->Run();
  return result;
}

}  // namespace

Sender MakeHttpSender(const std::string& token) {
  return [token](const Endpoint& endpoint, const rpc::ProcedureCall& call) {
    return SendOverHttp(endpoint, call, token);
  };
}

Expected<InstanceAnswer> FetchOverHttp(const Endpoint& endpoint,
                                       const std::string& target) {
  auto loop = net::EventLoop::Create();
  if (!loop) return tl::unexpected(loop.error());
  Expected<InstanceAnswer> result = InstanceAnswer();
  net::HttpClient client(**loop);
  client.signal_answer().connect([&](net::HttpAnswer& answer) {
    result = InstanceAnswer{answer.status, std::move(answer.body)};
    (*loop)->Stop();
  });
  client.signal_error().connect([&](const net::HttpError& error) {
    result = Fail(ResultCode::kUnavailable, FormatEndpoint(endpoint),
                  FailureText(error.failure));
    (*loop)->Stop();
  });
  net::HttpCall http;
  http.id = 1;
  http.endpoint = endpoint;
  http.target = target;
  http.timeout = kFetchTimeout;
  http.max_answer_bytes = kMaxFetchedBytes;
  client.Send(http);
  (*loop)->Run();
  return result;
}

}  // namespace ibisladder::tool
