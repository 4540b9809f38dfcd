#include "libs/storesync/store_view.h"

#include <algorithm>
#include <utility>

#include "libs/storesync/backoff.h"

namespace ibisladder::storesync {
namespace {

/// Number of failures in a row that make an outage.
constexpr std::uint32_t kOutageFailures = 2;
/// Time without a reply, beyond the wait of a watch, that makes an outage.
constexpr Duration kOutageSilence = Seconds(3);

void StartListing(StoreView& view) {
  view.is_listing = true;
  view.listing.clear();
  view.list_after_key.clear();
  view.list_revision.reset();
}

/// Returns whether an outage ended so recently that keys whose leases expired
/// during it may still be registered again.
bool IsInLapseGrace(const StoreView& view, TimePoint now) {
  return view.had_outage &&
         now - view.outage_ended_at < view.settings.lapse_grace;
}

bool Remove(StoreView& view, const std::string& key, TimePoint now) {
  if (!view.items.contains(key)) return false;
  if (IsInLapseGrace(view, now)) {
    view.missing.emplace(key, view.outage_ended_at + view.settings.lapse_grace);
    return false;
  }
  view.missing.erase(key);
  return view.items.erase(key) > 0;
}

bool Store(StoreView& view, Item item) {
  view.missing.erase(item.key);
  Item& known = view.items[item.key];
  if (!known.key.empty() && known.changed_at >= item.changed_at) return false;
  known = std::move(item);
  return true;
}

bool InstallList(StoreView& view, TimePoint now) {
  bool changed = !view.is_complete;
  std::vector<std::string> absent;
  for (const auto& [key, item] : view.items) {
    if (!view.listing.contains(key)) absent.push_back(key);
  }
  for (const auto& key : absent) changed |= Remove(view, key, now);
  for (auto& [key, item] : view.listing) {
    changed |= Store(view, std::move(item));
  }
  view.revision = *view.list_revision;
  view.is_complete = true;
  view.is_listing = false;
  view.listing.clear();
  return changed;
}

bool AddPage(StoreView& view, const RangeReply& reply, TimePoint now) {
  if (!view.list_revision) view.list_revision = reply.store_revision;
  for (const auto& it : reply.items) view.listing[it.key] = it;
  if (reply.has_more && !reply.items.empty()) {
    view.list_after_key = reply.items.back().key;
    return false;
  }
  return InstallList(view, now);
}

bool ApplyChanges(StoreView& view, const WatchReply& reply, TimePoint now) {
  bool changed = false;
  for (const auto& it : reply.changes) {
    if (it.value) {
      changed |= Store(view, {it.key, *it.value, it.changed_at});
    } else {
      changed |= Remove(view, it.key, now);
    }
  }
  view.revision = std::max(view.revision, reply.store_revision);
  view.next_call_at = now + view.settings.min_watch_interval;
  return changed;
}

void RecordReply(StoreView& view, TimePoint now) {
  const bool was_silent =
      now - view.last_reply_at > view.settings.watch_wait + kOutageSilence;
  if (view.failures >= kOutageFailures || was_silent) EndOutage(view, now);
  view.failures = 0;
  view.last_reply_at = now;
}

}  // namespace

const char* ReasonName(CallFailed::Reason reason) {
  switch (reason) {
    case CallFailed::Reason::kNoReply:
      return "no_reply";
    case CallFailed::Reason::kRefused:
      return "refused";
    case CallFailed::Reason::kOverQuota:
      return "over_quota";
    case CallFailed::Reason::kInvalid:
      return "invalid_reply";
    case CallFailed::Reason::kOutdated:
      return "outdated_reply";
  }
  return "unknown";
}

StoreView MakeStoreView(const ViewSettings& settings) {
  StoreView view;
  view.settings = settings;
  return view;
}

std::optional<Call> NextCall(StoreView& view, TimePoint now) {
  if (view.is_waiting || view.is_paused || now < view.next_call_at) {
    return std::nullopt;
  }
  view.is_waiting = true;
  if (view.is_listing) {
    return RangeCall{view.settings.prefix, view.list_after_key};
  }
  return WatchCall{view.settings.prefix, view.revision,
                   view.settings.watch_wait};
}

bool HandleReply(StoreView& view, const Reply& reply, TimePoint now,
                 Random& random) {
  view.is_waiting = false;
  if (std::holds_alternative<CallFailed>(reply)) {
    ++view.failures;
    view.next_call_at = now + JitteredBackoff({}, view.failures, random);
    if (view.is_listing) StartListing(view);
    return false;
  }
  RecordReply(view, now);
  if (const auto* page = std::get_if<RangeReply>(&reply)) {
    return AddPage(view, *page, now);
  }
  if (const auto* changes = std::get_if<WatchReply>(&reply)) {
    return ApplyChanges(view, *changes, now);
  }
  // HistoryLost: the whole list replaces the changes that the store lacks.
  StartListing(view);
  return false;
}

bool RemoveLapsedKeys(StoreView& view, TimePoint now) {
  bool changed = false;
  for (auto it = view.missing.begin(); it != view.missing.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    changed |= view.items.erase(it->first) > 0;
    it = view.missing.erase(it);
  }
  return changed;
}

void EndOutage(StoreView& view, TimePoint now) {
  view.is_waiting = false;
  view.next_call_at = now;
  view.failures = 0;
  view.last_reply_at = now;
  if (!view.is_complete) return;
  view.had_outage = true;
  view.outage_ended_at = now;
}

void EndLapseGrace(StoreView& view) {
  view.had_outage = false;
  view.missing.clear();
}

bool IsCurrent(const StoreView& view, TimePoint now, Duration limit) {
  return view.is_complete && !view.is_listing &&
         now - view.last_reply_at < limit && view.missing.empty() &&
         !IsInLapseGrace(view, now);
}

bool Relist(StoreView& view, TimePoint now) {
  if (view.is_listing && view.is_waiting) return false;
  const bool was_waiting = std::exchange(view.is_waiting, false);
  if (!view.is_listing) StartListing(view);
  view.next_call_at = now;
  // Without calls there were no replies; the pause must not count as an outage.
  view.last_reply_at = now;
  return was_waiting;
}

void ForgetRevisions(StoreView& view) {
  for (auto& [key, item] : view.items) item.changed_at = Revision();
  view.revision = Revision();
  if (view.is_listing) StartListing(view);
}

bool RenewWatch(StoreView& view, TimePoint now) {
  if (view.is_listing || !view.is_waiting) return false;
  view.is_waiting = false;
  view.next_call_at = now;
  view.last_reply_at = now;
  return true;
}

}  // namespace ibisladder::storesync
