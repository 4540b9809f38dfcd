#include "tests/auto/gateway/fleet_exchange.h"

#include <algorithm>
#include <utility>

namespace ibisladder::gateway {

bool AreConnected(const FleetSimulation& fleet, std::size_t a, std::size_t b) {
  return !fleet.cut_off.contains(a) && !fleet.cut_off.contains(b);
}

namespace {

/// Returns the number of the instance with this name.
std::size_t IndexOf(const FleetSimulation& fleet, const std::string& name) {
  const auto it = std::ranges::find(fleet.members, name, &Member::name);
  return static_cast<std::size_t>(it - fleet.members.begin());
}

}  // namespace

bool ExchangePermits(FleetSimulation& fleet) {
  bool delivered = false;
  for (std::size_t from = 0; from < fleet.instances.size(); ++from) {
    const auto requests =
        std::exchange(fleet.instances[from].permit_requests, {});
    for (const AskPermit& it : requests) {
      ++fleet.permit_messages;
      const std::size_t to = IndexOf(fleet, it.keeper);
      if (!AreConnected(fleet, from, to)) continue;
      ForwarderFixture& keeper = fleet.instances[to];
      PermitRequested(*keeper.forwarder, {"", static_cast<std::uint16_t>(from)},
                      it.request, fleet.now);
      CollectActions(keeper);
      delivered = true;
    }
  }
  for (ForwarderFixture& keeper : fleet.instances) {
    for (const auto& it : std::exchange(keeper.permit_replies, {})) {
      ++fleet.permit_messages;
      ForwarderFixture& asker = fleet.instances[it.peer.port];
      PermitReplied(*asker.forwarder, it.reply, fleet.now);
      CollectActions(asker);
      delivered = true;
    }
  }
  return delivered;
}

void ExchangeEvidence(FleetSimulation& fleet) {
  for (std::size_t from = 0; from < fleet.instances.size(); ++from) {
    const auto digests = std::exchange(fleet.instances[from].evidence, {});
    if (digests.empty()) continue;
    for (std::size_t to = 0; to < fleet.instances.size(); ++to) {
      if (to == from) continue;
      MergeEvidence(*fleet.instances[to].forwarder,
                    InstanceId(static_cast<std::uint32_t>(from)), digests,
                    fleet.now);
      CollectActions(fleet.instances[to]);
    }
  }
}

void ExchangeCrashes(FleetSimulation& fleet) {
  for (std::size_t from = 0; from < fleet.instances.size(); ++from) {
    for (const auto& it : std::exchange(fleet.instances[from].crashes, {})) {
      for (std::size_t to = 0; to < fleet.instances.size(); ++to) {
        if (to == from || !AreConnected(fleet, from, to)) continue;
        MergeCrashes(*fleet.instances[to].forwarder, it, fleet.now);
        CollectActions(fleet.instances[to]);
      }
    }
  }
}

void ExchangeLimits(FleetSimulation& fleet) {
  for (std::size_t from = 0; from < fleet.instances.size(); ++from) {
    const auto news = std::exchange(fleet.instances[from].limits, {});
    if (news.empty()) continue;
    for (std::size_t to = 0; to < fleet.instances.size(); ++to) {
      if (to == from || !AreConnected(fleet, from, to)) continue;
      MergeLimits(*fleet.instances[to].forwarder, news, fleet.now);
      CollectActions(fleet.instances[to]);
    }
  }
}

}  // namespace ibisladder::gateway
