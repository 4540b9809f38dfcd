// Handles a store that was restored from an older copy: it gives out revisions
// and leases again, and lacks what was written since that copy.
#include <variant>

#include "plugins/fleet/fleet_task.h"
#include "plugins/fleet/member_codec.h"

namespace ibisladder::fleet {

void FleetTask::HandleRestoredStore() {
  const TimePoint now = net::MonotonicNow();
  gateway::BeginDoubt(ended_, now);
  for (const auto& [owner, view] : Views()) {
    CancelCalls(owner);
    storesync::ForgetRevisions(*view);
    storesync::EndOutage(*view, now);
    // Other instances follow the lists of the zone's watcher.
    if (owner == CallOwner::kConfiguration || is_watching_)
      storesync::Relist(*view, now);
  }
  CancelCalls(CallOwner::kRegistration);
  CancelCalls(CallOwner::kFreshness);
  storesync::RegisterAgain(registration_, now);
  if (!configuration_read_) stored_version_.reset();
  UpdateViewPauses();
  Log(LogEvent::kStoreRestored,
      {{"era", std::to_string(store_era_->value())},
       {"lists", is_watching_ ? "read" : "watcher"},
       {"version", std::to_string(lag_.installed.value())}});
}

void FleetTask::RecordWrittenEntries(CallOwner owner,
                                     const storesync::Reply& reply) {
  const auto* watch = std::get_if<storesync::WatchReply>(&reply);
  if (watch == nullptr || !gateway::IsDoubted(ended_, net::MonotonicNow()))
    return;
  for (const auto& it : watch->changes) {
    if (!it.value) continue;
    if (owner == CallOwner::kServers) {
      const auto entry = options_.schema.parse_server(it.key, *it.value);
      if (entry) gateway::RecordWritten(ended_, *entry);
    } else if (owner == CallOwner::kMembers) {
      if (const auto member = DecodeMember(*it.value))
        gateway::RecordWritten(ended_, *member);
    }
  }
}

void FleetTask::EndDoubtIfDue(TimePoint now) {
  if (!gateway::TakeDoubtEnd(ended_, now) || !is_watching_) return;
  ApplyServers();
  ApplyMembers();
}

}  // namespace ibisladder::fleet
