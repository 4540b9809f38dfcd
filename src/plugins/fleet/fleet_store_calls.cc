// Calls to the store and their replies.
#include <algorithm>
#include <array>
#include <utility>
#include <variant>

#include "plugins/fleet/fleet_task.h"

namespace ibisladder::fleet {
namespace {

/// Consecutive failed calls after which the store is considered lost.
constexpr std::uint32_t kFailuresUntilLost = 3;

/// A reply of which nothing arrived for this long does not count as arriving.
constexpr Duration kStallTime = Seconds(1);

struct CallNames {
  const char* operator()(const storesync::RangeCall& /*call*/) const {
    return "list";
  }
  const char* operator()(const storesync::WatchCall& /*call*/) const {
    return "watch";
  }
  const char* operator()(const storesync::GrantLeaseCall& /*call*/) const {
    return "grant lease";
  }
  const char* operator()(const storesync::RenewLeaseCall& /*call*/) const {
    return "renew lease";
  }
  const char* operator()(const storesync::EndLeaseCall& /*call*/) const {
    return "end lease";
  }
  const char* operator()(const storesync::PutCall& /*call*/) const {
    return "put";
  }
};

}  // namespace

const char* FleetTask::OwnerName(CallOwner owner) {
  switch (owner) {
    case CallOwner::kConfiguration:
      return "configuration";
    case CallOwner::kServers:
      return "servers";
    case CallOwner::kMembers:
      return "members";
    case CallOwner::kRegistration:
      return "registration";
    case CallOwner::kFreshness:
      return "freshness";
    case CallOwner::kTrust:
      return "trust";
  }
  return "unknown";
}

std::string FleetTask::DescribeOpenCall(CallOwner owner, TimePoint now) const {
  const auto it = std::ranges::find_if(open_calls_, [owner](const auto& call) {
    return call.second.owner == owner;
  });
  if (it == open_calls_.end()) return "none";
  const OpenCall& call = it->second;
  return std::string(call.name) + " " +
         std::to_string(ToMillis(now - call.sent_at)) + " ms";
}

void FleetTask::LogFailedCall(const OpenCall& call,
                              const storesync::CallFailed& failed) {
  if (is_store_lost_) return;
  const Duration elapsed = net::MonotonicNow() - call.sent_at;
  Log(LogEvent::kStoreCallFailed,
      {{"call", call.name},
       {"for", OwnerName(call.owner)},
       {"reason", storesync::ReasonName(failed.reason)},
       {"after_ms", std::to_string(ToMillis(elapsed))}});
}

void FleetTask::LogUnreadableItems(const OpenCall& call,
                                   const storesync::Reply& reply) {
  std::size_t n = 0;
  if (const auto* it = std::get_if<storesync::RangeReply>(&reply))
    n = it->unreadable_items;
  if (const auto* it = std::get_if<storesync::WatchReply>(&reply))
    n = it->unreadable_items;
  if (n == 0) return;
  Log(LogEvent::kServerEntryUnreadable,
      {{"for", OwnerName(call.owner)},
       {"reason", std::to_string(n) + " items without a key"}});
}

/// Only watchers follow changes of the lists; other instances read them only at
/// the start and to resynchronize. While the store is lost, only the renewals
/// of the lease check whether it is available again.
void FleetTask::UpdateViewPauses() {
  servers_view_.is_paused =
      is_store_lost_ || (!is_watching_ && !servers_view_.is_listing);
  members_view_.is_paused =
      is_store_lost_ || (!is_watching_ && !members_view_.is_listing);
  configuration_view_.is_paused =
      is_store_lost_ || configuration_read_.has_value();
}

void FleetTask::TrackProgress(TimePoint now) {
  for (auto& [id, call] : open_calls_) {
    const std::size_t received = transport_->ReceivedBytes(id);
    if (received > call.received) call.received_at = now;
    call.received = received;
  }
}

bool FleetTask::IsReceiving(CallOwner owner, TimePoint now) const {
  return std::ranges::any_of(open_calls_, [owner, now](const auto& it) {
    const OpenCall& call = it.second;
    return call.owner == owner && call.received > 0 &&
           now - call.received_at < kStallTime;
  });
}

void FleetTask::CancelCalls(CallOwner owner) {
  std::erase_if(open_calls_, [this, owner](const auto& it) {
    if (it.second.owner != owner) return false;
    transport_->Cancel(it.first);
    return true;
  });
}

void FleetTask::RelistServersAndMembers(const char* reason, TimePoint now) {
  Relist(servers_view_, CallOwner::kServers, reason, now);
  Relist(members_view_, CallOwner::kMembers, reason, now);
}

void FleetTask::Relist(storesync::StoreView& view, CallOwner owner,
                       const char* reason, TimePoint now) {
  if (IsReceiving(owner, now)) return;
  if (storesync::Relist(view, now)) AbandonRead(owner, reason, now);
}

void FleetTask::AbandonRead(CallOwner owner, const char* reason,
                            TimePoint now) {
  const std::string open_call = DescribeOpenCall(owner, now);
  CancelCalls(owner);
  ++restarted_reads_;
  Log(LogEvent::kStoreReadRestarted, {{"for", OwnerName(owner)},
                                      {"reason", reason},
                                      {"open_call", open_call}});
}

void FleetTask::SendDue(storesync::StoreView& view, CallOwner owner) {
  if (const auto call = storesync::NextCall(view, net::MonotonicNow())) {
    Send(owner, *call);
  }
}

void FleetTask::SendDueRegistration() {
  if (const auto call =
          storesync::NextCall(registration_, net::MonotonicNow())) {
    Send(CallOwner::kRegistration, *call);
  }
}

void FleetTask::Send(CallOwner owner, const storesync::Call& call) {
  open_calls_[++last_call_id_] = {owner, std::visit(CallNames{}, call),
                                  net::MonotonicNow(), net::BootNow()};
  const auto* list = std::get_if<storesync::RangeCall>(&call);
  const bool is_first_page = list != nullptr && list->after_key.empty();
  if (owner == CallOwner::kConfiguration && is_first_page) {
    configuration_list_sent_at_ = open_calls_[last_call_id_].sent_at;
    configuration_list_boot_sent_at_ = open_calls_[last_call_id_].boot_sent_at;
  }
  transport_->Send(last_call_id_, call);
}

void FleetTask::HandleReply(std::uint64_t id, const storesync::Reply& reply,
                            std::optional<storesync::StoreEra> era) {
  const auto it = open_calls_.find(id);
  if (it == open_calls_.end()) return;
  const OpenCall call = it->second;
  open_calls_.erase(it);
  if (!era || !store_era_ || *era == *store_era_) {
    if (era) store_era_ = era;
    HandleCurrentReply(call, reply);
  } else if (*era < *store_era_) {
    HandleCurrentReply(
        call, storesync::CallFailed{storesync::CallFailed::Reason::kOutdated});
  } else {
    store_era_ = era;
    TrackStoreAvailability(reply);
    HandleRestoredStore();
  }
}

void FleetTask::HandleCurrentReply(const OpenCall& call,
                                   const storesync::Reply& reply) {
  const CallOwner owner = call.owner;
  if (const auto* failed = std::get_if<storesync::CallFailed>(&reply))
    LogFailedCall(call, *failed);
  LogUnreadableItems(call, reply);
  TrackStoreAvailability(reply);
  const TimePoint now = net::MonotonicNow();
  RecordWrittenEntries(owner, reply);
  switch (owner) {
    case CallOwner::kConfiguration:
      HandleConfigurationReply(call, reply, now);
      SendDue(configuration_view_, owner);
      break;
    case CallOwner::kServers:
      if (storesync::HandleReply(servers_view_, reply, now, random_)) {
        ApplyServers();
      }
      UpdateViewPauses();
      SendDue(servers_view_, owner);
      break;
    case CallOwner::kMembers:
      if (storesync::HandleReply(members_view_, reply, now, random_)) {
        ApplyMembers();
      }
      UpdateViewPauses();
      SendDue(members_view_, owner);
      break;
    case CallOwner::kRegistration:
      storesync::HandleReply(registration_, reply, now, random_);
      SendDueRegistration();
      break;
    case CallOwner::kFreshness:
      HandleCheckReply(call, reply);
      break;
    case CallOwner::kTrust:
      HandleTrustReply(reply, now);
      break;
  }
}

void FleetTask::TrackStoreAvailability(const storesync::Reply& reply) {
  const auto* failed = std::get_if<storesync::CallFailed>(&reply);
  if (failed == nullptr) {
    const bool had_failures = std::exchange(consecutive_failures_, 0) > 0;
    if (is_store_lost_) {
      HandleStoreRecovery();
    } else if (had_failures && configuration_view_.is_waiting) {
      // An open watch may be one of the lost calls and never return.
      RenewConfigurationWatch("an earlier call failed", net::MonotonicNow());
    }
    return;
  }
  ++store_failures_;
  if (++consecutive_failures_ < kFailuresUntilLost || is_store_lost_) return;
  is_store_lost_ = true;
  Log(LogEvent::kStoreLost,
      {{"reason", storesync::ReasonName(failed->reason)},
       {"failures", std::to_string(consecutive_failures_)}});
}

std::array<std::pair<FleetTask::CallOwner, storesync::StoreView*>, 3>
FleetTask::Views() {
  return {{{CallOwner::kConfiguration, &configuration_view_},
           {CallOwner::kServers, &servers_view_},
           {CallOwner::kMembers, &members_view_}}};
}

void FleetTask::HandleStoreRecovery() {
  const TimePoint now = net::MonotonicNow();
  is_store_lost_ = false;
  TrackProgress(now);
  for (const auto& [owner, view] : Views()) {
    const bool is_receiving = IsReceiving(owner, now);
    storesync::EndOutage(*view, now);
    view->is_waiting = is_receiving;
    if (is_receiving) continue;
    CancelCalls(owner);
    // A watch would return each version since the outage began.
    if (owner == CallOwner::kConfiguration) storesync::Relist(*view, now);
  }
  UpdateViewPauses();
  Log(LogEvent::kStoreBack, {{"calls", std::to_string(last_call_id_)}});
}

}  // namespace ibisladder::fleet
