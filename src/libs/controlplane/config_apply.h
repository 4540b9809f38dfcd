#ifndef LIBS_CONTROLPLANE_CONFIG_APPLY_H_
#define LIBS_CONTROLPLANE_CONFIG_APPLY_H_

#include <deque>
#include <optional>
#include <set>
#include <string>

#include "libs/controlplane/document.h"
#include "libs/controlplane/exchanges.h"
#include "libs/controlplane/messages.h"

/// Applies operators' changes one after another: writes the chunks first, then
/// the head by compare-and-swap. Only the head's write accepts a change. When
/// its reply is lost, the head is read to find out what happened.
namespace ibisladder::controlplane {

struct Context;

enum class ApplyStage : std::uint8_t {
  kReadHead,     ///< Reads the current head.
  kCatchUp,      ///< Waits until this instance has the current version.
  kWriteChunks,  ///< Whatever fails here, the configuration is unchanged;
                 ///< chunks already written stay in the store.
  kWriteHead,    ///< From here on, the change may be accepted.
  kResolve,      ///< The write failed or its outcome is unknown: reads the
                 ///< head, and writes again if it is unchanged.
};

struct RunningApply {
  ApplyRequested request;
  ApplyStage stage = ApplyStage::kReadHead;
  /// Deadline of the stage; kWriteHead and kResolve share one.
  TimePoint deadline;
  /// The head's revision that the change replaces.
  Revision base;
  ConfigVersion base_version;
  DocumentPtr document;
  std::deque<ChunkDigest> unwritten;
  /// Chunk writes without a reply yet.
  std::uint32_t writing = 0;
  /// Failed chunk writes of this change.
  std::uint32_t failures = 0;
  /// When the head is read again.
  std::optional<TimePoint> retry_at;
};

struct ApplyState {
  std::deque<ApplyRequested> waiting;
  std::optional<RunningApply> running;
};

/// Queues the change, or answers kUnavailable when too many are waiting.
void QueueApply(Context& context, const ApplyRequested& request);
/// Ends the running change when its deadline has passed, starts the next one,
/// and reads the head again when that is due.
void ContinueApply(Context& context);
void ReceiveApplyReply(Context& context, const PendingCall& call,
                       const StoreReplied& reply);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_CONFIG_APPLY_H_
