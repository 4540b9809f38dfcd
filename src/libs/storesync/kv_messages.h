#ifndef LIBS_STORESYNC_KV_MESSAGES_H_
#define LIBS_STORESYNC_KV_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// Calls and replies of a key-value store with revisions, leases and watches.
/// Their encoding is up to the transport.
namespace ibisladder::storesync {

/// Counter of the store that increases with each change.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
using LeaseId = Strong<struct LeaseIdTag, std::uint64_t>;
/// Rises each time when the store was restored from an older copy. Revisions
/// and leases that were given out since that copy are given out again, so that
/// they mean something only together with the era.
using StoreEra = Strong<struct StoreEraTag, std::uint64_t>;

struct Item {
  std::string key;
  std::string value;
  Revision changed_at;
};

/// A change of one key; without a value, the key was removed.
struct Change {
  std::string key;
  std::optional<std::string> value;
  Revision changed_at;
};

// Calls.

/// Requests the items whose key starts with `prefix`, in order of their keys,
/// beginning after `after_key`.
struct RangeCall {
  std::string prefix;
  std::string after_key;
};
/// Requests the changes after a revision. The store waits up to `wait` for the
/// first one.
struct WatchCall {
  std::string prefix;
  Revision after;
  Duration wait{};
};
struct GrantLeaseCall {
  Duration time_to_live{};
};
struct RenewLeaseCall {
  LeaseId lease;
};
/// Ends a lease; the store then removes its keys immediately.
struct EndLeaseCall {
  LeaseId lease;
};
struct PutCall {
  std::string key;
  std::string value;
  LeaseId lease;
};

using Call = std::variant<RangeCall, WatchCall, GrantLeaseCall, RenewLeaseCall,
                          EndLeaseCall, PutCall>;

// Replies.

struct RangeReply {
  std::vector<Item> items;
  /// Further keys follow; the next call begins after the last item's key.
  bool has_more = false;
  /// Revision of the store when it replied.
  Revision store_revision;
  /// Number of items without a readable key, which are left out.
  std::size_t unreadable_items = 0;
};
struct WatchReply {
  std::vector<Change> changes;
  /// Revision up to which the changes are complete.
  Revision store_revision;
  /// Number of changes without a readable key, which are left out.
  std::size_t unreadable_items = 0;
};
/// The store no longer has the changes after the requested revision.
struct HistoryLost {};
struct LeaseReply {
  LeaseId lease;
  Duration time_to_live{};
};
/// Reply to EndLeaseCall, and to calls whose lease no longer exists.
struct LeaseEnded {};
/// Reply to PutCall.
struct Stored {};
/// There was no usable reply. Except for kRefused, a write may have been
/// executed nevertheless.
struct CallFailed {
  enum class Reason : std::uint8_t {
    kNoReply,    ///< Connection lost or timeout.
    kRefused,    ///< The store rejected the call without executing it.
    kOverQuota,  ///< Too many calls.
    kInvalid,    ///< The reply could not be decoded.
    kOutdated,   ///< The reply is of an earlier era of the store.
  };
  Reason reason = Reason::kNoReply;
};

using Reply = std::variant<RangeReply, WatchReply, HistoryLost, LeaseReply,
                           LeaseEnded, Stored, CallFailed>;

/// Returns the name used in logs, such as "no_reply".
const char* ReasonName(CallFailed::Reason reason);

}  // namespace ibisladder::storesync

#endif  // LIBS_STORESYNC_KV_MESSAGES_H_
