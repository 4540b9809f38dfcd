#include "libs/detection/evidence.h"

#include <algorithm>
#include <cmath>

namespace ibisladder::detection::Internal {
namespace {

/// An unhealthy server fails this fraction of requests that would otherwise
/// succeed.
constexpr double kUnhealthyFailureRate = 0.35;
/// Exponent of the slowness model. The tail probability u of a latency is
/// uniformly distributed for a healthy server; for an unhealthy one,
/// u^kSlownessShape is, which makes long latencies likelier.
constexpr double kSlownessShape = 0.3;
/// Good evidence decays this many times as fast: a server may become unhealthy
/// at any moment, but a failure stays significant where traffic is low.
constexpr float kGoodDecayFactor = 3;
/// An attempt in flight counts as evidence once at most this fraction of
/// healthy attempts takes as long.
constexpr double kInFlightTail = 0.05;

constexpr double kMinErrorRate = 0.003;
constexpr double kMinCorruptRate = 0.00005;
constexpr double kMinFastFailureRate = 0.0005;
constexpr double kMaxErrorRate = 0.9;
/// A failure is fast below this fraction of the usual latency.
constexpr float kFastFraction = 0.125F;
/// Until the baseline is known, an attempt that timed out counts from this
/// multiple of the expected latency on, since healthy requests rarely take
/// longer.
constexpr int kUnfinishedLatencyFactor = 4;
/// A rate changes by a fraction of its own value per failure, so that one
/// failure hides little of the next one.
constexpr double kRateStepFraction = 1.0 / 4;
constexpr double kMinRateStep = 1.0 / 8192;
constexpr double kMaxRateStep = 1.0 / 16;

/// Number of sums tested per observation that the threshold allows for:
/// failures and slowness, not answered failures.
constexpr double kTests = 2;
constexpr double kSecondsPerDay = 86400;
/// Bounds of the inputs and the result of ThresholdFor.
constexpr double kMinTolerated = 1e-6;
constexpr double kMinRate = 0.001;
constexpr double kMaxThreshold = 40;

bool IsError(AttemptEnd end) {
  return end == AttemptEnd::kError || end == AttemptEnd::kLost ||
         end == AttemptEnd::kConnectFailed;
}

bool IsFast(const ServiceBaseline& baseline, Duration latency) {
  const float usual =
      IsKnown(baseline.latency)
          ? baseline.latency.median_us
          : static_cast<float>(baseline.expected_latency.count());
  return static_cast<float>(latency.count()) < usual * kFastFraction;
}

/// Whether the latency is plausible for a processed request. Requests that need
/// no processing would distort the baseline.
bool IsPlausibleLatency(const ServiceBaseline& baseline, Duration latency) {
  const auto expected = static_cast<float>(baseline.expected_latency.count());
  return static_cast<float>(latency.count()) >= expected * kFastFraction;
}

/// Returns the fraction of healthy attempts that take as long. Latencies up to
/// the expected one are never unusual.
double Tail(const ServiceBaseline& baseline, Duration latency) {
  if (latency <= baseline.expected_latency) return 1;
  return TailProbability(baseline.latency, latency);
}

float FailureLogRatio(double normal_rate) {
  const double unhealthy_rate =
      normal_rate + kUnhealthyFailureRate * (1 - normal_rate);
  return static_cast<float>(std::log(unhealthy_rate / normal_rate));
}

float SuccessLogRatio() {
  return static_cast<float>(std::log(1 - kUnhealthyFailureRate));
}

float SlownessLogRatio(double tail) {
  const double ratio =
      std::log(kSlownessShape) + (kSlownessShape - 1) * std::log(tail);
  return static_cast<float>(ratio);
}

void UpdateRate(double& rate, bool seen, double min_rate, float weight) {
  const double step_size =
      std::clamp(rate * kRateStepFraction, kMinRateStep, kMaxRateStep);
  const double step = std::min(kMaxRateStep, step_size * weight);
  rate += step * ((seen ? 1.0 : 0.0) - rate);
  rate = std::clamp(rate, min_rate, kMaxErrorRate);
}

float Decayed(float sum, float factor) {
  constexpr float kNegligible = 0.01F;
  const float decayed =
      sum * (sum < 0 ? std::pow(factor, kGoodDecayFactor) : factor);
  return std::abs(decayed) < kNegligible ? 0 : decayed;
}

}  // namespace

Increment ScoreAttempt(const ServiceBaseline& baseline, AttemptEnd end,
                       Duration latency, Duration taken,
                       double shared_failure_ratio) {
  const double shared = std::min(shared_failure_ratio, kMaxErrorRate);
  if (IsError(end)) {
    const bool is_answered =
        baseline.weighs_answered_failures && end == AttemptEnd::kError;
    const bool is_fast = is_answered && IsFast(baseline, taken);
    if (is_fast) return {0, 0, FailureLogRatio(baseline.fast_failure_rate)};
    const float ratio = FailureLogRatio(std::max(baseline.error_rate, shared));
    return {ratio, 0, is_answered ? ratio : 0};
  }
  if (end == AttemptEnd::kCorrupt) {
    return {FailureLogRatio(std::max(baseline.corrupt_rate, shared)), 0};
  }
  if (end == AttemptEnd::kOk) {
    if (!IsKnown(baseline.latency)) return {SuccessLogRatio(), 0};
    return {SuccessLogRatio(), SlownessLogRatio(Tail(baseline, latency)),
            SuccessLogRatio()};
  }
  if (end == AttemptEnd::kTimeout && !IsKnown(baseline.latency)) {
    if (taken < baseline.expected_latency * kUnfinishedLatencyFactor) return {};
    return {FailureLogRatio(baseline.error_rate), 0};
  }
  if (end == AttemptEnd::kTimeout || end == AttemptEnd::kAbandoned) {
    return {0, ScoreInFlight(baseline, latency)};
  }
  return {};
}

float ScoreInFlight(const ServiceBaseline& baseline, Duration age) {
  const double tail = Tail(baseline, age);
  if (tail > kInFlightTail) return 0;
  return static_cast<float>((kSlownessShape - 1) * std::log(tail));
}

void Add(Evidence& evidence, const Increment& increment, float min_sum) {
  evidence.failures = std::max(min_sum, evidence.failures + increment.failures);
  evidence.slowness = std::max(min_sum, evidence.slowness + increment.slowness);
  evidence.answered_failures =
      std::max(0.0F, evidence.answered_failures + increment.answered_failures);
  constexpr std::uint8_t kMaxSamples = 255;
  const bool is_none = evidence.failures == 0 && evidence.slowness == 0 &&
                       evidence.answered_failures == 0;
  if (is_none) {
    evidence.samples = 0;
  } else if (evidence.samples < kMaxSamples) {
    ++evidence.samples;
  }
}

void Decay(Evidence& evidence, TimePoint now, Duration time_constant) {
  const Duration passed = now - evidence.updated;
  evidence.updated = now;
  const bool is_none = evidence.failures == 0 && evidence.slowness == 0 &&
                       evidence.answered_failures == 0;
  if (is_none) return;
  const auto factor = static_cast<float>(
      std::exp(-ToSeconds(passed) / ToSeconds(time_constant)));
  evidence.failures = Decayed(evidence.failures, factor);
  evidence.slowness = Decayed(evidence.slowness, factor);
  evidence.answered_failures = Decayed(evidence.answered_failures, factor);
}

void RecordAttempt(ServiceBaseline& baseline, AttemptEnd end, Duration latency,
                   float weight) {
  // An attempt that timed out or was cancelled would have taken longer still.
  // Without it the baseline would contain no answers beyond a timeout, and
  // every attempt that reaches the timeout would look suspicious.
  const bool is_unfinished =
      baseline.records_unfinished_latencies &&
      (end == AttemptEnd::kTimeout || end == AttemptEnd::kAbandoned) &&
      static_cast<float>(latency.count()) > baseline.latency.median_us;
  const bool is_done =
      end == AttemptEnd::kOk && IsPlausibleLatency(baseline, latency);
  if (is_done || (is_unfinished && IsKnown(baseline.latency))) {
    Record(baseline.latency, latency, weight);
  }
  if (end == AttemptEnd::kOk || IsError(end)) {
    UpdateRate(baseline.error_rate, end != AttemptEnd::kOk, kMinErrorRate,
               weight);
    const bool is_answered =
        baseline.weighs_answered_failures && end == AttemptEnd::kError;
    const bool is_fast = is_answered && IsFast(baseline, latency);
    UpdateRate(baseline.fast_failure_rate, is_fast, kMinFastFailureRate,
               weight);
  }
  if (end == AttemptEnd::kOk || end == AttemptEnd::kCorrupt) {
    UpdateRate(baseline.corrupt_rate, end != AttemptEnd::kOk, kMinCorruptRate,
               weight);
  }
}

float ThresholdFor(double false_ejections_per_server_day,
                   double observations_per_server_second,
                   double min_threshold) {
  const double tolerated =
      std::max(false_ejections_per_server_day, kMinTolerated);
  const double rate = std::max(observations_per_server_second, kMinRate);
  const double threshold = std::log(kTests * kSecondsPerDay * rate / tolerated);
  return static_cast<float>(
      std::clamp(threshold, min_threshold, kMaxThreshold));
}

}  // namespace ibisladder::detection::Internal
