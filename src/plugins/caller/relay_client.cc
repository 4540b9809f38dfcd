#include "plugins/caller/relay_client.h"

#include <utility>
#include <vector>

namespace ibisladder::caller {

RelayClient::RelayClient(net::EventLoop& loop, const wire::Sender& sender)
    : sender_(sender), client_(loop, wire::kMaxFrameBytes) {
  client_.signal_frame().connect(sigc::mem_fun(*this, &RelayClient::OnFrame));
  client_.signal_lost().connect(sigc::mem_fun(*this, &RelayClient::OnLost));
}

void RelayClient::Send(const callerpath::RelayCall& relay) {
  wire::RelayCallFrame frame;
  frame.sender = NextSender();
  frame.exchange = relay.call.value();
  frame.request = relay.request;
  SendFrame(relay.call, relay.endpoint, frame);
}

void RelayClient::Send(const callerpath::RelayOutcome& relay) {
  wire::RelayOutcomeFrame frame;
  frame.sender = NextSender();
  frame.exchange = relay.call.value();
  frame.request_id = relay.request_id;
  frame.settle = relay.settle;
  SendFrame(relay.call, relay.endpoint, frame);
}

void RelayClient::Cancel(CallId call) {
  const auto it = homes_.find(call);
  if (it == homes_.end()) return;
  const Endpoint home = it->second;
  homes_.erase(it);
  client_.Send(home, wire::EncodeFrame(
                         wire::RelayCancelFrame{NextSender(), call.value()}));
}

void RelayClient::SendFrame(CallId call, const Endpoint& home,
                            const wire::Frame& frame) {
  homes_[call] = home;
  client_.Send(home, wire::EncodeFrame(frame));
}

void RelayClient::OnFrame(const Endpoint& home, const std::string& bytes) {
  auto frame = wire::DecodeFrame(bytes, sender_.fleet);
  if (!frame) return;
  auto* answer = std::get_if<wire::RelayAnswerFrame>(&*frame);
  if (answer == nullptr) return;
  const auto it = homes_.find(CallId(answer->exchange));
  // Drops answers to cancelled calls and answers from another peer.
  if (it == homes_.end() || it->second != home) return;
  homes_.erase(it);
  callerpath::RelayAnswered event{CallId(answer->exchange),
                                  std::move(answer->answer)};
  answer_.emit(event);
}

void RelayClient::OnLost(const Endpoint& home, bool was_connected) {
  std::vector<CallId> lost;
  for (const auto& [call, endpoint] : homes_) {
    if (endpoint == home) lost.push_back(call);
  }
  for (const CallId it : lost) homes_.erase(it);
  for (const CallId it : lost) {
    failed_.emit(callerpath::RelayFailed{it, was_connected});
  }
}

wire::Sender RelayClient::NextSender() {
  ++sender_.sequence;
  return sender_;
}

}  // namespace ibisladder::caller
