#ifndef LIBS_STORESYNC_STORE_VIEW_H_
#define LIBS_STORESYNC_STORE_VIEW_H_

#include <map>
#include <optional>
#include <string>

#include "libs/base/random.h"
#include "libs/storesync/kv_messages.h"

/// A copy of the keys with one prefix that survives outages of the store. Uses
/// no sockets or clocks: takes replies and the time, and returns calls.
namespace ibisladder::storesync {

struct ViewSettings {
  std::string prefix;
  /// How long the store waits for a change before it replies to a watch.
  Duration watch_wait = Seconds(20);
  /// Minimum time between a watch's reply and the next watch, so that frequent
  /// changes arrive in batches.
  Duration min_watch_interval{};
  /// How long after an outage missing keys are kept. Their leases may have
  /// expired (lapsed) during the outage, and their owners register them again.
  Duration lapse_grace = Seconds(2);
};

/// The copy and the state of its synchronization.
struct StoreView {
  ViewSettings settings;
  std::map<std::string, Item> items;
  /// Keys that the store no longer has, and when they are removed from `items`.
  std::map<std::string, TimePoint> missing;
  /// Whether a complete list has been read.
  bool is_complete = false;
  /// Set by the view's user; NextCall returns nothing meanwhile.
  bool is_paused = false;

  /// The part of the list that has been read so far.
  std::map<std::string, Item> listing;
  std::string list_after_key;
  /// Revision of the list's first page, from which changes are read.
  std::optional<Revision> list_revision;
  bool is_listing = true;
  /// Store revision up to which `items` was read; the next watch starts from
  /// it.
  Revision revision;

  bool is_waiting = false;
  TimePoint next_call_at;
  /// Failures in a row.
  std::uint32_t failures = 0;
  /// End of the last outage, if `had_outage`.
  TimePoint outage_ended_at;
  /// An outage has ended, and EndLapseGrace was not called since then.
  bool had_outage = false;
  /// Time of the last reply; also set when a new list is requested and when
  /// another call has ended an outage.
  TimePoint last_reply_at;
};

StoreView MakeStoreView(const ViewSettings& settings);

/// Returns the call to make now, if any. No further call is returned until
/// HandleReply, EndOutage or Relist is called.
std::optional<Call> NextCall(StoreView& view, TimePoint now);
/// Handles the reply to the last call. Returns whether `items` may have
/// changed.
bool HandleReply(StoreView& view, const Reply& reply, TimePoint now,
                 Random& random);
/// Removes the missing keys whose grace time is over. Returns whether any was
/// removed.
bool RemoveLapsedKeys(StoreView& view, TimePoint now);
/// Starts the grace time after an outage if a complete list has been read, and
/// makes a call due now instead of awaiting the reply to an open one. For
/// replies outside of this view that show that the store is available again.
void EndOutage(StoreView& view, TimePoint now);
/// Ends the grace time, so that keys missing from the next list are removed
/// immediately; call Relist to read it. For views whose changes another
/// instance has followed, so that a missing key was removed and did not just
/// expire.
void EndLapseGrace(StoreView& view);
/// Returns whether the copy matches the store: a complete list was read and
/// none is being read again, a reply arrived within `limit`, and no grace time
/// runs, in which keys are kept that may have expired during an outage.
bool IsCurrent(const StoreView& view, TimePoint now, Duration limit);
/// Reads the whole list again, without waiting for the reply to an open watch.
/// A list that is being read is not started again: the changes since its first
/// page are read after it. Returns whether an open call was abandoned.
bool Relist(StoreView& view, TimePoint now);

/// Forgets all revisions, since the store has begun to count them anew: the
/// next list replaces all items, and a list that is being read is started
/// again. Call Relist to read it.
void ForgetRevisions(StoreView& view);

/// Watches again from the copy's revision, without waiting for the reply to an
/// open watch. Returns whether a call was abandoned; a list that is being read
/// goes on.
bool RenewWatch(StoreView& view, TimePoint now);

}  // namespace ibisladder::storesync

#endif  // LIBS_STORESYNC_STORE_VIEW_H_
