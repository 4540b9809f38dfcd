#ifndef LIBS_DETECTION_LATENCY_BASELINE_H_
#define LIBS_DETECTION_LATENCY_BASELINE_H_

#include <array>
#include <cstddef>

#include "libs/base/time.h"

/// Current distribution of latencies of a service.
namespace ibisladder::detection::Internal {

/// Histogram with logarithmic bins in which old samples lose weight.
struct LatencyBaseline {
  static constexpr std::size_t kBins = 96;
  std::array<float, kBins> weights{};
  float total = 0;
  /// Median of the histogram in microseconds; updated by Record.
  float median_us = 0;
};

/// Adds one latency; `weight` above 1 adapts the baseline faster.
void Record(LatencyBaseline& baseline, Duration latency, float weight);

/// Whether the baseline has enough samples to be used.
bool IsKnown(const LatencyBaseline& baseline);

/// Returns the probability that a healthy server takes longer than `latency`.
/// At least a small lower bound; 1 while the baseline is not known.
double TailProbability(const LatencyBaseline& baseline, Duration latency);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_LATENCY_BASELINE_H_
