#include "tools/load/summary.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace ibisladder::load {
namespace {

constexpr std::size_t kPerMille = 1000;
constexpr double kMicrosPerMilli = 1000.0;

/// Returns a quantile by nearest rank. `times` must be sorted and not empty.
Duration NearestRank(const std::vector<Duration>& times, std::size_t permille) {
  const std::size_t rank =
      (times.size() * permille + kPerMille - 1) / kPerMille;
  return times[std::max<std::size_t>(rank, 1) - 1];
}

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerMilli;
}

nlohmann::ordered_json QuantilesJson(const Quantiles& it) {
  return {{"p50_ms", Milliseconds(it.p50)},
          {"p99_ms", Milliseconds(it.p99)},
          {"p999_ms", Milliseconds(it.p999)}};
}

std::string QuantileColumns(const Quantiles& it) {
  char buf[64];
  std::snprintf(buf, sizeof(buf), "%9.3f %9.3f %9.3f", Milliseconds(it.p50),
                Milliseconds(it.p99), Milliseconds(it.p999));
  return buf;
}

const TargetSummary* FindTarget(const Summary& summary,
                                const std::string& name) {
  for (const auto& it : summary.targets) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

bool HasBoth(const Summary& summary) {
  return FindTarget(summary, kDirect) != nullptr &&
         FindTarget(summary, kEntry) != nullptr;
}

}  // namespace

Quantiles QuantilesOf(std::vector<Duration> times) {
  if (times.empty()) return {};
  std::sort(times.begin(), times.end());
  return {NearestRank(times, 500), NearestRank(times, 990),
          NearestRank(times, 999)};
}

TargetSummary Summarize(const std::string& name, const Samples& samples,
                        Duration length) {
  TargetSummary result;
  result.name = name;
  result.calls = samples.times.size();
  result.errors = samples.errors;
  result.times = QuantilesOf(samples.times);
  if (length > Duration(0)) {
    result.requests_per_second =
        static_cast<double>(samples.times.size()) / ToSeconds(length);
  }
  return result;
}

Quantiles AddedTimes(const Summary& summary) {
  if (!HasBoth(summary)) return {};
  const Quantiles& direct = FindTarget(summary, kDirect)->times;
  const Quantiles& entry = FindTarget(summary, kEntry)->times;
  return {entry.p50 - direct.p50, entry.p99 - direct.p99,
          entry.p999 - direct.p999};
}

std::string FormatTable(const Summary& summary) {
  std::string result =
      "target      calls  errors  requests/s    p50 ms    p99 ms  p99.9 ms\n";
  for (const auto& it : summary.targets) {
    char buf[96];
    std::snprintf(buf, sizeof(buf), "%-8s %8zu %7zu %11.1f ", it.name.c_str(),
                  it.calls, it.errors, it.requests_per_second);
    result += buf + QuantileColumns(it.times) + "\n";
  }
  const std::string padding(29, ' ');
  if (HasBoth(summary)) {
    result +=
        "added   " + padding + QuantileColumns(AddedTimes(summary)) + "\n";
  }
  return result + "late    " + padding + QuantileColumns(summary.lateness) +
         "\n";
}

std::string FormatJson(const Summary& summary) {
  nlohmann::ordered_json result;
  for (const auto& it : summary.targets) {
    nlohmann::ordered_json row = QuantilesJson(it.times);
    row["calls"] = it.calls;
    row["errors"] = it.errors;
    row["requests_per_second"] = it.requests_per_second;
    result["targets"][it.name] = row;
  }
  if (HasBoth(summary)) result["added"] = QuantilesJson(AddedTimes(summary));
  result["lateness"] = QuantilesJson(summary.lateness);
  return result.dump() + "\n";
}

}  // namespace ibisladder::load
