#ifndef TOOLS_EXPERIMENT_EMULATOR_H_
#define TOOLS_EXPERIMENT_EMULATOR_H_

#include <cstdint>
#include <vector>

#include "tools/experiment/policy.h"
#include "tools/experiment/scenario.h"

/// A small emulator, in virtual time, of one service's backend servers and of
/// the entry instances before it, each with a policy of its own.
namespace ibisladder::experiment {

/// What one run showed, over the measured time only.
struct RunResult {
  /// From the first bad answer or stall until the last ordinary request that
  /// an instance sent before its first ejection of the sick server; the
  /// longest over all instances. The whole measured time when one never did.
  Duration detection{};
  bool detected_by_all = false;
  /// Requests sent to the sick server: ordinary, and on probation.
  std::uint64_t failing_server_requests = 0;
  std::uint64_t failing_server_probation_requests = 0;
  /// Spans in which at least one instance had a healthy server ejected.
  std::uint64_t false_ejections = 0;
  /// Ejections of healthy servers, summed over instances.
  std::uint64_t false_instance_ejections = 0;
  double healthy_server_days = 0;
  std::uint64_t calls = 0;
  std::uint64_t good_calls = 0;
  std::uint64_t retries = 0;
  /// Latency of every call, milliseconds; a failed one counts its time too.
  std::vector<float> latencies;
};

RunResult Run(const Scenario& scenario, const PolicyKind& policy);

}  // namespace ibisladder::experiment

#endif  // TOOLS_EXPERIMENT_EMULATOR_H_
