#ifndef TOOLS_EXPERIMENT_EMULATOR_H_
#define TOOLS_EXPERIMENT_EMULATOR_H_

#include <cstdint>
#include <vector>

#include "tools/experiment/policy.h"
#include "tools/experiment/scenario.h"

/// Emulates, in virtual time, the backend servers of one service and the entry
/// instances in front of them. Each instance has its own policy.
namespace ibisladder::experiment {

/// Results of one run. Only the measured time counts, without the warm-up.
struct RunResult {
  /// Time from the first answer or stall that the gray failure affected until
  /// the last ordinary request that an instance sent to the failing server
  /// before it first ejected it; the maximum over all instances. An instance
  /// that never ejects the server counts until its last ordinary request to it,
  /// which is nearly the whole measured time.
  Duration detection{};
  /// Whether each instance that used the failing server ejected it.
  bool detected_by_all = false;
  /// Requests sent to the failing server by instances that its failure affects:
  /// ordinary ones, and those sent during probation.
  std::uint64_t failing_server_requests = 0;
  std::uint64_t failing_server_probation_requests = 0;
  /// Periods in which at least one instance had ejected a healthy server. Each
  /// server counts on its own, and an ejection out of probation belongs to the
  /// period before it.
  std::uint64_t false_ejections = 0;
  /// Ejections of healthy servers, summed over all instances.
  std::uint64_t false_instance_ejections = 0;
  double healthy_server_days = 0;
  std::uint64_t calls = 0;
  std::uint64_t good_calls = 0;
  std::uint64_t retries = 0;
  /// Latencies of all calls in milliseconds, also of failed ones.
  std::vector<float> latencies;
};

/// Runs one scenario; deterministic for the same scenario and policy.
RunResult Run(const Scenario& scenario, const PolicyKind& policy);

}  // namespace ibisladder::experiment

#endif  // TOOLS_EXPERIMENT_EMULATOR_H_
