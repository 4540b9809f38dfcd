#ifndef LIBS_STORESYNC_REGISTRATION_H_
#define LIBS_STORESYNC_REGISTRATION_H_

#include <optional>
#include <string>

#include "libs/base/random.h"
#include "libs/storesync/kv_messages.h"

/// Keeps one key of this process in the store, under a lease. No sockets or
/// clocks: replies and the time go in, calls come out.
namespace ibisladder::storesync {

struct Registration {
  std::string key;
  std::string value;
  Duration time_to_live = Seconds(3);

  std::optional<LeaseId> lease;
  bool is_stored = false;
  bool is_ending = false;
  bool is_waiting = false;
  TimePoint next_call_at;
  std::uint32_t failures = 0;
};

/// The call to make now, if any; the registration waits for its reply.
std::optional<Call> NextCall(Registration& registration, TimePoint now);
void HandleReply(Registration& registration, const Reply& reply, TimePoint now,
                 Random& random);
/// Takes the key back with the next call.
void Deregister(Registration& registration, TimePoint now);

}  // namespace ibisladder::storesync

#endif  // LIBS_STORESYNC_REGISTRATION_H_
