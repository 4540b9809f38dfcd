#ifndef LIBS_DETECTION_EVIDENCE_H_
#define LIBS_DETECTION_EVIDENCE_H_

#include <cstdint>

#include "libs/base/time.h"
#include "libs/detection/detector.h"
#include "libs/detection/latency_baseline.h"

/// Log-likelihood ratios of single observations, "unhealthy" against "like a
/// healthy server", and their running sums.
namespace ibisladder::detection::Internal {

/// Current baseline of the service.
struct ServiceBaseline {
  LatencyBaseline latency;
  double error_rate = 0.003;
  double corrupt_rate = 0.00005;
  /// Fraction of requests that fail much faster than requests are processed.
  double fast_failure_rate = 0.0005;
  /// See DetectorTuning.
  Duration expected_latency{};
  bool weighs_answered_failures = false;
  bool records_unfinished_latencies = false;
};

/// Running sums for one server from this instance's own requests. Failures and
/// slowness have separate sums, so that neither hides the other.
struct Evidence {
  float failures = 0;
  float slowness = 0;
  /// Failures that the server itself answered, which proves that the path to it
  /// works. While rare, failures much faster than normal processing weigh more
  /// than slower ones: the server processed nothing, and its low latency
  /// attracts load.
  float answered_failures = 0;
  TimePoint updated;
  /// Number of additions, clamped. Reset by an addition that leaves all sums at
  /// zero, not by their decay.
  std::uint8_t samples = 0;
};

/// Contribution of one ended attempt to the sums, in nats.
struct Increment {
  float failures = 0;
  float slowness = 0;
  float answered_failures = 0;
};

/// Returns the increment of an ended attempt; zero for a definite shed. `taken`
/// is the measured latency; `latency` may be scaled down for conditions that
/// the whole service shares. `shared_failure_ratio` is the current failure
/// ratio of the other servers.
Increment ScoreAttempt(const ServiceBaseline& baseline, AttemptEnd end,
                       Duration latency, Duration taken,
                       double shared_failure_ratio);

/// Returns the evidence, in nats, of an attempt in flight for `age`.
float ScoreInFlight(const ServiceBaseline& baseline, Duration age);

/// Adds to the sums. Failures and slowness never fall below `min_sum`, the sum
/// of answered failures never below 0.
void Add(Evidence& evidence, const Increment& increment, float min_sum);

/// Decays the sums towards zero until `now`.
void Decay(Evidence& evidence, TimePoint now, Duration time_constant);

/// Updates the baseline with an ended attempt; `weight` above 1 adapts it
/// faster.
void RecordAttempt(ServiceBaseline& baseline, AttemptEnd end, Duration latency,
                   float weight);

/// Returns the sum at which a healthy server is ejected as rarely as the
/// operator tolerates. By Wald's bound, a sum of log-likelihood ratios that
/// restarts at zero exceeds `h` by chance at most once in exp(h) observations,
/// so h = ln(tests * seconds per day * observations per second / tolerated per
/// day). The result is at least `min_threshold`.
float ThresholdFor(double false_ejections_per_server_day,
                   double observations_per_server_second, double min_threshold);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_EVIDENCE_H_
