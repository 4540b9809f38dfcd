#include "libs/controlplane/config_fetch.h"

#include <algorithm>
#include <utility>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

constexpr std::size_t kChunksPerRequest = 128;
constexpr std::size_t kMaxParallelReads = 16;
constexpr std::uint32_t kFailuresBeforeStore = 3;
/// Minimum delay after a failure; the jittered delay is up to twice as long.
constexpr Duration kRetryDelay = Millis(200);
/// A starting instance first waits for heartbeats of this many peers, or for
/// this time, so that it fetches the highest version among several.
constexpr std::size_t kMinPeersHeard = 3;
constexpr Duration kMaxPeerWait = Seconds(2);
constexpr double kServeBytesPerSecond = 512.0 * 1024;
constexpr double kServeBurst = 8.0 * 1024 * 1024;
constexpr std::size_t kMaxReplyBytes = 4U << 20U;
constexpr Duration kFailureLogInterval = Seconds(10);

void LogFailure(Context& context, const std::string& reason) {
  auto& fetch = context.plane.fetch;
  if (context.now < fetch.failure_logged_at + kFailureLogInterval) return;
  fetch.failure_logged_at = context.now;
  Log(context, LogEvent::kConfigurationFetchFailed,
      {{"version", Text(HighestKnown(context.plane))}, {"reason", reason}});
}

void RecordFailure(Context& context, const std::string& reason) {
  auto& fetch = context.plane.fetch;
  ++fetch.failures;
  fetch.next_request_at =
      context.now + Jittered(kRetryDelay * 2, context.random);
  LogFailure(context, reason);
}

bool WaitsForPeers(const Context& context) {
  const auto& plane = context.plane;
  if (plane.document || context.now - plane.started_at > kMaxPeerWait) {
    return false;
  }
  const auto& members = plane.membership.members;
  const auto heard =
      std::count_if(members.begin(), members.end(),
                    [](const auto& it) { return it.second.direct_at; });
  return static_cast<std::size_t>(heard) < kMinPeersHeard;
}

/// Returns a random peer among those that have the highest version; null if
/// none is ahead of this instance.
const Member* ChooseHolder(Context& context) {
  auto best = InstalledVersion(context.plane);
  if (context.plane.membership.highest_version <= best) return nullptr;
  std::vector<const Member*> holders;
  for (const auto& [_, member] : context.plane.membership.members) {
    if (!IsUp(member) || member.version < best) continue;
    if (member.version > best) holders.clear();
    best = member.version;
    holders.push_back(&member);
  }
  if (holders.empty() || best == InstalledVersion(context.plane))
    return nullptr;
  return holders[UniformBelow(context.random, holders.size())];
}

void RequestFromHolder(Context& context) {
  auto& fetch = context.plane.fetch;
  if (fetch.is_requesting || context.now < fetch.next_request_at) return;
  const Member* holder = ChooseHolder(context);
  if (holder == nullptr) return;
  fetch.is_requesting = true;
  const bool has_head =
      fetch.candidate && fetch.candidate->head.version >= holder->version;
  std::vector<ChunkDigest> chunks;
  for (const auto it : fetch.missing) {
    if (!has_head || chunks.size() == kChunksPerRequest) break;
    chunks.push_back(it);
  }
  RequestFromPeer(
      context,
      has_head ? Purpose::kFetchChunksFromPeer : Purpose::kFetchHeadFromPeer,
      holder->latest.peer_endpoint, std::move(chunks));
}

/// Reads missing chunks from the store when no peer can serve them: readers at
/// once, other instances after `store_read_delay`.
void ReadMissingFromStore(Context& context) {
  auto& fetch = context.plane.fetch;
  if (!fetch.candidate || !MayReadStore(context) || !StoreIsDue(context))
    return;
  const bool peers_can_help =
      ChooseHolder(context) != nullptr && fetch.failures < kFailuresBeforeStore;
  if (peers_can_help) return;
  for (const auto it : fetch.missing) {
    if (fetch.reading.size() >= kMaxParallelReads) break;
    if (!fetch.reading.insert(it).second) continue;
    ReadKey(context, Purpose::kFetchChunkFromStore, ChunkKey(context, it), it);
  }
}

/// Drops a head that cannot be completed, and has the store's head read again.
void DropCandidate(Context& context) {
  auto& fetch = context.plane.fetch;
  fetch.candidate.reset();
  fetch.missing.clear();
  context.plane.watch.revision = Revision();
}

void InstallIfComplete(Context& context) {
  auto& fetch = context.plane.fetch;
  if (!fetch.candidate || !fetch.missing.empty()) return;
  Install(context, fetch.candidate);
}

bool AddChunk(Context& context, ChunkDigest digest, const std::string& bytes) {
  auto& fetch = context.plane.fetch;
  if (!fetch.candidate || DigestOf(bytes) != digest) return false;
  if (fetch.missing.erase(digest) == 0) return false;
  fetch.candidate->chunks[digest] = std::make_shared<std::string>(bytes);
  return true;
}

void UpdateBehind(Context& context) {
  auto& plane = context.plane;
  const bool behind = HighestKnown(plane) > InstalledVersion(plane);
  if (!behind) {
    plane.fetch.behind_since.reset();
  } else if (!plane.fetch.behind_since) {
    plane.fetch.behind_since = context.now;
  }
}

void LogStoreMismatch(Context& context, const StoredHead& head,
                      const std::string& bytes) {
  const auto installed = InstalledVersion(context.plane);
  const bool is_same =
      head.version == installed && bytes == context.plane.document->head_bytes;
  if (is_same) return;
  Log(context, LogEvent::kChangeConflict,
      {{"store_version", Text(head.version)},
       {"version", Text(installed)},
       {"reason", head.version < installed
                      ? "the store holds an older version; it is ignored"
                      : "the store holds different content for this version; "
                        "it is ignored"}});
}

void AddServedChunks(const Document& document,
                     const std::vector<ChunkDigest>& wanted,
                     wire::ConfigReplyFrame& reply) {
  std::size_t n = 0;
  for (const auto digest : wanted) {
    const auto it = document.chunks.find(digest);
    if (it == document.chunks.end()) continue;
    n += it->second->size();
    if (n > kMaxReplyBytes) break;
    reply.chunks.push_back({digest, *it->second});
  }
}

std::size_t SizeOf(const wire::ConfigReplyFrame& reply) {
  std::size_t n = reply.head.size();
  for (const auto& it : reply.chunks) n += it.bytes.size();
  return n;
}

/// Refills the budget and returns whether a reply may be sent. The reply is
/// charged afterwards, so that the budget may fall below zero.
bool MayServe(Context& context) {
  auto& fetch = context.plane.fetch;
  const double elapsed = ToSeconds(context.now - fetch.serve_refilled_at);
  fetch.serve_refilled_at = context.now;
  fetch.serve_bytes =
      std::min(kServeBurst, fetch.serve_bytes + elapsed * kServeBytesPerSecond);
  return fetch.serve_bytes > 0;
}

}  // namespace

void ConsiderHead(Context& context, const std::string& bytes,
                  HeadSource source) {
  auto& fetch = context.plane.fetch;
  auto head = DecodeHead(bytes);
  if (!head) return RecordFailure(context, head.error().message);
  if (head->version <= InstalledVersion(context.plane)) {
    if (source == HeadSource::kStore) LogStoreMismatch(context, *head, bytes);
    return;
  }
  if (fetch.candidate && fetch.candidate->head.version >= head->version) return;
  auto candidate = std::make_shared<Document>();
  fetch.missing.clear();
  for (const auto digest : ChunksOf(*head)) {
    fetch.missing.insert(digest);
    for (const Document* from :
         {context.plane.document.get(),
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

void ContinueFetch(Context& context) {
  UpdateBehind(context);
  if (WaitsForPeers(context)) return;
  InstallIfComplete(context);
  const auto& fetch = context.plane.fetch;
  if (!fetch.behind_since) return;
  RequestFromHolder(context);
  ReadMissingFromStore(context);
}

void ReceiveFromPeer(Context& context, const PendingCall& call,
                     const wire::ConfigReplyFrame& frame) {
  auto& fetch = context.plane.fetch;
  fetch.is_requesting = false;
  if (call.purpose == Purpose::kFetchHeadFromPeer) {
    if (frame.head.empty()) {
      return RecordFailure(context,
                           "the peer sent no head: it has none, or its budget "
                           "of bytes is used up");
    }
    ConsiderHead(context, frame.head, HeadSource::kPeer);
  } else {
    bool progress = false;
    for (const auto& it : frame.chunks) {
      progress = AddChunk(context, it.digest, it.bytes) || progress;
    }
    if (!progress && !fetch.missing.empty()) {
      RecordFailure(context, "the peer sent none of the missing chunks");
    }
  }
  ContinueFetch(context);
}

void PeerFetchFailed(Context& context) {
  context.plane.fetch.is_requesting = false;
  RecordFailure(context, "the peer did not answer");
}

void ReceiveChunk(Context& context, const PendingCall& call,
                  const StoreReplied& reply) {
  auto& fetch = context.plane.fetch;
  fetch.reading.erase(call.digest);
  if (!fetch.missing.contains(call.digest)) return;
  if (reply.code == ResultCode::kDone &&
      AddChunk(context, call.digest, reply.value)) {
    return ContinueFetch(context);
  }
  const bool is_answer = reply.code == ResultCode::kDone ||
                         reply.code == ResultCode::kStoreNotFound;
  if (!is_answer) return;
  RecordFailure(context,
                "a chunk is missing in the store or does not match its digest");
  DropCandidate(context);
}

void ServeFetch(Context& context, const ConfigFetchRequested& event) {
  auto& plane = context.plane;
  wire::ConfigReplyFrame reply;
  reply.sender = {plane.fleet, plane.settings.instance,
                  plane.settings.incarnation, plane.membership.sequence};
  reply.exchange = event.frame.exchange;
  reply.version = InstalledVersion(plane);
  if (plane.document && MayServe(context)) {
    if (event.frame.chunks.empty()) {
      reply.head = plane.document->head_bytes;
    } else {
      AddServedChunks(*plane.document, event.frame.chunks, reply);
    }
    plane.fetch.serve_bytes -= static_cast<double>(SizeOf(reply));
    plane.counters.bytes_sent += SizeOf(reply);
  }
  context.actions.push_back(AnswerFetch{event.exchange, std::move(reply)});
}

void Install(Context& context, const DocumentPtr& document) {
  auto& plane = context.plane;
  const auto version = document->head.version;
  if (version <= InstalledVersion(plane)) return;
  auto items = ReadDocument(*document);
  if (!items) {
    RecordFailure(context, items.error().message);
    return DropCandidate(context);
  }
  plane.document = document;
  if (plane.fetch.candidate && plane.fetch.candidate->head.version <= version) {
    plane.fetch.candidate.reset();
    plane.fetch.missing.clear();
  }
  plane.fetch.failures = 0;
  UpdateBehind(context);
  context.actions.push_back(
      InstallConfiguration{declarations::Compile(version, std::move(*items))});
  Log(context, LogEvent::kConfigurationInstalled,
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
