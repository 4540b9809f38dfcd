#ifndef LIBS_CALLERPATH_CALLER_PATH_H_
#define LIBS_CALLERPATH_CALLER_PATH_H_

#include <memory>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/callerpath/messages.h"

/// The caller path of one instance: calls, request records, relay, retries,
/// detection and routing, without sockets, threads or clocks.
namespace ibisladder::callerpath {

struct CallerPathSettings {
  InstanceId instance;
  Incarnation incarnation;
  ZoneName zone;
  Endpoint caller_endpoint;
  Duration era_length = Seconds(5);
  /// Number of eras before the current one under which a new id is accepted. A
  /// configuration that needs more raises it.
  std::uint32_t accepted_eras = 12;
  /// Maximum number of records of accepted ids; new at-most-once requests are
  /// refused beyond it. A quarter as many refused ids are recorded in addition.
  std::size_t max_records = 200000;
  /// Maximum total size of the answers that are kept with records, in bytes;
  /// the oldest answers are dropped beyond it, their records stay.
  std::size_t max_record_bytes = 64U << 20U;
};

struct CallerPath;
struct CallerPathDeleter {
  void operator()(CallerPath* path) const;
};
using CallerPathPtr = std::unique_ptr<CallerPath, CallerPathDeleter>;

CallerPathPtr MakeCallerPath(const CallerPathSettings& settings, TimePoint now);

/// Handles `event`. The task that calls Step must carry out the returned
/// actions.
Actions Step(CallerPath& path, const Event& event, TimePoint now,
             Random& random);

// Queries.

/// Returns the era of tickets issued at `now`.
Era CurrentEra(const CallerPath& path, TimePoint now);

/// State of a backend server, for operators.
struct ServerStatus {
  std::string service;
  std::string server;
  ZoneName zone;
  /// "healthy", "ejected", "probation", "last-resort", "leaving", "drained";
  /// "healthy" also for a server outside this instance's subset.
  std::string state;
  std::string reason;
  /// Open attempts of this instance.
  std::uint32_t in_flight = 0;
  /// Score of the detector; above 0 means unhealthy.
  double score = 0;
};

/// Counters since the start of the process; docs/METRICS.md describes the
/// metrics.
struct Counters {
  /// Without outcome requests.
  std::uint64_t calls = 0;
  /// Answers to calls and outcome requests, by outcome.
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t attempts = 0;
  /// Decisions to retry; the router may still queue or refuse the new attempt.
  std::uint64_t retries = 0;
  /// Calls and outcome requests that were sent to their home.
  std::uint64_t relayed = 0;
  /// Repeated ids, joined to an execution or answered from the record.
  std::uint64_t joined = 0;
  /// Answers that were corrupt, truncated or too large.
  std::uint64_t rejected_answers = 0;
  /// Answers to attempts and relayed calls that had ended.
  std::uint64_t late_answers = 0;
  std::uint64_t ejections = 0;
};

struct PathStatus {
  /// Version of the installed configuration.
  ConfigVersion version;
  bool stopping = false;
  /// Records of accepted and refused ids.
  std::size_t records = 0;
  /// Total size of kept answers.
  std::size_t record_bytes = 0;
  /// Open attempts at backend servers.
  std::size_t in_flight = 0;
  /// Executions that wait for a server.
  std::size_t queued = 0;
  Counters counters;
  std::vector<ServerStatus> servers;
};

PathStatus StatusOf(const CallerPath& path, TimePoint now);

}  // namespace ibisladder::callerpath

#endif  // LIBS_CALLERPATH_CALLER_PATH_H_
