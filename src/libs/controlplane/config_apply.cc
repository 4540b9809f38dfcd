#include "libs/controlplane/config_apply.h"

#include <algorithm>
#include <utility>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

constexpr std::size_t kMostWaiting = 8;
constexpr std::uint32_t kWritesAtOnce = 16;
constexpr std::uint32_t kMostChunkFailures = 8;
/// Time to get everything but the head's write done.
constexpr Duration kPrepareTime = Seconds(30);
constexpr Duration kCatchUpTime = Seconds(4);
/// Time to find out what became of the head's write.
constexpr Duration kResolveTime = Seconds(10);
constexpr Duration kResolveDelay = Millis(400);

RunningApply& Running(Turn& turn) { return *turn.plane.apply.running; }

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

void Answer(Turn& turn, const ApplyRequested& asked, ResultCode code,
            ConfigVersion version, const std::string& message) {
  Log(turn, EventOf(code),
      {{"change", asked.change_id},
       {"version", Text(version)},
       {"code", std::to_string(static_cast<int>(code))},
       {"reason", message}});
  turn.actions.push_back(AnswerApply{asked.procedure, code, version, message});
}

/// Late replies must not be taken for those of the next change.
void ForgetCalls(Turn& turn) {
  std::erase_if(turn.plane.exchanges.pending, [](const auto& it) {
    const auto purpose = it.second.purpose;
    return purpose == Purpose::kApplyReadHead ||
           purpose == Purpose::kApplyWriteChunk ||
           purpose == Purpose::kApplyWriteHead;
  });
}

void Finish(Turn& turn, ResultCode code, ConfigVersion version,
            const std::string& message) {
  ForgetCalls(turn);
  const ApplyRequested asked = std::move(Running(turn).asked);
  turn.plane.apply.running.reset();
  Answer(turn, asked, code, version, message);
}

void FinishUnchanged(Turn& turn, const std::string& why) {
  Finish(turn, ResultCode::kUnavailable, InstalledVersion(turn.plane),
         why + "; nothing was changed");
}

void FinishConflict(Turn& turn, ConfigVersion current) {
  const auto based_on = Running(turn).asked.based_on;
  Finish(turn, ResultCode::kConflict, current,
         "the change is based on version " + Text(based_on) + ", but version " +
             Text(current) + " is in force");
}

void FinishAccepted(Turn& turn) {
  const DocumentPtr document = Running(turn).document;
  Install(turn, document);
  for (const auto it : ExpiredChunks(document->head)) {
    DeleteKey(turn, ChunkKey(turn, it));
  }
  // Peers learn of the version from heartbeats; let it start at many places.
  SendWidely(turn);
  Finish(turn, ResultCode::kDone, document->head.version, "accepted");
}

void WriteHead(Turn& turn) {
  auto& run = Running(turn);
  if (run.stage == ApplyStage::kWriteChunks) {
    run.deadline = turn.now + kResolveTime;
  }
  run.stage = ApplyStage::kWriteHead;
  WriteKey(turn, Purpose::kApplyWriteHead, HeadKey(turn), run.base,
           run.document->head_bytes);
}

void ResolveLater(Turn& turn) {
  auto& run = Running(turn);
  run.stage = ApplyStage::kResolve;
  run.retry_at = turn.now + Jittered(kResolveDelay, turn.random);
}

void WriteMoreChunks(Turn& turn) {
  auto& run = Running(turn);
  const auto& chunks = run.document->chunks;
  while (!run.unwritten.empty() && run.writing < kWritesAtOnce) {
    const auto digest = run.unwritten.front();
    run.unwritten.pop_front();
    ++run.writing;
    WriteKey(turn, Purpose::kApplyWriteChunk, ChunkKey(turn, digest),
             Revision(), *chunks.at(digest), digest);
  }
  if (run.unwritten.empty() && run.writing == 0) WriteHead(turn);
}

/// Makes the new version and starts to write the chunks that the store's head
/// does not name.
void StartWriting(Turn& turn, const StoredHead* stored) {
  auto& run = Running(turn);
  const Change change{ConfigVersion(run.base_version.value() + 1),
                      turn.plane.settings.instance, run.asked.change_id};
  auto document =
      MakeDocument(run.asked.declarations, change, turn.plane.document.get());
  if (!document) {
    return Finish(turn, ResultCode::kInvalidArgument, run.base_version,
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
  WriteMoreChunks(turn);
}

/// Compares the change with the head in the store, before any write.
void Prepare(Turn& turn, const StoredHead* stored, const StoreReplied& reply) {
  auto& run = Running(turn);
  const auto& held = turn.plane.document;
  if (held) {
    if (const auto done = VersionOfChange(held->head, run.asked.change_id)) {
      return Finish(turn, ResultCode::kDone, *done, "accepted before");
    }
  }
  const auto stored_version = stored ? stored->version : ConfigVersion();
  const auto current = std::max(stored_version, HighestKnown(turn.plane));
  if (run.asked.based_on != current) return FinishConflict(turn, current);
  if (InstalledVersion(turn.plane) < current) {
    // Chunks are only kept from a version that this instance holds.
    if (stored != nullptr) ConsiderHead(turn, reply.value, HeadSource::kStore);
    if (run.stage == ApplyStage::kReadHead) {
      run.deadline = turn.now + kCatchUpTime;
    }
    run.stage = ApplyStage::kCatchUp;
    run.retry_at = turn.now + kResolveDelay;
    return;
  }
  run.base = reply.code == ResultCode::kDone ? reply.revision : Revision();
  run.base_version = current;
  run.deadline = turn.now + kPrepareTime;
  StartWriting(turn, stored);
}

/// Finds out what became of a write whose reply was lost, or that lost.
void Resolve(Turn& turn, const StoredHead* stored, const StoreReplied& reply) {
  auto& run = Running(turn);
  const auto revision =
      reply.code == ResultCode::kDone ? reply.revision : Revision();
  // Another revision, and no trace of the change: it can never be accepted.
  if (revision != run.base) {
    return FinishConflict(turn, stored ? stored->version : ConfigVersion());
  }
  // The write has not taken effect, but may be on its way. Writing again is
  // safe: at the most one of the two can replace the base revision.
  WriteHead(turn);
}

void ReceiveHeadRead(Turn& turn, const StoreReplied& reply) {
  auto& run = Running(turn);
  const bool is_resolving = run.stage == ApplyStage::kResolve;
  // Whatever else is answered tells nothing about the head.
  const bool is_answer = reply.code == ResultCode::kDone ||
                         reply.code == ResultCode::kStoreNotFound;
  if (!is_answer) {
    if (is_resolving) return ResolveLater(turn);
    return FinishUnchanged(turn, "the store does not answer");
  }
  std::optional<StoredHead> stored;
  if (reply.code == ResultCode::kDone) {
    auto head = DecodeHead(reply.value);
    if (!head && is_resolving) return ResolveLater(turn);
    if (!head) {
      return Finish(turn, ResultCode::kInternal, InstalledVersion(turn.plane),
                    head.error().message + "; nothing was changed");
    }
    stored = std::move(*head);
  }
  if (stored) {
    if (const auto done = VersionOfChange(*stored, run.asked.change_id)) {
      if (run.document && *done == run.document->head.version) {
        return FinishAccepted(turn);
      }
      ConsiderHead(turn, reply.value, HeadSource::kStore);
      return Finish(turn, ResultCode::kDone, *done, "accepted before");
    }
  }
  const StoredHead* head = stored ? &*stored : nullptr;
  if (is_resolving) {
    Resolve(turn, head, reply);
  } else {
    Prepare(turn, head, reply);
  }
}

void ReceiveChunkWritten(Turn& turn, const PendingCall& call,
                         const StoreReplied& reply) {
  auto& run = Running(turn);
  --run.writing;
  // A conflict means that these very bytes are there: the key is their digest.
  const bool is_there = reply.code == ResultCode::kDone ||
                        reply.code == ResultCode::kStoreConflict;
  if (!is_there) {
    run.unwritten.push_back(call.digest);
    if (++run.failures >= kMostChunkFailures) {
      return FinishUnchanged(turn, "the store does not take the chunks");
    }
  }
  WriteMoreChunks(turn);
}

void ReceiveHeadWritten(Turn& turn, const StoreReplied& reply) {
  if (reply.code == ResultCode::kDone) return FinishAccepted(turn);
  // Also after a conflict: an earlier write, whose reply was lost, may be what
  // it conflicts with.
  ResolveLater(turn);
  if (reply.code == ResultCode::kStoreConflict)
    Running(turn).retry_at = turn.now;
}

void GiveUp(Turn& turn) {
  switch (Running(turn).stage) {
    case ApplyStage::kWriteHead:
    case ApplyStage::kResolve:
      return Finish(turn, ResultCode::kWriteUnknown,
                    Running(turn).document->head.version,
                    "the store does not say whether the change was accepted; "
                    "repeat it with the same change id");
    case ApplyStage::kCatchUp:
      return FinishUnchanged(turn,
                             "this instance lacks the version that the "
                             "change is based on");
    default:
      return FinishUnchanged(turn, "the store is too slow");
  }
}

void Start(Turn& turn) {
  auto& apply = turn.plane.apply;
  apply.running = RunningApply{std::move(apply.waiting.front())};
  apply.waiting.pop_front();
  apply.running->deadline = turn.now + kPrepareTime;
  ReadKey(turn, Purpose::kApplyReadHead, HeadKey(turn));
}

}  // namespace

void QueueApply(Turn& turn, const ApplyRequested& asked) {
  auto& apply = turn.plane.apply;
  if (apply.waiting.size() >= kMostWaiting) {
    return Answer(turn, asked, ResultCode::kUnavailable,
                  InstalledVersion(turn.plane),
                  "too many changes wait here; nothing was changed");
  }
  apply.waiting.push_back(asked);
  ContinueApply(turn);
}

void ContinueApply(Turn& turn) {
  auto& apply = turn.plane.apply;
  if (apply.running && turn.now >= apply.running->deadline) GiveUp(turn);
  if (!apply.running && !apply.waiting.empty()) Start(turn);
  if (!apply.running) return;
  auto& run = Running(turn);
  if (!run.retry_at || turn.now < *run.retry_at) return;
  run.retry_at.reset();
  ReadKey(turn, Purpose::kApplyReadHead, HeadKey(turn));
}

void ReceiveApplyReply(Turn& turn, const PendingCall& call,
                       const StoreReplied& reply) {
  // Replies to a change that was given up are dropped.
  if (!turn.plane.apply.running) return;
  const auto stage = Running(turn).stage;
  switch (call.purpose) {
    case Purpose::kApplyReadHead:
      return ReceiveHeadRead(turn, reply);
    case Purpose::kApplyWriteChunk:
      if (stage == ApplyStage::kWriteChunks) {
        ReceiveChunkWritten(turn, call, reply);
      }
      return;
    default:
      if (stage == ApplyStage::kWriteHead) ReceiveHeadWritten(turn, reply);
  }
}

}  // namespace ibisladder::controlplane
