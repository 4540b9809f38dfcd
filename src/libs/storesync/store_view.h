#ifndef LIBS_STORESYNC_STORE_VIEW_H_
#define LIBS_STORESYNC_STORE_VIEW_H_

#include <map>
#include <optional>
#include <string>

#include "libs/base/random.h"
#include "libs/storesync/kv_messages.h"

/// A copy of the keys below one prefix that survives outages of the store. No
/// sockets or clocks: replies and the time go in, calls come out.
namespace ibisladder::storesync {

struct ViewSettings {
  std::string prefix;
  /// Longest wait of one watch.
  Duration watch_wait = Seconds(20);
  /// Least time between two watches, so that frequent changes come in batches.
  Duration min_watch_interval{};
  /// After an outage, time in which lapsed keys are expected back.
  Duration lapse_grace = Seconds(2);
};

struct StoreView {
  ViewSettings settings;
  std::map<std::string, Item> items;
  /// Keys that the store no longer has, and when they count as gone.
  std::map<std::string, TimePoint> missing;
  /// Whether a whole list has been read.
  bool is_complete = false;
  bool is_paused = false;

  /// Keys of the list that is being read.
  std::map<std::string, Item> listing;
  std::string list_after_key;
  std::optional<Revision> list_revision;
  bool is_listing = true;
  Revision revision;

  bool is_waiting = false;
  TimePoint next_call_at;
  /// Failures in a row.
  std::uint32_t failures = 0;
  /// End of the last outage.
  TimePoint outage_ended_at;
  bool had_outage = false;
  /// Last reply of the store.
  TimePoint last_reply_at;
};

StoreView MakeStoreView(const ViewSettings& settings);

/// The call to make now, if any; the view waits for its reply from then on.
std::optional<Call> NextCall(StoreView& view, TimePoint now);
/// Whether `items` may have changed.
bool HandleReply(StoreView& view, const Reply& reply, TimePoint now,
                 Random& random);
/// Drops keys whose time to come back is over; whether any was dropped.
bool RemoveLapsedKeys(StoreView& view, TimePoint now);
/// The store answers again after an outage, as another call has shown; calls
/// that are open since then are given up.
void EndOutage(StoreView& view, TimePoint now);
/// Another instance has followed the store meanwhile: what the next list lacks
/// has left, and has not lapsed.
void EndLapseGrace(StoreView& view);
/// Whether the copy is the store's word now: a reply came within `limit`, and
/// no key is kept that may have lapsed in an outage.
bool IsCurrent(const StoreView& view, TimePoint now, Duration limit);
/// Reads the whole list anew, without waiting for the reply to an open call.
void Relist(StoreView& view, TimePoint now);

}  // namespace ibisladder::storesync

#endif  // LIBS_STORESYNC_STORE_VIEW_H_
