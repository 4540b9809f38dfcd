#include <algorithm>

#include "tests/auto/sessions/world.h"

namespace ibisladder::sessions {
namespace {

using callerpath::Action;
using callerpath::CallerAnswer;
using callerpath::Event;

constexpr int kLongestDelaySeconds = 3;
constexpr int kLatestCopySeconds = 20;

bool Draw(World& world, int percent) {
  return UniformBelow(world.random, 100) < static_cast<std::uint64_t>(percent);
}

Duration Within(World& world, Duration longest) {
  const auto n = static_cast<std::uint64_t>(longest.count());
  return Duration(static_cast<std::int64_t>(UniformBelow(world.random, n)));
}

Duration Latency(World& world) {
  Duration wait = Millis(1);
  if (Draw(world, world.plan.rates.delay)) {
    ++world.tally["delayed"];
    wait += Within(world, Seconds(kLongestDelaySeconds));
  }
  return wait;
}

/// Delivers once the instance is not paused.
void Deliver(World& world, std::uint32_t node, const Event& event) {
  Node& it = world.nodes[node];
  if (world.now < it.paused_until) {
    Schedule(world, it.paused_until - world.now,
             [&world, node, event] { Deliver(world, node, event); });
    return;
  }
  Feed(world, node, event);
}

std::uint32_t NodeOf(const Endpoint& endpoint) { return endpoint.port % 10; }

/// The answer to a relayed call goes back to the instance that relayed it.
Reply RelayReply(World& world, std::uint32_t node, CallId call) {
  const std::uint64_t generation = world.nodes[node].generation;
  return [&world, node, call, generation](const CallerAnswer& answer) {
    if (world.nodes[node].generation != generation) return;
    Deliver(world, node, callerpath::RelayAnswered{call, answer});
  };
}

struct ActionHandler {
  World& world;
  std::uint32_t node;

  void operator()(const callerpath::SendAttempt& it) const {
    Serve(world, node, it);
  }
  void operator()(const callerpath::AnswerCall& it) const {
    const auto found = world.replies.find(it.call);
    if (found == world.replies.end()) return;
    const Reply reply = found->second;
    world.replies.erase(found);
    if (reply) reply(it.answer);
  }
  /// A relay that cannot be carried out is sometimes reported.
  void FailLater(CallId call) const {
    if (!Draw(world, world.plan.rates.loss)) return;
    ++world.tally["relay failed"];
    const bool sent = Draw(world, 50);
    Schedule(world, Millis(50), [world = &world, node = node, call, sent] {
      Deliver(*world, node, callerpath::RelayFailed{call, sent});
    });
  }
  void operator()(const callerpath::RelayCall& it) const {
    FailLater(it.call);
    const InstanceId self = world.nodes[node].settings.instance;
    const callerpath::CallRequest request = it.request;
    SendToInstance(
        world, node, NodeOf(it.endpoint),
        [request, self](CallId call) {
          return callerpath::CallArrived{call, request, self};
        },
        RelayReply(world, node, it.call));
  }
  void operator()(const callerpath::RelayOutcome& it) const {
    const InstanceId self = world.nodes[node].settings.instance;
    const std::string id = it.request_id;
    const bool settle = it.settle;
    SendToInstance(
        world, node, NodeOf(it.endpoint),
        [id, settle, self](CallId call) {
          return callerpath::OutcomeRequested{call, id, settle, self};
        },
        RelayReply(world, node, it.call));
  }
  void operator()(const callerpath::SendProbe& it) const {
    Feed(world, node, callerpath::ProbeEnded{it.server, true, false});
  }
  // A closed attempt's answer is delivered all the same: a late answer.
  void operator()(const callerpath::CancelAttempt& /*it*/) const {}
  void operator()(const callerpath::PublishServerUpdate& /*it*/) const {}
  void operator()(const callerpath::WriteLog& /*it*/) const {}
  void operator()(const callerpath::Drained& /*it*/) const {
    if (!world.nodes[node].is_replaced_when_drained) return;
    Schedule(world, Millis(1),
             [world = &world, node = node] { Restart(*world, node); });
  }
};

}  // namespace

void Feed(World& world, std::uint32_t node, const Event& event) {
  Node& it = world.nodes[node];
  if (world.now < it.paused_until) {
    Deliver(world, node, event);
    return;
  }
  NoteEvent(world, node, event);
  const auto actions = callerpath::Step(
      *it.path, event, world.now + it.clock_offset, world.random);
  for (const auto& action : actions) {
    NoteAction(world, node, action);
    std::visit(ActionHandler{world, node}, action);
  }
}

bool IsLost(World& world, std::uint32_t from, std::uint32_t to) {
  if (const auto it = world.cuts.find({from, to});
      it != world.cuts.end() && world.now < it->second) {
    ++world.tally["cut"];
    return true;
  }
  if (!Draw(world, world.plan.rates.loss)) return false;
  ++world.tally["lost"];
  return true;
}

void SendToInstance(World& world, std::uint32_t from, std::uint32_t node,
                    std::function<Event(CallId)> make, Reply reply) {
  if (Draw(world, world.plan.rates.duplicate)) {
    ++world.tally["duplicated"];
    const CallId copy(++world.last_call);
    Schedule(
        world, Within(world, Seconds(kLatestCopySeconds)),
        [&world, node, event = make(copy)] { Deliver(world, node, event); });
  }
  if (IsLost(world, from, node)) return;
  const CallId call(++world.last_call);
  // The answer takes its own, perhaps worse way back.
  world.replies[call] = [&world, from, node,
                         reply](const CallerAnswer& answer) {
    if (IsLost(world, node, from)) return;
    Schedule(world, Latency(world), [reply, answer] { reply(answer); });
  };
  Schedule(world, Latency(world),
           [&world, node, event = make(call)] { Deliver(world, node, event); });
}

}  // namespace ibisladder::sessions
