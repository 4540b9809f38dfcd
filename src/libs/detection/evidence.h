#ifndef LIBS_DETECTION_EVIDENCE_H_
#define LIBS_DETECTION_EVIDENCE_H_

#include <cstdint>

#include "libs/base/time.h"
#include "libs/detection/detector.h"
#include "libs/detection/latency_baseline.h"

/// Log-likelihood ratios of single observations, "sick" against "as its
/// peers", and their running sums.
namespace ibisladder::detection::Internal {

/// What is normal for the service now.
struct ServiceBaseline {
  LatencyBaseline latency;
  double error_rate = 0.003;
  double corrupt_rate = 0.00005;
  /// Share of requests that fail much faster than work takes.
  double fast_failure_rate = 0.0005;
  /// See DetectorTuning.
  Duration expected_latency{};
  bool weighs_answered_failures = false;
  bool records_unfinished_latencies = false;
};

/// Running sums for one server, from this instance's own work. Failures and
/// slowness are tested apart, so that neither hides the other.
struct Evidence {
  float failures = 0;
  float slowness = 0;
  /// Failures that the server itself answered, which proves that the path to it
  /// works. Those that came much faster than work takes weigh most: nothing was
  /// tried, and they attract load.
  float answered_failures = 0;
  TimePoint updated;
  /// Attempts since the sums last left zero.
  std::uint8_t samples = 0;
};

/// What one ended attempt adds to the sums, in nats.
struct Increment {
  float failures = 0;
  float slowness = 0;
  float answered_failures = 0;
};

/// The increment of an ended attempt; zero for a definite shed. `latency` may
/// be scaled to what the service shares now, `taken` is as measured.
/// `shared_failure_ratio`: what the other servers fail at this moment.
Increment ScoreAttempt(const ServiceBaseline& baseline, AttemptEnd end,
                       Duration latency, Duration taken,
                       double shared_failure_ratio);

/// The evidence of an attempt that has been in flight for `age`.
float ScoreInFlight(const ServiceBaseline& baseline, Duration age);

/// Adds to the sums, which never fall below `least`.
void Add(Evidence& evidence, const Increment& increment, float min_sum);

/// Lets the sums fade towards zero until `now`.
void Decay(Evidence& evidence, TimePoint now, Duration time_constant);

/// Teaches the norm an ended attempt; `weight` above 1 speeds it up.
void RecordAttempt(ServiceBaseline& baseline, AttemptEnd end, Duration latency,
                   float weight);

/// The sum at which a healthy server is ejected as rarely as the operator
/// tolerates. By Wald's bound a sum of log-likelihood ratios that restarts at
/// zero passes `h` by chance once in exp(h) observations or less often, so
/// h = ln(tests * seconds a day * observations a second / tolerated a day).
float ThresholdFor(double false_ejections_per_server_day,
                   double fleet_observations_per_second, double min_threshold);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_EVIDENCE_H_
