#ifndef PLUGINS_CALLER_RELAY_CLIENT_H_
#define PLUGINS_CALLER_RELAY_CLIENT_H_

#include <sigc++/sigc++.h>

#include <unordered_map>

#include "libs/callerpath/messages.h"
#include "libs/net/frame_stream.h"
#include "libs/wire/peer_messages.h"

namespace ibisladder::caller {

/// Relays calls to their home instances and matches the answers.
class RelayClient {
 public:
  /// `sender` is this instance; the client sets its sequence numbers.
  RelayClient(net::EventLoop& loop, const wire::Sender& sender);

  void Send(const callerpath::RelayCall& relay);
  void Send(const callerpath::RelayOutcome& relay);
  /// Tells the home that the caller has left, if the call is being relayed.
  void Cancel(CallId call);

  sigc::signal<void(callerpath::RelayAnswered&)>& signal_answer() {
    return answer_;
  }
  sigc::signal<void(const callerpath::RelayFailed&)>& signal_failed() {
    return failed_;
  }

 private:
  void SendFrame(CallId call, const Endpoint& home, const wire::Frame& frame);
  void OnFrame(const Endpoint& home, const std::string& bytes);
  void OnLost(const Endpoint& home, bool was_connected);
  wire::Sender NextSender();

  wire::Sender sender_;
  net::FrameClient client_;
  std::unordered_map<CallId, Endpoint> homes_;
  sigc::signal<void(callerpath::RelayAnswered&)> answer_;
  sigc::signal<void(const callerpath::RelayFailed&)> failed_;
};

}  // namespace ibisladder::caller

#endif  // PLUGINS_CALLER_RELAY_CLIENT_H_
