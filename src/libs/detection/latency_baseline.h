#ifndef LIBS_DETECTION_LATENCY_BASELINE_H_
#define LIBS_DETECTION_LATENCY_BASELINE_H_

#include <array>
#include <cstddef>

#include "libs/base/time.h"

/// The distribution of latencies that is normal for a service now.
namespace ibisladder::detection::Internal {

/// Histogram with logarithmic bins that forgets old samples.
struct LatencyBaseline {
  static constexpr std::size_t kBins = 96;
  std::array<float, kBins> weights{};
  float total = 0;
  /// Median of the histogram, microseconds; kept up to date by Learn.
  float median_us = 0;
};

/// Adds one latency; `weight` above 1 makes the norm move faster.
void Record(LatencyBaseline& baseline, Duration latency, float weight);

/// Whether the norm rests on enough samples to judge by it.
bool IsKnown(const LatencyBaseline& baseline);

/// Probability that a healthy server needs longer than `latency`. Never below
/// a small floor; 1 while the norm is not known.
double TailProbability(const LatencyBaseline& baseline, Duration latency);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_LATENCY_BASELINE_H_
