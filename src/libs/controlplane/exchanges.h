#ifndef LIBS_CONTROLPLANE_EXCHANGES_H_
#define LIBS_CONTROLPLANE_EXCHANGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/controlplane/messages.h"

/// Pending calls to the platform's store and to peers, each with its purpose
/// and deadline, and the state of the store.
namespace ibisladder::controlplane {

struct Context;

/// Purpose of a call; decides which handler gets the reply.
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
  /// The chunk that is read or written, if any.
  std::uint64_t digest = 0;
};

struct Exchanges {
  std::uint64_t next = 1;
  std::map<ExchangeId, PendingCall> pending;
  /// Unknown until the first reply.
  std::optional<bool> store_up;
  /// Failed calls since the store last answered.
  std::uint32_t store_failures = 0;
  /// Before this time, no calls that no operator waits for: watches and reads
  /// of chunks.
  TimePoint store_retry_at;
};

// Commands. Each of the first four counts as one platform call.

void ReadKey(Context& context, Purpose purpose, const std::string& key,
             std::uint64_t digest = 0);
void WatchKey(Context& context, const std::string& key, Revision known);
void WriteKey(Context& context, Purpose purpose, const std::string& key,
              Revision expected, std::string value, std::uint64_t digest = 0);
void DeleteKey(Context& context, const std::string& key);
/// Requests chunks from a peer, or the head when `chunks` is empty.
void RequestFromPeer(Context& context, Purpose purpose, const Endpoint& peer,
                     std::vector<std::uint64_t> chunks);

/// Removes and returns the call that `exchange` answers; nullopt when it is not
/// pending, for instance after its timeout.
std::optional<PendingCall> TakePending(Context& context, ExchangeId exchange);
/// Returns calls past their deadline. They stay pending until taken.
std::vector<ExchangeId> OverdueCalls(const Context& context);
/// Records whether the store answered, and when it may be called again. An
/// invalid reply counts as no answer.
void UpdateStoreState(Context& context, ResultCode code);

// Queries.

/// Whether watches and reads of chunks may be sent to the store now. Calls for
/// operators' changes do not wait for this.
bool StoreIsDue(const Context& context);
std::string HeadKey(const Context& context);
std::string ChunkKey(const Context& context, std::uint64_t digest);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_EXCHANGES_H_
