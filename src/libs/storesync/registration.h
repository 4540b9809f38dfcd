#ifndef LIBS_STORESYNC_REGISTRATION_H_
#define LIBS_STORESYNC_REGISTRATION_H_

#include <optional>
#include <string>

#include "libs/base/random.h"
#include "libs/storesync/kv_messages.h"

/// Keeps one key of this process in the store under a lease. Uses no sockets or
/// clocks: takes replies and the time, and returns calls.
namespace ibisladder::storesync {

/// Settings and state of a registration; set `key` and `value` before the first
/// call.
struct Registration {
  std::string key;
  std::string value;
  Duration time_to_live = Seconds(3);

  std::optional<LeaseId> lease;
  /// The key has been put under the current lease.
  bool is_stored = false;
  /// Deregister was called.
  bool is_ending = false;
  /// A call is open.
  bool is_waiting = false;
  TimePoint next_call_at;
  /// Failures in a row.
  std::uint32_t failures = 0;
};

/// Returns the call to make now, if any. No further call is returned until
/// HandleReply is called.
std::optional<Call> NextCall(Registration& registration, TimePoint now);
/// Handles the reply to the last call. Failed calls are repeated after a
/// backoff.
void HandleReply(Registration& registration, const Reply& reply, TimePoint now,
                 Random& random);
/// Gives up the lease without ending it, and puts the key under a new one: the
/// store may have given the lease to another process.
void RegisterAgain(Registration& registration, TimePoint now);
/// Ends the lease, and so removes the key, with the next call.
void Deregister(Registration& registration, TimePoint now);

}  // namespace ibisladder::storesync

#endif  // LIBS_STORESYNC_REGISTRATION_H_
