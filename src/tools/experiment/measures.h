#ifndef TOOLS_EXPERIMENT_MEASURES_H_
#define TOOLS_EXPERIMENT_MEASURES_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tools/experiment/emulator.h"

/// The measures of detection over many runs, as one table.
namespace ibisladder::experiment {

struct MeasureSettings {
  std::uint64_t seed = 1;
  int threads = 4;
  int instances = 36;
  /// Runs of each service and failure, in the table and in the curve.
  int runs = 8;
  int curve_runs = 4;
  /// Healthy time of each service and condition.
  Duration healthy_time = Seconds(3600);
  /// Fewer settings in the curve.
  bool is_quick = false;
};

/// Detection of one kind of failure by one policy.
struct DetectionRow {
  std::string user;
  std::string failure;
  std::string policy;
  int runs = 0;
  /// Runs in which every instance that used the sick server ejected it.
  int detected_by_all = 0;
  double median_s = 0;
  double p95_s = 0;
  double worst_s = 0;
  double failing_server_requests = 0;
  double failing_server_probation_requests = 0;
  double success_percent = 0;
  double p99_ms = 0;
  double retries_per_100 = 0;
};

struct FalseEjectionRow {
  std::string condition;
  std::string policy;
  double server_days = 0;
  std::size_t ejections = 0;
  std::size_t instance_ejections = 0;
  double per_server_day = 0;
};

/// One setting of one policy over all services, failures and conditions.
struct CurvePoint {
  std::string policy;
  double false_per_server_day = 0;
  /// The same with each ejection counted for the share of the instances that
  /// made it.
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

Measures Measure(const MeasureSettings& settings);

std::string FormatTable(const Measures& measures);
nlohmann::json ToJson(const Measures& measures);

}  // namespace ibisladder::experiment

#endif  // TOOLS_EXPERIMENT_MEASURES_H_
