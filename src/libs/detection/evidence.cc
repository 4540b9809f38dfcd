#include "libs/detection/evidence.h"

#include <algorithm>
#include <cmath>

namespace ibisladder::detection::Internal {
namespace {

/// A sick server fails this share of what would otherwise succeed.
constexpr double kSickFailureShare = 0.35;
/// Of a sick server's tail probabilities u, u^kSlowShape is uniform.
constexpr double kSlowShape = 0.3;
/// Good evidence fades this many times as fast: a server may turn sick at any
/// moment, but a failure stays telling where traffic is thin.
constexpr float kGoodFadesFaster = 3;
/// An attempt in flight is evidence once fewer healthy ones take as long.
constexpr double kInFlightTail = 0.05;

constexpr double kLeastErrorRate = 0.003;
constexpr double kLeastCorruptRate = 0.00005;
constexpr double kLeastFastFailureRate = 0.0005;
constexpr double kMostErrorRate = 0.9;
/// A failure is fast below this part of the usual latency.
constexpr float kFastShare = 0.125F;
/// Until the norm is known, an attempt that was cut tells of its server from
/// this multiple of the expected latency on: sound work rarely takes longer.
constexpr int kLongCut = 4;
/// The norm moves by a part of its own size, so that one failure hides little
/// of the next one.
constexpr double kLearningShare = 1.0 / 4;
constexpr double kSlowestLearning = 1.0 / 8192;
constexpr double kFastestLearning = 1.0 / 16;

constexpr double kTests = 2;
constexpr double kSecondsPerDay = 86400;
constexpr double kLeastTolerated = 1e-6;
constexpr double kLeastRate = 0.001;
constexpr double kMostThreshold = 40;

bool IsError(AttemptEnd end) {
  return end == AttemptEnd::kError || end == AttemptEnd::kLost ||
         end == AttemptEnd::kConnectFailed;
}

bool IsFast(const ServiceNorm& norm, Duration latency) {
  const float usual = IsKnown(norm.latency)
                          ? norm.latency.median_us
                          : static_cast<float>(norm.expected_latency.count());
  return static_cast<float>(latency.count()) < usual * kFastShare;
}

/// Work answers no sooner; requests that ask for none would hide what it takes.
bool IsWork(const ServiceNorm& norm, Duration latency) {
  const auto expected = static_cast<float>(norm.expected_latency.count());
  return static_cast<float>(latency.count()) >= expected * kFastShare;
}

/// Share of healthy attempts that take as long; what takes no longer than
/// expected is never unusual.
double Tail(const ServiceNorm& norm, Duration latency) {
  if (latency <= norm.expected_latency) return 1;
  return TailProbability(norm.latency, latency);
}

float FailureRatio(double normal_rate) {
  const double sick_rate = normal_rate + kSickFailureShare * (1 - normal_rate);
  return static_cast<float>(std::log(sick_rate / normal_rate));
}

float SuccessRatio() {
  return static_cast<float>(std::log(1 - kSickFailureShare));
}

float SlownessRatio(double tail) {
  const double ratio = std::log(kSlowShape) + (kSlowShape - 1) * std::log(tail);
  return static_cast<float>(ratio);
}

void LearnRate(double& rate, bool seen, double least, float weight) {
  const double step_size =
      std::clamp(rate * kLearningShare, kSlowestLearning, kFastestLearning);
  const double step = std::min(kFastestLearning, step_size * weight);
  rate += step * ((seen ? 1.0 : 0.0) - rate);
  rate = std::clamp(rate, least, kMostErrorRate);
}

float FadeOf(float sum, float factor) {
  constexpr float kNegligible = 0.01F;
  const float faded =
      sum * (sum < 0 ? std::pow(factor, kGoodFadesFaster) : factor);
  return std::abs(faded) < kNegligible ? 0 : faded;
}

}  // namespace

Increment JudgeEnd(const ServiceNorm& norm, AttemptEnd end, Duration latency,
                   Duration taken, double shared_failure_share) {
  const double shared = std::min(shared_failure_share, kMostErrorRate);
  if (IsError(end)) {
    const bool is_answered =
        norm.weighs_answered_failures && end == AttemptEnd::kError;
    const bool is_fast = is_answered && IsFast(norm, taken);
    if (is_fast) return {0, 0, FailureRatio(norm.fast_failure_rate)};
    const float ratio = FailureRatio(std::max(norm.error_rate, shared));
    return {ratio, 0, is_answered ? ratio : 0};
  }
  if (end == AttemptEnd::kCorrupt) {
    return {FailureRatio(std::max(norm.corrupt_rate, shared)), 0};
  }
  if (end == AttemptEnd::kOk) {
    if (!IsKnown(norm.latency)) return {SuccessRatio(), 0};
    return {SuccessRatio(), SlownessRatio(Tail(norm, latency)), SuccessRatio()};
  }
  if (end == AttemptEnd::kTimeout && !IsKnown(norm.latency)) {
    if (taken < norm.expected_latency * kLongCut) return {};
    return {FailureRatio(norm.error_rate), 0};
  }
  if (end == AttemptEnd::kTimeout || end == AttemptEnd::kAbandoned) {
    return {0, JudgeInFlight(norm, latency)};
  }
  return {};
}

float JudgeInFlight(const ServiceNorm& norm, Duration age) {
  const double tail = Tail(norm, age);
  if (tail > kInFlightTail) return 0;
  return static_cast<float>((kSlowShape - 1) * std::log(tail));
}

void Add(Evidence& evidence, const Increment& increment, float least) {
  evidence.failures = std::max(least, evidence.failures + increment.failures);
  evidence.slowness = std::max(least, evidence.slowness + increment.slowness);
  evidence.answered_failures =
      std::max(0.0F, evidence.answered_failures + increment.answered_failures);
  constexpr std::uint8_t kMostSamples = 255;
  const bool is_none = evidence.failures == 0 && evidence.slowness == 0 &&
                       evidence.answered_failures == 0;
  if (is_none) {
    evidence.samples = 0;
  } else if (evidence.samples < kMostSamples) {
    ++evidence.samples;
  }
}

void Fade(Evidence& evidence, TimePoint now, Duration time_constant) {
  const Duration passed = now - evidence.updated;
  evidence.updated = now;
  const bool is_none = evidence.failures == 0 && evidence.slowness == 0 &&
                       evidence.answered_failures == 0;
  if (is_none) return;
  const auto factor = static_cast<float>(
      std::exp(-ToSeconds(passed) / ToSeconds(time_constant)));
  evidence.failures = FadeOf(evidence.failures, factor);
  evidence.slowness = FadeOf(evidence.slowness, factor);
  evidence.answered_failures = FadeOf(evidence.answered_failures, factor);
}

void LearnEnd(ServiceNorm& norm, AttemptEnd end, Duration latency,
              float weight) {
  // What is cut while it runs would have taken longer still: without it the
  // norm would know no answers beyond a time-out, and suspect all that reach
  // it.
  const bool is_cut =
      norm.records_unfinished_latencies &&
      (end == AttemptEnd::kTimeout || end == AttemptEnd::kAbandoned) &&
      static_cast<float>(latency.count()) > norm.latency.median_us;
  const bool is_done = end == AttemptEnd::kOk && IsWork(norm, latency);
  if (is_done || (is_cut && IsKnown(norm.latency))) {
    Learn(norm.latency, latency, weight);
  }
  if (end == AttemptEnd::kOk || IsError(end)) {
    LearnRate(norm.error_rate, end != AttemptEnd::kOk, kLeastErrorRate, weight);
    const bool is_answered =
        norm.weighs_answered_failures && end == AttemptEnd::kError;
    const bool is_fast = is_answered && IsFast(norm, latency);
    LearnRate(norm.fast_failure_rate, is_fast, kLeastFastFailureRate, weight);
  }
  if (end == AttemptEnd::kOk || end == AttemptEnd::kCorrupt) {
    LearnRate(norm.corrupt_rate, end != AttemptEnd::kOk, kLeastCorruptRate,
              weight);
  }
}

float ThresholdFor(double false_ejections_per_server_day,
                   double fleet_observations_per_second, double least) {
  const double tolerated =
      std::max(false_ejections_per_server_day, kLeastTolerated);
  const double rate = std::max(fleet_observations_per_second, kLeastRate);
  const double threshold = std::log(kTests * kSecondsPerDay * rate / tolerated);
  return static_cast<float>(std::clamp(threshold, least, kMostThreshold));
}

}  // namespace ibisladder::detection::Internal
