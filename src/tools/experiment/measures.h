#ifndef TOOLS_EXPERIMENT_MEASURES_H_
#define TOOLS_EXPERIMENT_MEASURES_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tools/experiment/emulator.h"

/// Results of detection over many runs, as tables and as JSON.
namespace ibisladder::experiment {

struct MeasureSettings {
  std::uint64_t seed = 1;
  int threads = 4;
  int instances = 36;
  /// Runs of each service, failure and policy for the table and for the curve.
  int runs = 8;
  int curve_runs = 4;
  /// Measured time without failures, for each service and condition.
  Duration healthy_time = Seconds(3600);
  /// Whether the curve has fewer points.
  bool is_quick = false;
};

/// Detection of one kind of failure by one policy, for one user's services.
struct DetectionRow {
  std::string user;
  std::string failure;
  std::string policy;
  int runs = 0;
  /// Runs in which each instance that used the failing server ejected it.
  int detected_by_all = 0;
  double median_s = 0;
  double p95_s = 0;
  double worst_s = 0;
  /// Means per run.
  double failing_server_requests = 0;
  double failing_server_probation_requests = 0;
  double success_percent = 0;
  double p99_ms = 0;
  double retries_per_100 = 0;
};

/// False ejections of one policy under one condition; see RunResult.
struct FalseEjectionRow {
  std::string condition;
  std::string policy;
  double server_days = 0;
  std::size_t ejections = 0;
  std::size_t instance_ejections = 0;
  double per_server_day = 0;
};

/// Results of one policy over all services, failures and conditions.
struct CurvePoint {
  std::string policy;
  double false_per_server_day = 0;
  /// The same, but each ejection counts as the fraction of instances that made
  /// it.
  double weighted_per_server_day = 0;
  double median_s = 0;
  double p95_s = 0;
  double mean_s = 0;
};

struct Measures {
  std::vector<DetectionRow> detection;
  std::vector<FalseEjectionRow> false_ejections;
  std::vector<CurvePoint> curve;
};

/// Runs all scenarios; the results depend on `settings` only.
Measures Measure(const MeasureSettings& settings);

std::string FormatTable(const Measures& measures);
nlohmann::json ToJson(const Measures& measures);

}  // namespace ibisladder::experiment

#endif  // TOOLS_EXPERIMENT_MEASURES_H_
