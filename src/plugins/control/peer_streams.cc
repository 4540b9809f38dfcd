#include "plugins/control/peer_streams.h"

#include <utility>
#include <vector>

namespace ibisladder::control {
namespace {

constexpr Duration kFetchTimeout = Seconds(3);

}  // namespace

Expected<std::unique_ptr<PeerStreams>> PeerStreams::Listen(
    net::EventLoop& loop, const Endpoint& endpoint,
    const wire::Sender& sender) {
  auto server = net::FrameServer::Listen(loop, endpoint, wire::kMaxFrameBytes);
  if (!server) return tl::unexpected<Error>(server.error());
  return std::unique_ptr<PeerStreams>(
      new PeerStreams(std::move(*server), loop, sender));
}

PeerStreams::PeerStreams(std::unique_ptr<net::FrameServer> server,
                         net::EventLoop& loop, const wire::Sender& sender)
    : sender_(sender),
      server_(std::move(server)),
      client_(loop, wire::kMaxFrameBytes) {
  server_->signal_frame().connect(
      sigc::mem_fun(*this, &PeerStreams::OnServerFrame));
  server_->signal_closed().connect([this](net::StreamId stream) {
    relay_.emit(tasks::RelayStreamClosed{stream});
  });
  server_->signal_oversized().connect([this](net::StreamId /*stream*/) {
    refused_.emit(
        Error{ResultCode::kOversizedMessage, "peer stream",
              "the frame exceeds the size limit; the connection is closed"});
  });
  client_.signal_frame().connect(
      sigc::mem_fun(*this, &PeerStreams::OnClientFrame));
  client_.signal_lost().connect(
      [this](const Endpoint& peer, bool /*was_connected*/) {
        OnClientLost(peer);
      });
}

void PeerStreams::AnswerRelay(const tasks::RelayReply& reply) {
  wire::RelayAnswerFrame frame;
  frame.sender = NextSender();
  frame.exchange = reply.origin.exchange;
  frame.answer = reply.answer;
  server_->Send(reply.origin.stream, wire::EncodeFrame(frame));
}

void PeerStreams::AnswerFetch(const controlplane::AnswerFetch& action) {
  const auto it = served_.find(action.exchange);
  if (it == served_.end()) return;
  wire::ConfigReplyFrame frame = action.frame;
  frame.sender = NextSender();
  frame.exchange = it->second.exchange;
  server_->Send(it->second.stream, wire::EncodeFrame(frame));
  served_.erase(it);
}

void PeerStreams::Fetch(const controlplane::FetchFromPeer& action,
                        TimePoint now) {
  wire::ConfigFetchFrame frame = action.frame;
  frame.sender = NextSender();
  frame.exchange = action.exchange.value();
  fetches_[action.exchange] = {action.peer, now};
  client_.Send(action.peer, wire::EncodeFrame(frame));
}

void PeerStreams::ExpireFetches(TimePoint now) {
  std::vector<controlplane::ExchangeId> expired;
  for (const auto& [exchange, fetch] : fetches_) {
    if (now - fetch.since > kFetchTimeout) expired.push_back(exchange);
  }
  for (const auto it : expired) {
    fetches_.erase(it);
    event_.emit(controlplane::PeerFailed{it});
  }
}

void PeerStreams::OnServerFrame(net::ReceivedFrame& received) {
  auto frame = wire::DecodeFrame(received.bytes, sender_.fleet);
  if (!frame) {
    refused_.emit(frame.error());
    return;
  }
  std::visit([&](auto& it) { Accept(received.stream, it); }, *frame);
}

void PeerStreams::OnClientFrame(const Endpoint& peer,
                                const std::string& bytes) {
  auto frame = wire::DecodeFrame(bytes, sender_.fleet);
  if (!frame) {
    refused_.emit(frame.error());
    return;
  }
  auto* reply = std::get_if<wire::ConfigReplyFrame>(&*frame);
  if (reply == nullptr) return;
  const controlplane::ExchangeId exchange(reply->exchange);
  const auto it = fetches_.find(exchange);
  if (it == fetches_.end() || it->second.peer != peer) return;
  fetches_.erase(it);
  event_.emit(controlplane::PeerReplied{exchange, std::move(*reply)});
}

void PeerStreams::OnClientLost(const Endpoint& peer) {
  std::vector<controlplane::ExchangeId> lost;
  for (const auto& [exchange, fetch] : fetches_) {
    if (fetch.peer == peer) lost.push_back(exchange);
  }
  for (const auto it : lost) {
    fetches_.erase(it);
    event_.emit(controlplane::PeerFailed{it});
  }
}

void PeerStreams::Accept(net::StreamId stream, wire::RelayCallFrame& frame) {
  relay_.emit(tasks::RelayArrived{{stream, frame.exchange},
                                  frame.sender.instance,
                                  std::move(frame.request)});
}

void PeerStreams::Accept(net::StreamId stream, wire::RelayOutcomeFrame& frame) {
  relay_.emit(tasks::RelayOutcomeArrived{{stream, frame.exchange},
                                         frame.sender.instance,
                                         std::move(frame.request_id),
                                         frame.settle});
}

void PeerStreams::Accept(net::StreamId stream, wire::RelayCancelFrame& frame) {
  relay_.emit(tasks::RelayCancelled{{stream, frame.exchange}});
}

void PeerStreams::Accept(net::StreamId stream, wire::ConfigFetchFrame& frame) {
  const controlplane::ExchangeId exchange(++last_served_);
  served_[exchange] = {stream, frame.exchange};
  event_.emit(controlplane::ConfigFetchRequested{exchange, std::move(frame)});
}

void PeerStreams::Accept(net::StreamId stream,
                         wire::RelayAnswerFrame& /*frame*/) {
  refused_.emit(Error{ResultCode::kUnknownMessage,
                      std::to_string(stream.value()),
                      "an answer frame arrived on a connection for requests"});
}

void PeerStreams::Accept(net::StreamId stream,
                         wire::ConfigReplyFrame& /*frame*/) {
  refused_.emit(Error{ResultCode::kUnknownMessage,
                      std::to_string(stream.value()),
                      "an answer frame arrived on a connection for requests"});
}

wire::Sender PeerStreams::NextSender() {
  ++sender_.sequence;
  return sender_;
}

}  // namespace ibisladder::control
