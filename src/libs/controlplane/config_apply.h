#ifndef LIBS_CONTROLPLANE_CONFIG_APPLY_H_
#define LIBS_CONTROLPLANE_CONFIG_APPLY_H_

#include <deque>
#include <optional>
#include <set>
#include <string>

#include "libs/controlplane/document.h"
#include "libs/controlplane/exchanges.h"
#include "libs/controlplane/messages.h"

/// Applies operators' changes, one after another: chunks first, then the
/// compare-and-swap of the head, which alone accepts a change. A lost reply is
/// resolved by reading the head.
namespace ibisladder::controlplane {

struct Context;

enum class ApplyStage : std::uint8_t {
  kReadHead,     ///< Reads the head that the change is based on.
  kCatchUp,      ///< Waits until this instance has that head's version.
  kWriteChunks,  ///< Nothing is changed yet, whatever happens.
  kWriteHead,    ///< From the first write on, the change may be accepted.
  kResolve,      ///< A reply was lost: reads the head, then writes it again.
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
