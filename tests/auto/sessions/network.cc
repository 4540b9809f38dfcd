#include <algorithm>

#include "tests/auto/sessions/simulation.h"

namespace ibisladder::sessions {
namespace {

using callerpath::Action;
using callerpath::CallerAnswer;
using callerpath::Event;

constexpr int kMaxDelaySeconds = 3;
constexpr int kMaxCopyDelaySeconds = 20;

bool Chance(Simulation& sim, int percent) {
  return UniformBelow(sim.random, 100) < static_cast<std::uint64_t>(percent);
}

Duration RandomBelow(Simulation& sim, Duration max) {
  const auto n = static_cast<std::uint64_t>(max.count());
  return Duration(static_cast<std::int64_t>(UniformBelow(sim.random, n)));
}

Duration RandomLatency(Simulation& sim) {
  Duration wait = Millis(1);
  if (Chance(sim, sim.plan.rates.delay)) {
    ++sim.event_counts["delayed"];
    wait += RandomBelow(sim, Seconds(kMaxDelaySeconds));
  }
  return wait;
}

/// Delivers the event once the instance is not paused.
void Deliver(Simulation& sim, std::uint32_t node, const Event& event) {
  Node& it = sim.nodes[node];
  if (sim.now < it.paused_until) {
    Schedule(sim, it.paused_until - sim.now,
             [&sim, node, event] { Deliver(sim, node, event); });
    return;
  }
  Feed(sim, node, event);
}

std::uint32_t NodeOf(const Endpoint& endpoint) { return endpoint.port % 10; }

/// Passes the answer to a relayed call to the instance that relayed it.
Reply MakeRelayReplyHandler(Simulation& sim, std::uint32_t node, CallId call) {
  const std::uint64_t generation = sim.nodes[node].generation;
  return [&sim, node, call, generation](const CallerAnswer& answer) {
    if (sim.nodes[node].generation != generation) return;
    Deliver(sim, node, callerpath::RelayAnswered{call, answer});
  };
}

struct ActionHandler {
  Simulation& sim;
  std::uint32_t node;

  void operator()(const callerpath::SendAttempt& it) const {
    Serve(sim, node, it);
  }
  void operator()(const callerpath::AnswerCall& it) const {
    const auto found = sim.replies.find(it.call);
    if (found == sim.replies.end()) return;
    const Reply reply = found->second;
    sim.replies.erase(found);
    if (reply) reply(it.answer);
  }
  /// Sometimes reports the relay as failed, whether or not it arrives.
  void MaybeFailRelay(CallId call) const {
    if (!Chance(sim, sim.plan.rates.loss)) return;
    ++sim.event_counts["relay failed"];
    const bool sent = Chance(sim, 50);
    Schedule(sim, Millis(50), [sim = &sim, node = node, call, sent] {
      Deliver(*sim, node, callerpath::RelayFailed{call, sent});
    });
  }
  void operator()(const callerpath::RelayCall& it) const {
    MaybeFailRelay(it.call);
    const InstanceId self = sim.nodes[node].settings.instance;
    const callerpath::CallRequest request = it.request;
    SendToInstance(
        sim, node, NodeOf(it.endpoint),
        [request, self](CallId call) {
          return callerpath::CallArrived{call, request, self};
        },
        MakeRelayReplyHandler(sim, node, it.call));
  }
  void operator()(const callerpath::RelayOutcome& it) const {
    const InstanceId self = sim.nodes[node].settings.instance;
    const std::string id = it.request_id;
    const bool settle = it.settle;
    SendToInstance(
        sim, node, NodeOf(it.endpoint),
        [id, settle, self](CallId call) {
          return callerpath::OutcomeRequested{call, id, settle, self};
        },
        MakeRelayReplyHandler(sim, node, it.call));
  }
  void operator()(const callerpath::SendProbe& it) const {
    Feed(sim, node, callerpath::ProbeEnded{it.server, true, false});
  }
  // The answer of a closed attempt is still delivered, as a late answer.
  void operator()(const callerpath::CancelAttempt& /*it*/) const {}
  void operator()(const callerpath::PublishServerUpdate& /*it*/) const {}
  void operator()(const callerpath::WriteLog& /*it*/) const {}
  void operator()(const callerpath::StopCompleted& /*it*/) const {
    if (!sim.nodes[node].is_replaced_when_drained) return;
    Schedule(sim, Millis(1),
             [sim = &sim, node = node] { Restart(*sim, node); });
  }
};

}  // namespace

void Feed(Simulation& sim, std::uint32_t node, const Event& event) {
  Node& it = sim.nodes[node];
  if (sim.now < it.paused_until) {
    Deliver(sim, node, event);
    return;
  }
  RecordEvent(sim, node, event);
  const auto actions =
      callerpath::Step(*it.path, event, sim.now + it.clock_offset, sim.random);
  for (const auto& action : actions) {
    RecordAction(sim, node, action);
    std::visit(ActionHandler{sim, node}, action);
  }
}

bool IsLost(Simulation& sim, std::uint32_t from, std::uint32_t to) {
  if (const auto it = sim.cuts.find({from, to});
      it != sim.cuts.end() && sim.now < it->second) {
    ++sim.event_counts["cut"];
    return true;
  }
  if (!Chance(sim, sim.plan.rates.loss)) return false;
  ++sim.event_counts["lost"];
  return true;
}

void SendToInstance(Simulation& sim, std::uint32_t from, std::uint32_t node,
                    std::function<Event(CallId)> make, Reply reply) {
  if (Chance(sim, sim.plan.rates.duplicate)) {
    ++sim.event_counts["duplicated"];
    const CallId copy(++sim.last_call);
    Schedule(sim, RandomBelow(sim, Seconds(kMaxCopyDelaySeconds)),
             [&sim, node, event = make(copy)] { Deliver(sim, node, event); });
  }
  if (IsLost(sim, from, node)) return;
  const CallId call(++sim.last_call);
  // The answer has its own loss and latency.
  sim.replies[call] = [&sim, from, node, reply](const CallerAnswer& answer) {
    if (IsLost(sim, node, from)) return;
    Schedule(sim, RandomLatency(sim), [reply, answer] { reply(answer); });
  };
  Schedule(sim, RandomLatency(sim),
           [&sim, node, event = make(call)] { Deliver(sim, node, event); });
}

}  // namespace ibisladder::sessions
