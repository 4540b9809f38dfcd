#ifndef LIBS_CONTROLPLANE_EXCHANGES_H_
#define LIBS_CONTROLPLANE_EXCHANGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/controlplane/messages.h"

/// Calls to the platform's store and to peers that wait for their replies,
/// each with its purpose and its timeout, and the store's health.
namespace ibisladder::controlplane {

struct Context;

/// What a call is for: who gets its reply.
enum class Purpose : std::uint8_t {
  kWatchHead,
  kFetchHeadFromPeer,
  kFetchChunksFromPeer,
  kFetchChunkFromStore,
  kApplyReadHead,
  kApplyWriteChunk,
  kApplyWriteHead,
  kDeleteChunk,
};

struct PendingCall {
  Purpose purpose = Purpose::kWatchHead;
  TimePoint deadline;
  /// The chunk, for those that move one.
  std::uint64_t digest = 0;
};

struct Exchanges {
  std::uint64_t next = 1;
  std::map<ExchangeId, PendingCall> pending;
  /// Unknown until the first reply.
  std::optional<bool> store_up;
  std::uint32_t store_failures = 0;
  /// Background calls wait until then.
  TimePoint store_retry_at;
};

// Commands; each counts as one platform call, but for a peer's.

void ReadKey(Context& context, Purpose purpose, const std::string& key,
             std::uint64_t digest = 0);
void WatchKey(Context& context, const std::string& key, Revision known);
void WriteKey(Context& context, Purpose purpose, const std::string& key,
              Revision expected, std::string value, std::uint64_t digest = 0);
void DeleteKey(Context& context, const std::string& key);
void RequestFromPeer(Context& context, Purpose purpose, const Endpoint& peer,
                     std::vector<std::uint64_t> chunks);

/// Takes the call that `exchange` answers; none when it has timed out.
std::optional<PendingCall> TakePending(Context& context, ExchangeId exchange);
/// Calls whose time is over; they stay pending until taken.
std::vector<ExchangeId> OverdueCalls(const Context& context);
/// Notes whether the store answered.
void UpdateStoreState(Context& context, ResultCode code);

// Queries.

/// Whether background calls to the store may be made now.
bool StoreIsDue(const Context& context);
std::string HeadKey(const Context& context);
std::string ChunkKey(const Context& context, std::uint64_t digest);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_EXCHANGES_H_
