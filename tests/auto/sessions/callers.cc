#include <memory>
#include <nlohmann/json.hpp>

#include "tests/auto/sessions/simulation.h"

namespace ibisladder::sessions {
namespace {

using callerpath::CallerAnswer;
using callerpath::CallRequest;

constexpr int kMaxTries = 6;

/// An at-most-once request and the state of its caller.
struct PendingRequest {
  CallRequest request;
  std::uint32_t home = 0;
  int tries = 0;
  /// Number of messages sent. An answer to an earlier one is recorded but does
  /// not cancel the next try.
  int sent = 0;
  bool is_over = false;
};

using PendingRequestPtr = std::shared_ptr<PendingRequest>;

void TryRequest(Simulation& sim, const PendingRequestPtr& pending);

Duration RandomDuration(Simulation& sim, std::int64_t min, std::int64_t max) {
  return Millis(min +
                static_cast<std::int64_t>(UniformBelow(sim.random, max - min)));
}

void TryLater(Simulation& sim, const PendingRequestPtr& pending,
              Duration wait) {
  const int sent = pending->sent;
  Schedule(sim, wait, [&sim, pending, sent] {
    if (!pending->is_over && pending->sent == sent) TryRequest(sim, pending);
  });
}

/// Sends a copy that the network has delayed until after the outcome is known.
void SendCopyLater(Simulation& sim, const PendingRequestPtr& pending) {
  if (UniformBelow(sim.random, 2) == 0) return;
  ++sim.event_counts["copies after not run"];
  Schedule(sim, RandomDuration(sim, 1, 6000), [&sim, pending] {
    SendToInstance(
        sim, kCallers, pending->home,
        [request = pending->request](CallId call) {
          return callerpath::CallArrived{call, request, std::nullopt};
        },
        [](const CallerAnswer& /*answer*/) {});
  });
}

Reply MakeReplyHandler(Simulation& sim, const PendingRequestPtr& pending) {
  return [&sim, pending](const CallerAnswer& answer) {
    sim.observations.results.push_back(
        {pending->request.request_id, true, answer});
    ++sim.event_counts["told " + std::to_string(static_cast<int>(answer.code))];
    if (OutcomeOf(answer.code) != Outcome::kUnknown) pending->is_over = true;
    if (OutcomeOf(answer.code) == Outcome::kNotRun) {
      SendCopyLater(sim, pending);
    }
    TryLater(sim, pending, RandomDuration(sim, 20, 3000));
  };
}

/// Sometimes closes the caller's connection before the answer.
void MaybeAbandon(Simulation& sim, std::uint32_t address) {
  if (sim.plan.is_well_behaved || UniformBelow(sim.random, 8) != 0) return;
  ++sim.event_counts["caller left"];
  Schedule(sim, RandomDuration(sim, 1, 100),
           [&sim, address, call = CallId(sim.last_call)] {
             Feed(sim, address, callerpath::CallAbandoned{call});
           });
}

/// Sends the same id again, asks for its outcome or settles it.
void TryRequest(Simulation& sim, const PendingRequestPtr& pending) {
  if (++pending->tries > kMaxTries) return;
  ++pending->sent;
  const std::uint32_t address =
      !sim.plan.is_well_behaved && UniformBelow(sim.random, 4) == 0
          ? static_cast<std::uint32_t>(UniformBelow(sim.random, kInstances))
          : pending->home;
  const CallRequest request = pending->request;
  const std::uint64_t choice = UniformBelow(sim.random, 10);
  if (pending->tries == 1 || choice < 6) {
    SendToInstance(
        sim, kCallers, address,
        [request](CallId call) {
          return callerpath::CallArrived{call, request, std::nullopt};
        },
        MakeReplyHandler(sim, pending));
  } else {
    const bool settle = choice >= 8;
    ++sim.event_counts[settle ? "settled" : "asked"];
    SendToInstance(
        sim, kCallers, address,
        [request, settle](CallId call) {
          return callerpath::OutcomeRequested{call, request.request_id, settle,
                                              std::nullopt};
        },
        MakeReplyHandler(sim, pending));
  }
  MaybeAbandon(sim, address);
  TryLater(sim, pending, request.timeout + Millis(300));
}

void StartWithTicket(Simulation& sim, const CallerAnswer& answer) {
  const auto addresses = nlohmann::json::parse(answer.body);
  const std::string ticket = addresses["addresses"][0]["ticket"];
  const auto parsed = requests::ParseTicket(ticket);
  auto pending = std::make_shared<PendingRequest>();
  pending->home = parsed->instance.value() - 1;
  pending->request.method = "POST";
  pending->request.target = "/billing/charges";
  pending->request.request_id = ticket + ".c" + std::to_string(++sim.last_part);
  pending->request.timeout = RandomDuration(sim, 200, 2000);
  if (!sim.plan.is_well_behaved && UniformBelow(sim.random, 3) == 0) {
    pending->request.organisation = "riders";
  }
  pending->request.body = "amount=" + std::to_string(sim.last_part);
  sim.past_requests.emplace_back(pending->home, pending->request);
  // Some tickets are used long after they were issued.
  const bool is_slow =
      !sim.plan.is_well_behaved && UniformBelow(sim.random, 8) == 0;
  const auto keep = addresses["keep_ms"].get<std::int64_t>();
  Schedule(sim, RandomDuration(sim, 1, is_slow ? 9000 : keep),
           [&sim, pending] { TryRequest(sim, pending); });
}

}  // namespace

void StartAtMostOnceRequest(Simulation& sim, std::uint32_t address) {
  const CallId call(++sim.last_call);
  sim.replies[call] = [&sim](const CallerAnswer& answer) {
    if (answer.code == ResultCode::kDone) StartWithTicket(sim, answer);
  };
  Feed(sim, address, callerpath::AddressesRequested{call, "billing"});
}

void StartIdempotentRequest(Simulation& sim, std::uint32_t address) {
  CallRequest request;
  request.method = "GET";
  request.target = "/library/clips";
  request.request_id = "browse-" + std::to_string(++sim.last_part);
  request.timeout = Seconds(1);
  SendToInstance(
      sim, kCallers, address,
      [request](CallId call) {
        return callerpath::CallArrived{call, request, std::nullopt};
      },
      [&sim, id = request.request_id](const CallerAnswer& answer) {
        ++sim.event_counts["browse " +
                           std::to_string(static_cast<int>(answer.code))];
        sim.observations.results.push_back({id, false, answer});
      });
}

void SendLateCopy(Simulation& sim, std::uint32_t which) {
  if (sim.past_requests.empty()) return;
  const auto& [home, request] =
      sim.past_requests[which % sim.past_requests.size()];
  ++sim.event_counts["late copy"];
  const std::uint32_t address = which % 5 == 0 ? which % kInstances : home;
  SendToInstance(
      sim, kCallers, address,
      [request = request](CallId call) {
        return callerpath::CallArrived{call, request, std::nullopt};
      },
      [](const CallerAnswer& /*answer*/) {});
}

}  // namespace ibisladder::sessions
