#include "libs/controlplane/config_apply.h"

#include <algorithm>
#include <utility>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

constexpr std::size_t kMaxWaitingChanges = 8;
constexpr std::uint32_t kMaxParallelWrites = 16;
/// Failed chunk writes of one change after which it is given up.
constexpr std::uint32_t kMaxChunkFailures = 8;
/// Time limit for the first read of the head, and again for writing the chunks.
constexpr Duration kPrepareTime = Seconds(30);
/// Time limit for fetching the version that the change is based on.
constexpr Duration kCatchUpTime = Seconds(4);
/// Time limit for the head's write and finding out its outcome.
constexpr Duration kResolveTime = Seconds(10);
/// Delay before the head is read again.
constexpr Duration kResolveDelay = Millis(400);

RunningApply& Running(Context& context) { return *context.plane.apply.running; }

LogEvent EventOf(ResultCode code) {
  switch (code) {
    case ResultCode::kDone:
      return LogEvent::kChangeAccepted;
    case ResultCode::kConflict:
      return LogEvent::kChangeConflict;
    case ResultCode::kWriteUnknown:
      return LogEvent::kChangeUnknown;
    default:
      return LogEvent::kChangeRefused;
  }
}

void Answer(Context& context, const ApplyRequested& request, ResultCode code,
            ConfigVersion version, const std::string& message) {
  Log(context, EventOf(code),
      {{"change", request.change_id},
       {"version", Text(version)},
       {"code", std::to_string(static_cast<int>(code))},
       {"reason", message}});
  context.actions.push_back(
      AnswerApply{request.procedure, code, version, message});
}

/// Forgets the pending calls, so that late replies are not taken for those of
/// the next change.
void RemoveApplyCalls(Context& context) {
  std::erase_if(context.plane.exchanges.pending, [](const auto& it) {
    const auto purpose = it.second.purpose;
    return purpose == Purpose::kApplyReadHead ||
           purpose == Purpose::kApplyWriteChunk ||
           purpose == Purpose::kApplyWriteHead;
  });
}

void Finish(Context& context, ResultCode code, ConfigVersion version,
            const std::string& message) {
  RemoveApplyCalls(context);
  const ApplyRequested request = std::move(Running(context).request);
  context.plane.apply.running.reset();
  Answer(context, request, code, version, message);
}

void FinishUnchanged(Context& context, const std::string& why) {
  Finish(context, ResultCode::kUnavailable, InstalledVersion(context.plane),
         why + "; nothing was changed");
}

void FinishConflict(Context& context, ConfigVersion current) {
  const auto based_on = Running(context).request.based_on;
  Finish(context, ResultCode::kConflict, current,
         "the change is based on version " + Text(based_on) + ", but version " +
             Text(current) + " is in force");
}

void FinishAccepted(Context& context) {
  const DocumentPtr document = Running(context).document;
  Install(context, document);
  for (const auto it : ExpiredChunks(document->head)) {
    DeleteKey(context, ChunkKey(context, it));
  }
  // Heartbeats announce the version; more peers per round spread it faster.
  WidenNextRounds(context);
  Finish(context, ResultCode::kDone, document->head.version, "accepted");
}

void WriteHead(Context& context) {
  auto& run = Running(context);
  if (run.stage == ApplyStage::kWriteChunks) {
    run.deadline = context.now + kResolveTime;
  }
  run.stage = ApplyStage::kWriteHead;
  WriteKey(context, Purpose::kApplyWriteHead, HeadKey(context), run.base,
           run.document->head_bytes);
}

void ResolveLater(Context& context) {
  auto& run = Running(context);
  run.stage = ApplyStage::kResolve;
  run.retry_at = context.now + Jittered(kResolveDelay, context.random);
}

void WriteMoreChunks(Context& context) {
  auto& run = Running(context);
  const auto& chunks = run.document->chunks;
  while (!run.unwritten.empty() && run.writing < kMaxParallelWrites) {
    const auto digest = run.unwritten.front();
    run.unwritten.pop_front();
    ++run.writing;
    WriteKey(context, Purpose::kApplyWriteChunk, ChunkKey(context, digest),
             Revision(), *chunks.at(digest), digest);
  }
  if (run.unwritten.empty() && run.writing == 0) WriteHead(context);
}

/// Builds the new version and starts writing the chunks that the store's head
/// does not name.
void StartWriting(Context& context, const StoredHead* stored) {
  auto& run = Running(context);
  const Change change{ConfigVersion(run.base_version.value() + 1),
                      context.plane.settings.instance, run.request.change_id};
  auto document = MakeDocument(run.request.declarations, change,
                               context.plane.document.get());
  if (!document) {
    return Finish(context, ResultCode::kInvalidArgument, run.base_version,
                  document.error().message);
  }
  run.document = std::move(*document);
  std::set<ChunkDigest> named;
  if (stored != nullptr) {
    const auto digests = ChunksOf(*stored);
    named.insert(digests.begin(), digests.end());
  }
  for (const auto& [digest, _] : run.document->chunks) {
    if (!named.contains(digest)) run.unwritten.push_back(digest);
  }
  run.stage = ApplyStage::kWriteChunks;
  WriteMoreChunks(context);
}

/// Compares the change with the head in the store, before any write.
void Prepare(Context& context, const StoredHead* stored,
             const StoreReplied& reply) {
  auto& run = Running(context);
  const auto& held = context.plane.document;
  if (held) {
    if (const auto done = VersionOfChange(held->head, run.request.change_id)) {
      return Finish(context, ResultCode::kDone, *done, "accepted before");
    }
  }
  const auto stored_version = stored ? stored->version : ConfigVersion();
  const auto current = std::max(stored_version, HighestKnown(context.plane));
  const bool is_held = InstalledVersion(context.plane) == current;
  // A version that is only known from peers may be this change's own: which
  // changes it contains is seen once this instance holds it.
  const bool sees_changes = is_held || stored_version == current;
  if (sees_changes && run.request.based_on != current) {
    return FinishConflict(context, current);
  }
  if (!is_held) {
    // Unchanged chunks can only be reused from a version that this instance
    // holds.
    if (stored != nullptr)
      ConsiderHead(context, reply.value, HeadSource::kStore);
    if (run.stage == ApplyStage::kReadHead) {
      run.deadline = context.now + kCatchUpTime;
    }
    run.stage = ApplyStage::kCatchUp;
    run.retry_at = context.now + kResolveDelay;
    return;
  }
  run.base = reply.code == ResultCode::kDone ? reply.revision : Revision();
  run.base_version = current;
  run.deadline = context.now + kPrepareTime;
  StartWriting(context, stored);
}

/// Handles the head read after a write whose reply was lost or that conflicted;
/// the head does not contain the change.
void Resolve(Context& context, const StoredHead* stored,
             const StoreReplied& reply) {
  auto& run = Running(context);
  const auto revision =
      reply.code == ResultCode::kDone ? reply.revision : Revision();
  // The base revision was replaced without the change, which can thus never be
  // accepted.
  if (revision != run.base) {
    return FinishConflict(context, stored ? stored->version : ConfigVersion());
  }
  // The write has not taken effect, but may still do so. Writing again is safe:
  // at most one of the two writes can replace the base revision.
  WriteHead(context);
}

void ReceiveHeadRead(Context& context, const StoreReplied& reply) {
  auto& run = Running(context);
  const bool is_resolving = run.stage == ApplyStage::kResolve;
  // Other codes say nothing about the head.
  const bool is_answer = reply.code == ResultCode::kDone ||
                         reply.code == ResultCode::kStoreNotFound;
  if (!is_answer) {
    if (is_resolving) return ResolveLater(context);
    return FinishUnchanged(
        context, "the store did not answer, or its reply was invalid");
  }
  std::optional<StoredHead> stored;
  if (reply.code == ResultCode::kDone) {
    auto head = DecodeHead(reply.value);
    if (!head && is_resolving) return ResolveLater(context);
    if (!head) {
      return Finish(context, ResultCode::kInternal,
                    InstalledVersion(context.plane),
                    head.error().message + "; nothing was changed");
    }
    stored = std::move(*head);
  }
  if (stored) {
    if (const auto done = VersionOfChange(*stored, run.request.change_id)) {
      if (run.document && *done == run.document->head.version) {
        return FinishAccepted(context);
      }
      ConsiderHead(context, reply.value, HeadSource::kStore);
      return Finish(context, ResultCode::kDone, *done, "accepted before");
    }
  }
  const StoredHead* head = stored ? &*stored : nullptr;
  if (is_resolving) {
    Resolve(context, head, reply);
  } else {
    Prepare(context, head, reply);
  }
}

void ReceiveChunkWritten(Context& context, const PendingCall& call,
                         const StoreReplied& reply) {
  auto& run = Running(context);
  --run.writing;
  // A conflict means that the same bytes are stored already: the key is their
  // digest.
  const bool is_there = reply.code == ResultCode::kDone ||
                        reply.code == ResultCode::kStoreConflict;
  if (!is_there) {
    run.unwritten.push_back(call.digest);
    if (++run.failures >= kMaxChunkFailures) {
      return FinishUnchanged(context,
                             "too many writes of chunks failed or timed out");
    }
  }
  WriteMoreChunks(context);
}

void ReceiveHeadWritten(Context& context, const StoreReplied& reply) {
  if (reply.code == ResultCode::kDone) return FinishAccepted(context);
  // Also after a conflict: this may be with an earlier write of the same head
  // whose reply was lost.
  ResolveLater(context);
  if (reply.code == ResultCode::kStoreConflict)
    Running(context).retry_at = context.now;
}

void HandleTimeout(Context& context) {
  switch (Running(context).stage) {
    case ApplyStage::kWriteHead:
    case ApplyStage::kResolve:
      return Finish(context, ResultCode::kWriteUnknown,
                    Running(context).document->head.version,
                    "the store does not say whether the change was accepted; "
                    "repeat it with the same change id");
    case ApplyStage::kCatchUp:
      return FinishUnchanged(
          context, "this instance could not fetch the newest version");
    default:
      return FinishUnchanged(
          context,
          "the head was not read or the chunks were not written in time");
  }
}

void Start(Context& context) {
  auto& apply = context.plane.apply;
  apply.running = RunningApply{std::move(apply.waiting.front())};
  apply.waiting.pop_front();
  apply.running->deadline = context.now + kPrepareTime;
  ReadKey(context, Purpose::kApplyReadHead, HeadKey(context));
}

}  // namespace

void QueueApply(Context& context, const ApplyRequested& request) {
  auto& apply = context.plane.apply;
  if (apply.waiting.size() >= kMaxWaitingChanges) {
    return Answer(
        context, request, ResultCode::kUnavailable,
        InstalledVersion(context.plane),
        "too many changes are waiting at this instance; nothing was changed");
  }
  apply.waiting.push_back(request);
  ContinueApply(context);
}

void ContinueApply(Context& context) {
  auto& apply = context.plane.apply;
  if (apply.running && context.now >= apply.running->deadline)
    HandleTimeout(context);
  if (!apply.running && !apply.waiting.empty()) Start(context);
  if (!apply.running) return;
  auto& run = Running(context);
  if (!run.retry_at || context.now < *run.retry_at) return;
  run.retry_at.reset();
  ReadKey(context, Purpose::kApplyReadHead, HeadKey(context));
}

void ReceiveApplyReply(Context& context, const PendingCall& call,
                       const StoreReplied& reply) {
  // Replies that arrive after the change has ended are dropped.
  if (!context.plane.apply.running) return;
  const auto stage = Running(context).stage;
  switch (call.purpose) {
    case Purpose::kApplyReadHead:
      return ReceiveHeadRead(context, reply);
    case Purpose::kApplyWriteChunk:
      if (stage == ApplyStage::kWriteChunks) {
        ReceiveChunkWritten(context, call, reply);
      }
      return;
    default:
      if (stage == ApplyStage::kWriteHead) ReceiveHeadWritten(context, reply);
  }
}

}  // namespace ibisladder::controlplane
