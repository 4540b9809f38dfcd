#ifndef LIBS_GATEWAY_PATH_STATE_H_
#define LIBS_GATEWAY_PATH_STATE_H_

#include <cstddef>
#include <optional>
#include <set>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// Whether this instance reaches the servers of a service at all. If it does
/// not, its own link is the likely fault, and its failures say nothing about
/// the servers.
namespace ibisladder::gateway {

struct PathState {
  /// Servers at which attempts failed without an answer since the last answer
  /// of any server of the service.
  std::set<BackendServerId> failed;
  /// When a server last answered.
  TimePoint answered_at;
  /// Servers to which a connection is being opened as a test.
  std::set<BackendServerId> testing;
  /// Whether the tests of this round are enough to call the path lost.
  bool is_full_round = false;
  /// The path to another service was lost, which may be the same fault.
  bool is_suspected = false;
  TimePoint next_test_at;
  /// A request has come for the service since the last test.
  bool is_wanted = false;
  /// Set while no server is reached.
  std::optional<TimePoint> lost_since;
};

enum class PathChange : std::uint8_t { kNone, kLost, kRestored };

// Commands.

void RecordPathAnswer(PathState& path, TimePoint now);
void RecordPathFailure(PathState& path, BackendServerId server);
/// Demands a test, although this service shows no failures.
void SuspectPath(PathState& path, TimePoint now);
/// Records that connections to these servers are being opened. `is_full_round`:
/// the path is lost if none of them opens.
void StartPathTest(PathState& path, const std::set<BackendServerId>& servers,
                   bool is_full_round, TimePoint now);
/// Records the result of a test. Unknown servers are ignored.
PathChange EndPathTest(PathState& path, BackendServerId server, bool is_open,
                       TimePoint now);

// Queries.

/// `servers`: number of the service's servers that may get requests. A lost
/// path is tested only while requests come for it.
bool IsPathTestDue(const PathState& path, std::size_t servers, TimePoint now);
/// Returns how many servers to test at once.
std::size_t PathTestSize(const PathState& path, std::size_t servers);
/// Whether failures without an answer may be the fault of this instance's link.
bool IsPathDoubtful(const PathState& path);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_PATH_STATE_H_
