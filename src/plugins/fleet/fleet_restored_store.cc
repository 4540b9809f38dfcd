// Handles a store that was restored from an older copy: it gives out revisions
// and leases again, and lacks what was written since that copy.
#include <utility>
#include <variant>

#include "plugins/fleet/fleet_task.h"
#include "plugins/fleet/member_codec.h"

namespace ibisladder::fleet {

void FleetTask::HandleRestoredStore() {
  const TimePoint now = net::MonotonicNow();
  gateway::BeginDoubt(ended_, now);
  CancelCalls(CallOwner::kTrust);
  storesync::BeginEra(trust_, IsInformed(), now);
  untrusted_verification_at_.reset();
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
  if (!gateway::TakeDoubtEnd(ended_, now)) return;
  TrustStore("time");
  if (!is_watching_) return;
  ApplyServers();
  ApplyMembers();
}

bool FleetTask::HasStoreHighestKnown() const {
  return stored_version_ && *stored_version_ >= gateway::HighestKnown(lag_);
}

bool FleetTask::MayStoreBeBehind(TimePoint now) const {
  const bool is_trusted = !options_.strict_revocation ||
                          trust_.level == storesync::TrustLevel::kTrusted;
  return gateway::IsDoubted(ended_, now) || !is_trusted;
}

bool FleetTask::IsInformed() const {
  if (lag_.installed == ConfigVersion()) return false;
  const auto until = gateway::AcceptedUntil(freshness_);
  return !freshness_.is_needed || (until && net::BootNow() <= *until);
}

void FleetTask::SendDueTrustCall(TimePoint now) {
  if (!options_.strict_revocation || is_store_lost_) return;
  const bool must_record =
      is_watching_ && !MayStoreBeBehind(now) && HasStoreHighestKnown();
  if (const auto call =
          storesync::NextCall(trust_, store_era_, must_record, now)) {
    Send(CallOwner::kTrust, *call);
  }
}

void FleetTask::HandleTrustReply(const storesync::Reply& reply, TimePoint now) {
  const storesync::TrustLevel before = trust_.level;
  storesync::HandleReply(trust_, reply, store_era_, now);
  if (trust_.level == before) return;
  if (trust_.level == storesync::TrustLevel::kTrusted) {
    VerifyConfiguration(std::exchange(untrusted_verification_at_, {}));
    return;
  }
  gateway::BeginDoubt(ended_, now);
  // The other instances are asked which version they know of.
  members_view_.next_call_at = now;
  const auto& recorded = trust_.recorded;
  Log(LogEvent::kStoreDoubted,
      {{"era", std::to_string(store_era_->value())},
       {"recorded",
        recorded ? std::to_string(recorded->value()) : "unreadable"}});
}

void FleetTask::TrustStore(const std::string& by) {
  if (trust_.level != storesync::TrustLevel::kDoubted) return;
  trust_.level = storesync::TrustLevel::kTrusted;
  const ConfigVersion version = gateway::HighestKnown(lag_);
  Log(LogEvent::kStoreTrusted,
      {{"era", store_era_ ? std::to_string(store_era_->value()) : ""},
       {"by", by},
       {"version", std::to_string(version.value())}});
  VerifyConfiguration(std::exchange(untrusted_verification_at_, {}));
}

}  // namespace ibisladder::fleet
