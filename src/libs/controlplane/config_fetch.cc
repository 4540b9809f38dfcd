#include "libs/controlplane/config_fetch.h"

#include <algorithm>
#include <utility>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

constexpr std::size_t kChunksPerAsk = 128;
constexpr std::size_t kStoreReadsAtOnce = 16;
constexpr std::uint32_t kFailuresBeforeStore = 3;
constexpr Duration kRetryDelay = Millis(200);
/// A starting instance first listens to this many peers, or for this time,
/// so that it takes the highest version of several.
constexpr std::size_t kPeersBeforeFirst = 3;
constexpr Duration kListenBeforeFirst = Seconds(2);
constexpr double kServeBytesPerSecond = 512.0 * 1024;
constexpr double kServeBurst = 8.0 * 1024 * 1024;
constexpr std::size_t kMostReplyBytes = 4U << 20U;
constexpr Duration kFailureLogInterval = Seconds(10);

void LogFailure(Turn& turn, const std::string& reason) {
  auto& fetch = turn.plane.fetch;
  if (turn.now < fetch.failure_logged_at + kFailureLogInterval) return;
  fetch.failure_logged_at = turn.now;
  Log(turn, LogEvent::kConfigurationFetchFailed,
      {{"version", Text(HighestKnown(turn.plane))}, {"reason", reason}});
}

void NoteFailure(Turn& turn, const std::string& reason) {
  auto& fetch = turn.plane.fetch;
  ++fetch.failures;
  fetch.next_ask = turn.now + Jittered(kRetryDelay * 2, turn.random);
  LogFailure(turn, reason);
}

bool ListensFirst(const Turn& turn) {
  const auto& plane = turn.plane;
  if (plane.document || turn.now - plane.started_at > kListenBeforeFirst) {
    return false;
  }
  const auto& members = plane.membership.members;
  const auto heard =
      std::count_if(members.begin(), members.end(),
                    [](const auto& it) { return it.second.direct_at; });
  return static_cast<std::size_t>(heard) < kPeersBeforeFirst;
}

/// A random peer of those that have the highest version; null if none is
/// ahead of this instance.
const Member* ChooseHolder(Turn& turn) {
  auto best = InstalledVersion(turn.plane);
  if (turn.plane.membership.highest_version <= best) return nullptr;
  std::vector<const Member*> holders;
  for (const auto& [_, member] : turn.plane.membership.members) {
    if (!IsUp(member) || member.version < best) continue;
    if (member.version > best) holders.clear();
    best = member.version;
    holders.push_back(&member);
  }
  if (holders.empty() || best == InstalledVersion(turn.plane)) return nullptr;
  return holders[UniformBelow(turn.random, holders.size())];
}

void AskHolder(Turn& turn) {
  auto& fetch = turn.plane.fetch;
  if (fetch.is_asking || turn.now < fetch.next_ask) return;
  const Member* holder = ChooseHolder(turn);
  if (holder == nullptr) return;
  fetch.is_asking = true;
  const bool has_head =
      fetch.candidate && fetch.candidate->head.version >= holder->version;
  std::vector<ChunkDigest> chunks;
  for (const auto it : fetch.missing) {
    if (!has_head || chunks.size() == kChunksPerAsk) break;
    chunks.push_back(it);
  }
  AskPeer(
      turn,
      has_head ? Purpose::kFetchChunksFromPeer : Purpose::kFetchHeadFromPeer,
      holder->news.peer_endpoint, std::move(chunks));
}

/// Readers at once when no peer can help, others after their patience.
void ReadMissingFromStore(Turn& turn) {
  auto& fetch = turn.plane.fetch;
  if (!fetch.candidate || !MayReadStore(turn) || !StoreIsDue(turn)) return;
  const bool peers_help =
      ChooseHolder(turn) != nullptr && fetch.failures < kFailuresBeforeStore;
  if (peers_help) return;
  for (const auto it : fetch.missing) {
    if (fetch.reading.size() >= kStoreReadsAtOnce) break;
    if (!fetch.reading.insert(it).second) continue;
    ReadKey(turn, Purpose::kFetchChunkFromStore, ChunkKey(turn, it), it);
  }
}

/// Drops a head that cannot be completed; the store's is read anew.
void DropCandidate(Turn& turn) {
  auto& fetch = turn.plane.fetch;
  fetch.candidate.reset();
  fetch.missing.clear();
  turn.plane.watch.revision = Revision();
}

void InstallIfComplete(Turn& turn) {
  auto& fetch = turn.plane.fetch;
  if (!fetch.candidate || !fetch.missing.empty()) return;
  Install(turn, fetch.candidate);
}

bool AddChunk(Turn& turn, ChunkDigest digest, const std::string& bytes) {
  auto& fetch = turn.plane.fetch;
  if (!fetch.candidate || DigestOf(bytes) != digest) return false;
  if (fetch.missing.erase(digest) == 0) return false;
  fetch.candidate->chunks[digest] = std::make_shared<std::string>(bytes);
  return true;
}

void UpdateBehind(Turn& turn) {
  auto& plane = turn.plane;
  const bool behind = HighestKnown(plane) > InstalledVersion(plane);
  if (!behind) {
    plane.fetch.behind_since.reset();
  } else if (!plane.fetch.behind_since) {
    plane.fetch.behind_since = turn.now;
  }
}

void LogOldStore(Turn& turn, const StoredHead& head, const std::string& bytes) {
  const auto installed = InstalledVersion(turn.plane);
  const bool is_same =
      head.version == installed && bytes == turn.plane.document->head_bytes;
  if (is_same) return;
  Log(turn, LogEvent::kChangeConflict,
      {{"store_version", Text(head.version)},
       {"version", Text(installed)},
       {"reason", head.version < installed
                      ? "the store holds an older version, which is not taken"
                      : "the store holds another content of this version"}});
}

void AddServedChunks(const Document& document,
                     const std::vector<ChunkDigest>& wanted,
                     wire::ConfigReplyFrame& reply) {
  std::size_t n = 0;
  for (const auto digest : wanted) {
    const auto it = document.chunks.find(digest);
    if (it == document.chunks.end()) continue;
    n += it->second->size();
    if (n > kMostReplyBytes) break;
    reply.chunks.push_back({digest, *it->second});
  }
}

std::size_t SizeOf(const wire::ConfigReplyFrame& reply) {
  std::size_t n = reply.head.size();
  for (const auto& it : reply.chunks) n += it.bytes.size();
  return n;
}

/// Takes `n` bytes from the budget, which may go below zero once.
bool MayServe(Turn& turn) {
  auto& fetch = turn.plane.fetch;
  const double elapsed = ToSeconds(turn.now - fetch.serve_refilled_at);
  fetch.serve_refilled_at = turn.now;
  fetch.serve_bytes =
      std::min(kServeBurst, fetch.serve_bytes + elapsed * kServeBytesPerSecond);
  return fetch.serve_bytes > 0;
}

}  // namespace

void ConsiderHead(Turn& turn, const std::string& bytes, HeadSource source) {
  auto& fetch = turn.plane.fetch;
  auto head = DecodeHead(bytes);
  if (!head) return NoteFailure(turn, head.error().message);
  if (head->version <= InstalledVersion(turn.plane)) {
    if (source == HeadSource::kStore) LogOldStore(turn, *head, bytes);
    return;
  }
  if (fetch.candidate && fetch.candidate->head.version >= head->version) return;
  auto candidate = std::make_shared<Document>();
  fetch.missing.clear();
  for (const auto digest : ChunksOf(*head)) {
    fetch.missing.insert(digest);
    for (const Document* from :
         {turn.plane.document.get(),
          static_cast<const Document*>(fetch.candidate.get())}) {
      if (from == nullptr) continue;
      const auto it = from->chunks.find(digest);
      if (it == from->chunks.end()) continue;
      candidate->chunks[digest] = it->second;
      fetch.missing.erase(digest);
      break;
    }
  }
  candidate->head = std::move(*head);
  candidate->head_bytes = bytes;
  fetch.candidate = std::move(candidate);
  fetch.failures = 0;
}

void ContinueFetch(Turn& turn) {
  UpdateBehind(turn);
  if (ListensFirst(turn)) return;
  InstallIfComplete(turn);
  const auto& fetch = turn.plane.fetch;
  if (!fetch.behind_since) return;
  AskHolder(turn);
  ReadMissingFromStore(turn);
}

void ReceiveFromPeer(Turn& turn, const PendingCall& call,
                     const wire::ConfigReplyFrame& frame) {
  auto& fetch = turn.plane.fetch;
  fetch.is_asking = false;
  if (call.purpose == Purpose::kFetchHeadFromPeer) {
    if (frame.head.empty()) {
      return NoteFailure(turn, "the peer has no head to give now");
    }
    ConsiderHead(turn, frame.head, HeadSource::kPeer);
  } else {
    bool progress = false;
    for (const auto& it : frame.chunks) {
      progress = AddChunk(turn, it.digest, it.bytes) || progress;
    }
    if (!progress && !fetch.missing.empty()) {
      NoteFailure(turn, "the peer gave no chunk that is missing");
    }
  }
  ContinueFetch(turn);
}

void PeerFetchFailed(Turn& turn) {
  turn.plane.fetch.is_asking = false;
  NoteFailure(turn, "the peer did not answer");
}

void ReceiveChunk(Turn& turn, const PendingCall& call,
                  const StoreReplied& reply) {
  auto& fetch = turn.plane.fetch;
  fetch.reading.erase(call.digest);
  if (!fetch.missing.contains(call.digest)) return;
  if (reply.code == ResultCode::kDone &&
      AddChunk(turn, call.digest, reply.value)) {
    return ContinueFetch(turn);
  }
  const bool is_answer = reply.code == ResultCode::kDone ||
                         reply.code == ResultCode::kStoreNotFound;
  if (!is_answer) return;
  NoteFailure(turn, "the store has no such chunk");
  DropCandidate(turn);
}

void ServeFetch(Turn& turn, const ConfigFetchRequested& event) {
  auto& plane = turn.plane;
  wire::ConfigReplyFrame reply;
  reply.sender = {plane.fleet, plane.settings.instance,
                  plane.settings.incarnation, plane.membership.sequence};
  reply.exchange = event.frame.exchange;
  reply.version = InstalledVersion(plane);
  if (plane.document && MayServe(turn)) {
    if (event.frame.chunks.empty()) {
      reply.head = plane.document->head_bytes;
    } else {
      AddServedChunks(*plane.document, event.frame.chunks, reply);
    }
    plane.fetch.serve_bytes -= static_cast<double>(SizeOf(reply));
    plane.counters.bytes_sent += SizeOf(reply);
  }
  turn.actions.push_back(AnswerFetch{event.exchange, std::move(reply)});
}

void Install(Turn& turn, const DocumentPtr& document) {
  auto& plane = turn.plane;
  const auto version = document->head.version;
  if (version <= InstalledVersion(plane)) return;
  auto items = ReadDocument(*document);
  if (!items) {
    NoteFailure(turn, items.error().message);
    return DropCandidate(turn);
  }
  plane.document = document;
  if (plane.fetch.candidate && plane.fetch.candidate->head.version <= version) {
    plane.fetch.candidate.reset();
    plane.fetch.missing.clear();
  }
  plane.fetch.failures = 0;
  UpdateBehind(turn);
  turn.actions.push_back(
      InstallConfiguration{declarations::Compile(version, std::move(*items))});
  Log(turn, LogEvent::kConfigurationInstalled,
      {{"version", Text(version)}, {"writer", Text(document->head.writer)}});
}

ConfigVersion HighestKnown(const ControlPlane& plane) {
  auto highest = InstalledVersion(plane);
  if (plane.fetch.candidate) {
    highest = std::max(highest, plane.fetch.candidate->head.version);
  }
  return std::max(highest, plane.membership.highest_version);
}

}  // namespace ibisladder::controlplane
