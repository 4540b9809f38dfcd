#ifndef LIBS_STORESYNC_KV_MESSAGES_H_
#define LIBS_STORESYNC_KV_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// Calls of a store of keys with revisions, leases and watches, and its
/// replies; how they look on the wire is the transport's matter.
namespace ibisladder::storesync {

/// Counter of the store that grows with each change.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
using LeaseId = Strong<struct LeaseIdTag, std::uint64_t>;

struct Item {
  std::string key;
  std::string value;
  Revision changed_at;
};

/// A change of one key; no value: the key was removed.
struct Change {
  std::string key;
  std::optional<std::string> value;
  Revision changed_at;
};

// Calls.

/// Items whose key begins with `prefix`, in order, after `after_key`.
struct RangeCall {
  std::string prefix;
  std::string after_key;
};
/// Changes after a revision; the reply waits up to `wait` for the first one.
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
/// Its keys are removed at once.
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
  bool has_more = false;
  Revision store_revision;
};
struct WatchReply {
  std::vector<Change> changes;
  Revision store_revision;
};
/// The history after the revision asked for is dropped.
struct HistoryLost {};
struct LeaseReply {
  LeaseId lease;
  Duration time_to_live{};
};
struct LeaseEnded {};
struct Stored {};
/// No usable reply; a write may have been done all the same.
struct CallFailed {
  enum class Reason : std::uint8_t {
    kNoReply,    ///< Connection lost, or nothing within the time.
    kRefused,    ///< The store says that nothing was done.
    kOverQuota,  ///< Too many calls.
    kInvalid,    ///< The reply cannot be read.
  };
  Reason reason = Reason::kNoReply;
};

using Reply = std::variant<RangeReply, WatchReply, HistoryLost, LeaseReply,
                           LeaseEnded, Stored, CallFailed>;

const char* ReasonName(CallFailed::Reason reason);

}  // namespace ibisladder::storesync

#endif  // LIBS_STORESYNC_KV_MESSAGES_H_
