#include "libs/metrics/families.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <limits>
#include <sstream>
#include <utility>

namespace ibisladder::metrics {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr double kMillisPerSecond = 1000;

}  // namespace

void Observe(Histogram& histogram, Duration latency) {
  const auto it =
      std::ranges::lower_bound(Histogram::kBoundsMs, ToMillis(latency));
  ++histogram
        .counts[static_cast<std::size_t>(it - Histogram::kBoundsMs.begin())];
  histogram.sum_s += ToSeconds(latency);
}

MetricFamily& AddFamily(Families& families, const std::string& name,
                        const std::string& help, MetricType type) {
  MetricFamily family;
  family.name = "ibisladder_" + name;
  family.help = help;
  family.type = type;
  families.push_back(std::move(family));
  return families.back();
}

void AddSample(MetricFamily& family, double value, Labels labels) {
  ClientMetric metric;
  metric.label = std::move(labels);
  if (family.type == MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
  family.metric.push_back(std::move(metric));
}

void AddHistogram(MetricFamily& family, const Histogram& histogram,
                  Labels labels) {
  ClientMetric metric;
  metric.label = std::move(labels);
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < histogram.counts.size(); ++i) {
    total += histogram.counts[i];
    const bool is_overflow = i == Histogram::kBoundsMs.size();
    const double bound =
        is_overflow
            ? std::numeric_limits<double>::infinity()
            : static_cast<double>(Histogram::kBoundsMs[i]) / kMillisPerSecond;
    metric.histogram.bucket.push_back({total, bound});
  }
  metric.histogram.sample_count = total;
  metric.histogram.sample_sum = histogram.sum_s;
  family.metric.push_back(std::move(metric));
}

void AddCounter(Families& families, const std::string& name,
                const std::string& help, std::uint64_t value) {
  AddSample(AddFamily(families, name, help, MetricType::Counter),
            static_cast<double>(value));
}

void AddGauge(Families& families, const std::string& name,
              const std::string& help, double value) {
  AddSample(AddFamily(families, name, help, MetricType::Gauge), value);
}

std::string Render(const Families& families) {
  std::ostringstream buf;
  prometheus::TextSerializer().Serialize(buf, families);
  return buf.str();
}

}  // namespace ibisladder::metrics
