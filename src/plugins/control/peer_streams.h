#ifndef PLUGINS_CONTROL_PEER_STREAMS_H_
#define PLUGINS_CONTROL_PEER_STREAMS_H_

#include <sigc++/sigc++.h>

#include <map>
#include <memory>
#include <unordered_map>

#include "libs/controlplane/messages.h"
#include "libs/net/frame_stream.h"
#include "libs/tasks/task_messages.h"

namespace ibisladder::control {

/// TCP connections between instances. Serves peers' relays and configuration
/// fetches, and fetches configuration from peers.
class PeerStreams {
 public:
  /// `sender` is this instance; its sequence number is set for each frame.
  static Expected<std::unique_ptr<PeerStreams>> Listen(
      net::EventLoop& loop, const Endpoint& endpoint,
      const wire::Sender& sender);

  void AnswerRelay(const tasks::RelayReply& reply);
  void AnswerFetch(const controlplane::AnswerFetch& action);
  void Fetch(const controlplane::FetchFromPeer& action, TimePoint now);
  /// Fails fetches that were not answered within the timeout.
  void ExpireFetches(TimePoint now);

  /// Messages for the caller task.
  sigc::signal<void(const tasks::CallerMessage&)>& signal_relay() {
    return relay_;
  }
  /// Events for the control plane.
  sigc::signal<void(const controlplane::Event&)>& signal_event() {
    return event_;
  }
  /// A received frame was rejected.
  sigc::signal<void(const Error&)>& signal_refused() { return refused_; }

 private:
  struct OpenFetch {
    Endpoint peer;
    TimePoint since;
  };

  PeerStreams(std::unique_ptr<net::FrameServer> server, net::EventLoop& loop,
              const wire::Sender& sender);

  void OnServerFrame(net::ReceivedFrame& frame);
  void OnClientFrame(const Endpoint& peer, const std::string& bytes);
  void OnClientLost(const Endpoint& peer);
  void Accept(net::StreamId stream, wire::RelayCallFrame& frame);
  void Accept(net::StreamId stream, wire::RelayOutcomeFrame& frame);
  void Accept(net::StreamId stream, wire::RelayCancelFrame& frame);
  void Accept(net::StreamId stream, wire::ConfigFetchFrame& frame);
  /// Rejects answers, which must not arrive on the server's side.
  void Accept(net::StreamId stream, wire::RelayAnswerFrame& frame);
  void Accept(net::StreamId stream, wire::ConfigReplyFrame& frame);
  wire::Sender NextSender();

  wire::Sender sender_;
  std::unique_ptr<net::FrameServer> server_;
  net::FrameClient client_;
  std::uint64_t last_served_ = 0;
  /// Peers' fetches that wait for AnswerFetch.
  std::unordered_map<controlplane::ExchangeId, tasks::RelayOrigin> served_;
  std::unordered_map<controlplane::ExchangeId, OpenFetch> fetches_;
  sigc::signal<void(const tasks::CallerMessage&)> relay_;
  sigc::signal<void(const controlplane::Event&)> event_;
  sigc::signal<void(const Error&)> refused_;
};

}  // namespace ibisladder::control

#endif  // PLUGINS_CONTROL_PEER_STREAMS_H_
