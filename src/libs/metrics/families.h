#ifndef LIBS_METRICS_FAMILIES_H_
#define LIBS_METRICS_FAMILIES_H_

#include <prometheus/metric_family.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/time.h"

/// Builds metric families and renders them in Prometheus' text format.
namespace ibisladder::metrics {

using Families = std::vector<prometheus::MetricFamily>;
using Labels = std::vector<prometheus::ClientMetric::Label>;

/// Latency histogram.
struct Histogram {
  /// Upper bounds of the buckets, inclusive, in milliseconds. One more bucket
  /// holds all longer latencies.
  static constexpr std::array<std::int64_t, 9> kBoundsMs = {
      10, 50, 100, 250, 500, 1000, 2000, 4000, 8000};
  /// Latencies per bucket, not cumulative.
  std::array<std::uint64_t, kBoundsMs.size() + 1> counts{};
  double sum_s = 0;
};

void Observe(Histogram& histogram, Duration latency);

/// Adds an empty family and returns it, valid until the next one is added. The
/// prefix "ibisladder_" is added to the name.
prometheus::MetricFamily& AddFamily(Families& families, const std::string& name,
                                    const std::string& help,
                                    prometheus::MetricType type);
void AddSample(prometheus::MetricFamily& family, double value,
               Labels labels = {});
void AddHistogram(prometheus::MetricFamily& family, const Histogram& histogram,
                  Labels labels);
void AddCounter(Families& families, const std::string& name,
                const std::string& help, std::uint64_t value);
void AddGauge(Families& families, const std::string& name,
              const std::string& help, double value);

/// Returns the text exposition format, version 0.0.4.
std::string Render(const Families& families);

}  // namespace ibisladder::metrics

#endif  // LIBS_METRICS_FAMILIES_H_
