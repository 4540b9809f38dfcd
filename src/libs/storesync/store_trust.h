#ifndef LIBS_STORESYNC_STORE_TRUST_H_
#define LIBS_STORESYNC_STORE_TRUST_H_

#include <optional>
#include <string>

#include "libs/storesync/kv_messages.h"

/// Whether a process may take what the store has for the newest. A store that
/// was restored from an older copy lacks the latest writes until they are made
/// again. A process that ran before knows of them. One that starts afterwards
/// cannot tell, unless a record in the store names the store's era: the fleet
/// writes it when the store has all writes again.
namespace ibisladder::storesync {

enum class TrustLevel : std::uint8_t {
  kUnchecked,  ///< The record was not read yet.
  kDoubted,    ///< The record names an earlier era.
  kTrusted,
};

struct StoreTrust {
  /// Key of the record.
  std::string key;
  TrustLevel level = TrustLevel::kUnchecked;
  /// Era that the record names, as last read or written.
  std::optional<StoreEra> recorded;
  bool is_waiting = false;
  TimePoint next_call_at;
};

/// Returns the call to make now, if any: reads the record, or writes it if
/// `must_record`. `era`: of the store; nullopt if it has none.
std::optional<Call> NextCall(StoreTrust& trust, std::optional<StoreEra> era,
                             bool must_record, TimePoint now);
/// A store without a record, or without an era, is trusted: the first processes
/// of a fleet write the record.
void HandleReply(StoreTrust& trust, const Reply& reply,
                 std::optional<StoreEra> era, TimePoint now);
/// The store was restored from an older copy; calls of the earlier era have
/// ended. `is_informed`: this process knows which writes the store may lack.
void BeginEra(StoreTrust& trust, bool is_informed, TimePoint now);

}  // namespace ibisladder::storesync

#endif  // LIBS_STORESYNC_STORE_TRUST_H_
