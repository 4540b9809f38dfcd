#include "libs/gateway/path_state.h"

#include <algorithm>

namespace ibisladder::gateway {
namespace {

/// Failures at so many servers in a row, without an answer of any, put the path
/// in doubt. One server may fail by itself.
constexpr std::size_t kDoubtfulServers = 2;
/// Connections that are opened to tell a lost path from failing servers.
constexpr std::size_t kTestedServers = 3;
constexpr Duration kTestInterval = Millis(250);

}  // namespace

void RecordPathAnswer(PathState& path, TimePoint now) {
  path.answered_at = now;
  path.failed.clear();
}

void RecordPathFailure(PathState& path, BackendServerId server) {
  path.failed.insert(server);
}

void SuspectPath(PathState& path, TimePoint now) {
  if (path.lost_since) return;
  path.is_suspected = true;
  if (path.testing.empty()) path.next_test_at = now;
}

void StartPathTest(PathState& path, const std::set<BackendServerId>& servers,
                   bool is_full_round, TimePoint now) {
  path.testing = servers;
  path.is_full_round = is_full_round;
  path.is_suspected = false;
  path.is_wanted = false;
  path.next_test_at = now + kTestInterval;
}

PathChange EndPathTest(PathState& path, BackendServerId server, bool is_open,
                       TimePoint now) {
  if (path.testing.erase(server) == 0) return PathChange::kNone;
  if (is_open) {
    path.testing.clear();
    path.failed.clear();
    const bool was_lost = path.lost_since.has_value();
    path.lost_since.reset();
    return was_lost ? PathChange::kRestored : PathChange::kNone;
  }
  const bool is_lost =
      path.testing.empty() && path.is_full_round && !path.lost_since;
  if (!is_lost) return PathChange::kNone;
  path.lost_since = now;
  return PathChange::kLost;
}

bool IsPathTestDue(const PathState& path, std::size_t servers, TimePoint now) {
  if (servers == 0 || !path.testing.empty() || now < path.next_test_at) {
    return false;
  }
  if (path.lost_since) return path.is_wanted;
  return path.is_suspected || IsPathDoubtful(path) ||
         path.failed.size() >= servers;
}

std::size_t PathTestSize(const PathState& path, std::size_t servers) {
  return path.lost_since ? 1 : std::min(servers, kTestedServers);
}

bool IsPathDoubtful(const PathState& path) {
  return path.lost_since || path.failed.size() >= kDoubtfulServers;
}

}  // namespace ibisladder::gateway
