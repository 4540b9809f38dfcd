#ifndef LIBS_CONTROLPLANE_LEAVING_SERVERS_H_
#define LIBS_CONTROLPLANE_LEAVING_SERVERS_H_

#include <map>
#include <vector>

#include "libs/controlplane/messages.h"

/// Backend servers that leave, as seen by this instance (in the platform's list
/// or by a server's answer that says it drains) or reported by peers. Each is
/// passed on a bounded number of times. An entry expires unless it is renewed,
/// so that a server that comes back is used again.
namespace ibisladder::controlplane {

struct Context;

struct LeavingEntry {
  /// When an instance itself saw it leaving; may lag the latest such time by
  /// kMinRenewal.
  TimePoint seen_at;
  /// Number of datagrams that still carry it.
  std::uint32_t sends_left = 0;
};

struct LeavingServers {
  std::map<BackendServerId, LeavingEntry> entries;
  /// The set changed since the last report to the caller path.
  bool changed = false;
};

/// Records that this instance sees `server` leaving now.
void RecordLeavingServer(Context& context, BackendServerId server);
void MergeLeavingServers(Context& context,
                         const std::vector<wire::LeavingServer>& servers);
/// Returns at most `limit` entries to pass on, and counts them as sent.
std::vector<wire::LeavingServer> TakeLeavingServers(Context& context,
                                                    std::size_t limit);
/// Removes expired entries and reports the whole set to the caller path if it
/// changed.
void UpdateLeavingServers(Context& context);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_LEAVING_SERVERS_H_
