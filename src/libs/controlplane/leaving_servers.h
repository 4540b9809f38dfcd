#ifndef LIBS_CONTROLPLANE_LEAVING_SERVERS_H_
#define LIBS_CONTROLPLANE_LEAVING_SERVERS_H_

#include <map>
#include <vector>

#include "libs/controlplane/messages.h"

/// Backend servers that leave: first-hand words (the platform's list, drain
/// answers) and peers' ones, passed on a bounded number of times. A word
/// expires unless it is given again, so that a server that comes back is used.
namespace ibisladder::controlplane {

struct Context;

struct LeavingEntry {
  /// When somebody last saw it leaving, first hand.
  TimePoint seen_at;
  /// Datagrams that still carry it.
  std::uint32_t sends_left = 0;
};

struct LeavingServers {
  std::map<BackendServerId, LeavingEntry> entries;
  /// The set changed since the caller path was last told.
  bool changed = false;
};

/// A first-hand word that `server` is leaving now.
void RecordLeavingServer(Context& context, BackendServerId server);
void MergeLeavingServers(Context& context,
                         const std::vector<wire::LeavingServer>& servers);
/// Words to pass on, at most `limit`; counts as sent.
std::vector<wire::LeavingServer> TakeLeavingServers(Context& context,
                                                    std::size_t limit);
/// Expires old words and tells the caller path the whole set if it changed.
void UpdateLeavingServers(Context& context);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_LEAVING_SERVERS_H_
