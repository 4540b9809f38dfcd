#include <memory>
#include <nlohmann/json.hpp>

#include "tests/auto/sessions/world.h"

namespace ibisladder::sessions {
namespace {

using callerpath::CallerAnswer;
using callerpath::CallRequest;

constexpr int kPatience = 6;

/// One caller with one charge.
struct Charge {
  CallRequest request;
  std::uint32_t home = 0;
  int tries = 0;
  /// Counts the messages sent; an answer to an older one does not stop the
  /// caller from going on, but is recorded.
  int sent = 0;
  bool is_over = false;
};

using ChargePtr = std::shared_ptr<Charge>;

void TryCharge(World& world, const ChargePtr& charge);

Duration Between(World& world, std::int64_t shortest, std::int64_t longest) {
  return Millis(shortest + static_cast<std::int64_t>(
                               UniformBelow(world.random, longest - shortest)));
}

void TryLater(World& world, const ChargePtr& charge, Duration wait) {
  const int sent = charge->sent;
  Schedule(world, wait, [&world, charge, sent] {
    if (!charge->is_over && charge->sent == sent) TryCharge(world, charge);
  });
}

/// A copy that the network has kept arrives after all is said.
void SendCopyLater(World& world, const ChargePtr& charge) {
  if (UniformBelow(world.random, 2) == 0) return;
  ++world.tally["copies after not run"];
  Schedule(world, Between(world, 1, 6000), [&world, charge] {
    SendToInstance(
        world, kCallers, charge->home,
        [request = charge->request](CallId call) {
          return callerpath::CallArrived{call, request, std::nullopt};
        },
        [](const CallerAnswer& /*answer*/) {});
  });
}

Reply Record(World& world, const ChargePtr& charge) {
  return [&world, charge](const CallerAnswer& answer) {
    world.records.told.push_back({charge->request.request_id, true, answer});
    ++world.tally["told " + std::to_string(static_cast<int>(answer.code))];
    if (OutcomeOf(answer.code) != Outcome::kUnknown) charge->is_over = true;
    if (OutcomeOf(answer.code) == Outcome::kNotRun) {
      SendCopyLater(world, charge);
    }
    TryLater(world, charge, Between(world, 20, 3000));
  };
}

/// Some callers close their connection before the answer.
void LeaveEarly(World& world, std::uint32_t address) {
  if (world.plan.is_orderly || UniformBelow(world.random, 8) != 0) return;
  ++world.tally["caller left"];
  Schedule(world, Between(world, 1, 100),
           [&world, address, call = CallId(world.last_call)] {
             Feed(world, address, callerpath::CallAbandoned{call});
           });
}

/// Sends the same id again, asks for its outcome or settles it.
void TryCharge(World& world, const ChargePtr& charge) {
  if (++charge->tries > kPatience) return;
  ++charge->sent;
  const std::uint32_t address =
      !world.plan.is_orderly && UniformBelow(world.random, 4) == 0
          ? static_cast<std::uint32_t>(UniformBelow(world.random, kInstances))
          : charge->home;
  const CallRequest request = charge->request;
  const std::uint64_t choice = UniformBelow(world.random, 10);
  if (charge->tries == 1 || choice < 6) {
    SendToInstance(
        world, kCallers, address,
        [request](CallId call) {
          return callerpath::CallArrived{call, request, std::nullopt};
        },
        Record(world, charge));
  } else {
    const bool settle = choice >= 8;
    ++world.tally[settle ? "settled" : "asked"];
    SendToInstance(
        world, kCallers, address,
        [request, settle](CallId call) {
          return callerpath::OutcomeRequested{call, request.request_id, settle,
                                              std::nullopt};
        },
        Record(world, charge));
  }
  LeaveEarly(world, address);
  TryLater(world, charge, request.timeout + Millis(300));
}

void Begin(World& world, const CallerAnswer& answer) {
  const auto addresses = nlohmann::json::parse(answer.body);
  const std::string ticket = addresses["addresses"][0]["ticket"];
  const auto parsed = requests::ParseTicket(ticket);
  auto charge = std::make_shared<Charge>();
  charge->home = parsed->instance.value() - 1;
  charge->request.method = "POST";
  charge->request.target = "/billing/charges";
  charge->request.request_id =
      ticket + ".c" + std::to_string(++world.last_part);
  charge->request.timeout = Between(world, 200, 2000);
  if (!world.plan.is_orderly && UniformBelow(world.random, 3) == 0) {
    charge->request.organisation = "riders";
  }
  charge->request.body = "amount=" + std::to_string(world.last_part);
  world.past_charges.emplace_back(charge->home, charge->request);
  // Some tickets are used long after they were issued.
  const bool is_slow =
      !world.plan.is_orderly && UniformBelow(world.random, 8) == 0;
  const auto keep = addresses["keep_ms"].get<std::int64_t>();
  Schedule(world, Between(world, 1, is_slow ? 9000 : keep),
           [&world, charge] { TryCharge(world, charge); });
}

}  // namespace

void StartCharge(World& world, std::uint32_t address) {
  const CallId call(++world.last_call);
  world.replies[call] = [&world](const CallerAnswer& answer) {
    if (answer.code == ResultCode::kDone) Begin(world, answer);
  };
  Feed(world, address, callerpath::AddressesRequested{call, "billing"});
}

void StartBrowse(World& world, std::uint32_t address) {
  CallRequest request;
  request.method = "GET";
  request.target = "/library/clips";
  request.request_id = "browse-" + std::to_string(++world.last_part);
  request.timeout = Seconds(1);
  SendToInstance(
      world, kCallers, address,
      [request](CallId call) {
        return callerpath::CallArrived{call, request, std::nullopt};
      },
      [&world, id = request.request_id](const CallerAnswer& answer) {
        ++world
              .tally["browse " + std::to_string(static_cast<int>(answer.code))];
        world.records.told.push_back({id, false, answer});
      });
}

void SendLateCopy(World& world, std::uint32_t which) {
  if (world.past_charges.empty()) return;
  const auto& [home, request] =
      world.past_charges[which % world.past_charges.size()];
  ++world.tally["late copy"];
  const std::uint32_t address = which % 5 == 0 ? which % kInstances : home;
  SendToInstance(
      world, kCallers, address,
      [request = request](CallId call) {
        return callerpath::CallArrived{call, request, std::nullopt};
      },
      [](const CallerAnswer& /*answer*/) {});
}

}  // namespace ibisladder::sessions
