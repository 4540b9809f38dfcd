#include "libs/detection/latency_baseline.h"

#include <algorithm>
#include <cmath>

namespace ibisladder::detection::Internal {
namespace {

constexpr double kFirstBinMicros = 250;
constexpr double kBinsPerOctave = 6;
/// Total weight of samples above which all weights are halved.
constexpr float kMaxTotalWeight = 2000;
/// Minimum weight of samples for the baseline to be used.
constexpr float kMinSamples = 8;
/// Weight, in samples, of the heavy tail that is assumed beyond the data.
constexpr double kPriorSamples = 4;
constexpr double kMinProbability = 1e-4;

std::size_t BinOf(Duration latency) {
  const double micros = static_cast<double>(latency.count());
  if (micros <= kFirstBinMicros) return 0;
  const double bin = std::log2(micros / kFirstBinMicros) * kBinsPerOctave;
  return std::min(static_cast<std::size_t>(bin), LatencyBaseline::kBins - 1);
}

double CenterOf(std::size_t bin) {
  const double octaves = (static_cast<double>(bin) + 0.5) / kBinsPerOctave;
  return kFirstBinMicros * std::exp2(octaves);
}

float MedianOf(const LatencyBaseline& baseline) {
  float below = 0;
  for (std::size_t i = 0; i < LatencyBaseline::kBins; ++i) {
    below += baseline.weights[i];
    if (below * 2 >= baseline.total) return static_cast<float>(CenterOf(i));
  }
  return 0;
}

/// Halves all weights, so that old samples count less and less.
void HalveWeights(LatencyBaseline& baseline) {
  baseline.total = 0;
  for (auto& it : baseline.weights) {
    it /= 2;
    baseline.total += it;
  }
}

}  // namespace

void Record(LatencyBaseline& baseline, Duration latency, float weight) {
  baseline.weights[BinOf(latency)] += weight;
  baseline.total += weight;
  if (baseline.total > kMaxTotalWeight) HalveWeights(baseline);
  baseline.median_us = MedianOf(baseline);
}

bool IsKnown(const LatencyBaseline& baseline) {
  return baseline.total >= kMinSamples;
}

double TailProbability(const LatencyBaseline& baseline, Duration latency) {
  if (!IsKnown(baseline)) return 1;
  const std::size_t bin = BinOf(latency);
  double above = baseline.weights[bin] / 2;
  for (std::size_t i = bin + 1; i < LatencyBaseline::kBins; ++i) {
    above += baseline.weights[i];
  }
  const double micros = static_cast<double>(latency.count());
  const double prior = std::min(1.0, 0.5 * baseline.median_us / micros);
  const double tail =
      (above + kPriorSamples * prior) / (baseline.total + kPriorSamples);
  return std::clamp(tail, kMinProbability, 1.0);
}

}  // namespace ibisladder::detection::Internal
