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
  kWriteChunks,  ///< Whatever fails here, nothing is changed.
  kWriteHead,    ///< From here on, the change may be accepted.
  kResolve,      ///< The write failed or its outcome is unknown: reads the
                 ///< head, and writes again if it is unchanged.
};

struct RunningApply {
  ApplyRequested request;
  ApplyStage stage = ApplyStage::kReadHead;
  TimePoint deadline;
  /// The head's revision that the change replaces.
  Revision base;
  ConfigVersion base_version;
  DocumentPtr document;
  std::deque<ChunkDigest> unwritten;
  std::uint32_t writing = 0;
  std::uint32_t failures = 0;
  /// When the head is read again.
  std::optional<TimePoint> retry_at;
};

struct ApplyState {
  std::deque<ApplyRequested> waiting;
  std::optional<RunningApply> running;
};

void QueueApply(Context& context, const ApplyRequested& request);
void ContinueApply(Context& context);
void ReceiveApplyReply(Context& context, const PendingCall& call,
                       const StoreReplied& reply);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_CONFIG_APPLY_H_
