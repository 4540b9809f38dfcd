#ifndef LIBS_CONTROLPLANE_CONFIG_FETCH_H_
#define LIBS_CONTROLPLANE_CONFIG_FETCH_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "libs/controlplane/document.h"
#include "libs/controlplane/exchanges.h"
#include "libs/controlplane/messages.h"

/// Fetches the highest known version. Its head comes from a peer or from the
/// store's watch; missing chunks come from peers, or from the store when no
/// peer can serve them. The installed version only grows.
namespace ibisladder::controlplane {

struct ControlPlane;
struct Context;

enum class HeadSource : std::uint8_t { kStore, kPeer };

struct FetchState {
  /// A newer version that may lack chunks.
  std::shared_ptr<Document> candidate;
  std::set<ChunkDigest> missing;
  /// Missing chunks that are being read from the store.
  std::set<ChunkDigest> reading;
  bool is_requesting = false;
  TimePoint next_request_at;
  /// Failures since the last new candidate or installation.
  std::uint32_t failures = 0;
  /// Since when a higher version than the installed one is known.
  std::optional<TimePoint> behind_since;
  /// Bytes that may be served to peers now; below 0 after a reply that was
  /// larger than the rest of the budget.
  double serve_bytes = 0;
  TimePoint serve_refilled_at;
  TimePoint failure_logged_at;
};

// Commands.

/// Makes the head the candidate if it is newer than the installed version and
/// the candidate. Logs an older head of the store, or one with other content
/// for the installed version.
void ConsiderHead(Context& context, const std::string& bytes,
                  HeadSource source);
/// Installs the candidate if it is complete, or requests what is missing.
void ContinueFetch(Context& context);
void ReceiveFromPeer(Context& context, const PendingCall& call,
                     const wire::ConfigReplyFrame& frame);
void PeerFetchFailed(Context& context);
void ReceiveChunk(Context& context, const PendingCall& call,
                  const StoreReplied& reply);
/// Answers a peer from the installed version, within a budget of bytes.
void ServeFetch(Context& context, const ConfigFetchRequested& event);
/// Installs a complete document if it is newer than the installed one.
void Install(Context& context, const DocumentPtr& document);

// Queries.

/// The highest version that this instance has installed, is fetching or has
/// seen announced by a member.
ConfigVersion HighestKnown(const ControlPlane& plane);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_CONFIG_FETCH_H_
