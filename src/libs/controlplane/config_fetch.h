#ifndef LIBS_CONTROLPLANE_CONFIG_FETCH_H_
#define LIBS_CONTROLPLANE_CONFIG_FETCH_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "libs/controlplane/document.h"
#include "libs/controlplane/exchanges.h"
#include "libs/controlplane/messages.h"

/// Follows the highest version heard of: its head and the chunks that are
/// missing come from peers, or from the store when no peer has them. Versions
/// in force only grow.
namespace ibisladder::controlplane {

struct ControlPlane;
struct Context;

enum class HeadSource : std::uint8_t { kStore, kPeer };

struct FetchState {
  /// A newer version, of which chunks are missing.
  std::shared_ptr<Document> candidate;
  std::set<ChunkDigest> missing;
  /// Missing ones that are being read from the store.
  std::set<ChunkDigest> reading;
  bool is_requesting = false;
  TimePoint next_request_at;
  std::uint32_t failures = 0;
  /// Since when a higher version is known than the one in force.
  std::optional<TimePoint> behind_since;
  /// Bytes that may be served to peers now.
  double serve_bytes = 0;
  TimePoint serve_refilled_at;
  TimePoint failure_logged_at;
};

// Commands.

/// A head that may be newer than the installed one.
void ConsiderHead(Context& context, const std::string& bytes,
                  HeadSource source);
/// Asks for what is missing, installs what is complete.
void ContinueFetch(Context& context);
void ReceiveFromPeer(Context& context, const PendingCall& call,
                     const wire::ConfigReplyFrame& frame);
void PeerFetchFailed(Context& context);
void ReceiveChunk(Context& context, const PendingCall& call,
                  const StoreReplied& reply);
/// Answers a peer from the version in force, within a budget of bytes.
void ServeFetch(Context& context, const ConfigFetchRequested& event);
/// Puts a complete document in force, unless it is not newer.
void Install(Context& context, const DocumentPtr& document);

// Queries.

/// The highest version that this instance has or has heard of.
ConfigVersion HighestKnown(const ControlPlane& plane);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_CONFIG_FETCH_H_
