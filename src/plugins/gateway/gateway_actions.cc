// Carries out the forwarder's actions.
#include <utility>

#include "plugins/gateway/gateway_task.h"

namespace ibisladder::gateway {
namespace {

constexpr Duration kProbeTimeout = Seconds(1);
constexpr std::size_t kMaxProbeBytes = 64U << 10U;

}  // namespace

void GatewayTask::PerformActions() {
  // An action may cause an event. The actions that follow from that may revoke
  // earlier ones, and so are performed after them.
  if (std::exchange(is_performing_, true)) return;
  for (auto actions = TakeActions(*forwarder_); !actions.empty();
       actions = TakeActions(*forwarder_)) {
    for (auto& action : actions) {
      std::visit([this](auto& it) { Perform(it); }, action);
    }
  }
  is_performing_ = false;
}

void GatewayTask::Perform(const SendAttempt& action) {
  http1::Request request = options_.codec.encode_attempt(action);
  if (action.relay) AddRelayOrigin(request.headers, *action.relay);
  std::string bytes = http1::FormatRequest(request, false);
  if (action.leaves_zone) {
    CountBytes(zone_traffic_, Cargo::kRequests, bytes.size());
  }
  servers_.Send({action.attempt, action.server, action.endpoint,
                 std::move(bytes), action.request->method == "HEAD",
                 action.request->request_id, action.relay.has_value()});
}

void GatewayTask::Perform(const CancelAttempt& action) {
  servers_.Cancel(action.attempt);
}

void GatewayTask::Perform(AnswerCaller& action) {
  const bool close = action.answer.close;
  ConnectionsOf(action.call)
      .Answer(action.call, EncodeAnswer(action.call, std::move(action.answer)),
              close);
}

void GatewayTask::Perform(StreamAnswer& action) {
  servers_.Stream(action.attempt);
  streams_[action.call] = action.attempt;
  ConnectionsOf(action.call)
      .StartAnswer(action.call,
                   EncodeAnswer(action.call, std::move(action.answer)));
}

void GatewayTask::Perform(const EndAnswer& action) {
  streams_.erase(action.call);
  ConnectionsOf(action.call).EndAnswer(action.call);
}

void GatewayTask::Perform(const BreakAnswer& action) {
  streams_.erase(action.call);
  ConnectionsOf(action.call).BreakAnswer(action.call);
}

void GatewayTask::Perform(const SendProbe& action) {
  const std::uint64_t id = ++last_probe_id_;
  open_probes_[id] = {action.server, action.server_name};
  net::HttpCall call;
  call.id = id;
  call.endpoint = action.endpoint;
  call.target = action.path;
  call.timeout = kProbeTimeout;
  call.max_answer_bytes = kMaxProbeBytes;
  probes_.Send(call);
}

void GatewayTask::Perform(const ShareEvidence& action) {
  evidence_shared_.emit(action.digests);
}

void GatewayTask::Perform(const AskPermit& action) {
  permit_requested_.emit(action);
}

void GatewayTask::Perform(const AnswerPermit& action) {
  permit_replied_.emit(action);
}

void GatewayTask::Perform(const AskCredit& action) {
  credit_requested_.emit(action);
}

void GatewayTask::Perform(const AnswerCredit& action) {
  credit_replied_.emit(action);
}

void GatewayTask::Perform(const TellStart& action) { start_told_.emit(action); }

void GatewayTask::Perform(const ShareLimits& action) {
  limits_shared_.emit(action.news);
}

void GatewayTask::Perform(const ShareCrashes& action) {
  crashes_shared_.emit(action.message);
}

void GatewayTask::Perform(const ShareLeaving& action) {
  leaving_shared_.emit(action.servers);
}

void GatewayTask::Perform(const TestPath& action) {
  servers_.OpenSpare(action.server, action.endpoint);
}

void GatewayTask::Perform(const CloseIdleConnections& action) {
  servers_.CloseIdle(action.server);
}

void GatewayTask::Perform(const SharePressure& action) {
  pressure_shared_.emit(action.message);
}

void GatewayTask::Perform(const SharePaths& action) {
  paths_shared_.emit(action.lost);
}

void GatewayTask::Perform(const LogLine& action) { log_.emit(action); }

}  // namespace ibisladder::gateway
