#include "tools/experiment/measures.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <thread>

namespace ibisladder::experiment {
namespace {

struct Job {
  Scenario scenario;
  PolicyKind policy;
  /// Index of the policy whose row and curve point include this run.
  std::size_t policy_index = 0;
  RunResult result;
};

std::vector<PolicyKind> TablePolicies() {
  return {NoDetection{}, ConsecutiveErrors{3}, SuccessRate{0.6},
          GrayDetector{}};
}

std::vector<PolicyKind> CurvePolicies(bool is_quick) {
  if (is_quick)
    return {ConsecutiveErrors{3}, SuccessRate{0.6}, GrayDetector{0.1}};
  return {ConsecutiveErrors{2},  ConsecutiveErrors{3}, ConsecutiveErrors{5},
          ConsecutiveErrors{10}, SuccessRate{0.9},     SuccessRate{0.8},
          SuccessRate{0.6},      SuccessRate{0.4},     GrayDetector{0.001},
          GrayDetector{0.01},    GrayDetector{0.1},    GrayDetector{1},
          GrayDetector{10}};
}

/// Returns a seed that does not depend on the policy, so that all policies see
/// the same scenarios.
std::uint64_t SeedOf(std::uint64_t seed, std::size_t service, int variant,
                     int run) {
  constexpr std::uint64_t kStep = 1000;
  return ((seed * kStep + service) * kStep +
          static_cast<std::uint64_t>(variant)) *
             kStep +
         static_cast<std::uint64_t>(run);
}

void AddFailureJobs(const MeasureSettings& settings, int runs,
                    const std::vector<PolicyKind>& policies,
                    std::vector<Job>& jobs) {
  const auto services = CurrentServices();
  for (std::size_t p = 0; p < policies.size(); ++p) {
    for (std::size_t s = 0; s < services.size(); ++s) {
      for (const Failure failure : AllFailures()) {
        for (int run = 0; run < runs; ++run) {
          Scenario scenario;
          scenario.service = services[s];
          scenario.instances = settings.instances;
          scenario.failure = failure;
          scenario.warm_up = WarmUpFor(services[s], settings.instances);
          scenario.seed =
              SeedOf(settings.seed, s, static_cast<int>(failure), run);
          jobs.push_back({scenario, policies[p], p, {}});
        }
      }
    }
  }
}

void AddHealthyJobs(const MeasureSettings& settings,
                    const std::vector<PolicyKind>& policies,
                    std::vector<Job>& jobs) {
  constexpr int kConditionVariants = 100;
  const auto services = CurrentServices();
  for (std::size_t p = 0; p < policies.size(); ++p) {
    for (std::size_t s = 0; s < services.size(); ++s) {
      for (const Condition condition : AllConditions()) {
        Scenario scenario;
        scenario.service = services[s];
        scenario.instances = settings.instances;
        scenario.condition = condition;
        scenario.warm_up = WarmUpFor(services[s], settings.instances);
        scenario.measured_time = settings.healthy_time;
        scenario.seed =
            SeedOf(settings.seed, s,
                   kConditionVariants + static_cast<int>(condition), 0);
        jobs.push_back({scenario, policies[p], p, {}});
      }
    }
  }
}

/// Runs all jobs. Each is deterministic, so their order does not matter.
void RunAll(std::vector<Job>& jobs, int threads) {
  std::atomic<std::size_t> next{0};
  const auto run_jobs = [&] {
    for (std::size_t i = next++; i < jobs.size(); i = next++) {
      jobs[i].result = Run(jobs[i].scenario, jobs[i].policy);
    }
  };
  std::vector<std::jthread> pool;
  for (int i = 0; i < threads; ++i) pool.emplace_back(run_jobs);
}

template <typename T>
double Quantile(std::vector<T> values, double fraction) {
  if (values.empty()) return 0;
  const auto last = static_cast<double>(values.size() - 1);
  const auto at = values.begin() +
                  static_cast<std::ptrdiff_t>(std::lround(fraction * last));
  std::nth_element(values.begin(), at, values.end());
  return static_cast<double>(*at);
}

constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;
constexpr double kPercent = 100;

std::string UserOf(const ServiceProfile& service) {
  return service.name.substr(0, service.name.find('/'));
}

DetectionRow Summarise(const std::vector<const Job*>& jobs) {
  DetectionRow row;
  std::vector<double> times;
  std::vector<float> latencies;
  double calls = 0;
  double good_calls = 0;
  double retries = 0;
  for (const auto* it : jobs) {
    const RunResult& result = it->result;
    times.push_back(ToSeconds(result.detection));
    row.detected_by_all += result.detected_by_all ? 1 : 0;
    row.failing_server_requests +=
        static_cast<double>(result.failing_server_requests);
    row.failing_server_probation_requests +=
        static_cast<double>(result.failing_server_probation_requests);
    calls += static_cast<double>(result.calls);
    good_calls += static_cast<double>(result.good_calls);
    retries += static_cast<double>(result.retries);
    latencies.insert(latencies.end(), result.latencies.begin(),
                     result.latencies.end());
  }
  const auto n = static_cast<double>(jobs.size());
  row.runs = static_cast<int>(jobs.size());
  row.median_s = Quantile(times, kMedian);
  row.p95_s = Quantile(times, kP95);
  row.worst_s = Quantile(times, 1);
  row.failing_server_requests /= n;
  row.failing_server_probation_requests /= n;
  row.success_percent = kPercent * good_calls / calls;
  row.retries_per_100 = kPercent * retries / calls;
  row.p99_ms = Quantile(latencies, kP99);
  return row;
}

std::vector<DetectionRow> DetectionRows(
    const std::vector<Job>& jobs, const std::vector<PolicyKind>& policies) {
  std::vector<DetectionRow> rows;
  for (const std::string user : {"cumbre", "bayou"}) {
    for (const Failure failure : AllFailures()) {
      for (std::size_t p = 0; p < policies.size(); ++p) {
        std::vector<const Job*> chosen;
        for (const auto& it : jobs) {
          if (it.policy_index == p && it.scenario.failure == failure &&
              UserOf(it.scenario.service) == user) {
            chosen.push_back(&it);
          }
        }
        DetectionRow row = Summarise(chosen);
        row.user = user;
        row.failure = NameOf(failure);
        row.policy = NameOf(policies[p]);
        rows.push_back(row);
      }
    }
  }
  return rows;
}

void AddHealthyRun(const Job& job, FalseEjectionRow& row) {
  row.server_days += job.result.healthy_server_days;
  row.ejections += job.result.false_ejections;
  row.instance_ejections += job.result.false_instance_ejections;
  row.per_server_day = static_cast<double>(row.ejections) / row.server_days;
}

std::vector<FalseEjectionRow> FalseEjectionRows(
    const std::vector<Job>& jobs, const std::vector<PolicyKind>& policies) {
  std::vector<FalseEjectionRow> rows;
  for (const Condition condition : AllConditions()) {
    for (std::size_t p = 0; p < policies.size(); ++p) {
      FalseEjectionRow row{NameOf(condition), NameOf(policies[p])};
      for (const auto& it : jobs) {
        if (it.policy_index != p || it.scenario.failure != Failure::kNone ||
            it.scenario.condition != condition) {
          continue;
        }
        AddHealthyRun(it, row);
      }
      rows.push_back(row);
    }
  }
  return rows;
}

std::vector<CurvePoint> CurvePoints(const MeasureSettings& settings,
                                    const std::vector<Job>& jobs,
                                    const std::vector<PolicyKind>& policies) {
  std::vector<CurvePoint> points;
  for (std::size_t p = 0; p < policies.size(); ++p) {
    FalseEjectionRow healthy;
    std::vector<double> times;
    for (const auto& it : jobs) {
      if (it.policy_index != p) continue;
      if (it.scenario.failure == Failure::kNone) {
        AddHealthyRun(it, healthy);
      } else {
        times.push_back(ToSeconds(it.result.detection));
      }
    }
    const double mean = std::accumulate(times.begin(), times.end(), 0.0) /
                        static_cast<double>(times.size());
    const double weighted = static_cast<double>(healthy.instance_ejections) /
                            settings.instances / healthy.server_days;
    points.push_back({NameOf(policies[p]), healthy.per_server_day, weighted,
                      Quantile(times, kMedian), Quantile(times, kP95), mean});
  }
  return points;
}

template <typename... Ts>
void Print(std::string& out, const char* format, Ts... values) {
  constexpr std::size_t kSize = 256;
  char buf[kSize];
  std::snprintf(buf, sizeof(buf), format, values...);
  out += buf;
}

}  // namespace

Measures Measure(const MeasureSettings& settings) {
  const auto table = TablePolicies();
  std::vector<Job> jobs;
  AddFailureJobs(settings, settings.runs, table, jobs);
  AddHealthyJobs(settings, table, jobs);
  RunAll(jobs, settings.threads);
  const auto curve = CurvePolicies(settings.is_quick);
  std::vector<Job> curve_jobs;
  AddFailureJobs(settings, settings.curve_runs, curve, curve_jobs);
  AddHealthyJobs(settings, curve, curve_jobs);
  RunAll(curve_jobs, settings.threads);
  return {DetectionRows(jobs, table), FalseEjectionRows(jobs, table),
          CurvePoints(settings, curve_jobs, curve)};
}

std::string FormatTable(const Measures& measures) {
  std::string out =
      "Detection time (s): first bad answer or stall until the last request\n\n"
      "| user | failure | policy | runs | out at all | median | p95 | worst "
      "| sick requests | on probation | success % | p99 ms | retries/100 |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto& it : measures.detection) {
    Print(out,
          "| %s | %s | %s | %d | %d | %.2f | %.2f | %.2f | %.1f | %.1f "
          "| %.2f | %.0f | %.2f |\n",
          it.user.c_str(), it.failure.c_str(), it.policy.c_str(), it.runs,
          it.detected_by_all, it.median_s, it.p95_s, it.worst_s,
          it.failing_server_requests, it.failing_server_probation_requests,
          it.success_percent, it.p99_ms, it.retries_per_100);
  }
  out +=
      "\nFalse ejections\n\n"
      "| condition | policy | healthy server-days | ejections | by single "
      "instances | per server-day |\n|---|---|---|---|---|---|\n";
  for (const auto& it : measures.false_ejections) {
    Print(out, "| %s | %s | %.2f | %zu | %zu | %.2f |\n", it.condition.c_str(),
          it.policy.c_str(), it.server_days, it.ejections,
          it.instance_ejections, it.per_server_day);
  }
  out +=
      "\nTrade curve over all services, failures and conditions\n\n"
      "| policy | false ejections per server-day | weighted by instances "
      "| detection median s | mean s | p95 s |\n|---|---|---|---|---|---|\n";
  for (const auto& it : measures.curve) {
    Print(out, "| %s | %.2f | %.2f | %.2f | %.2f | %.2f |\n", it.policy.c_str(),
          it.false_per_server_day, it.weighted_per_server_day, it.median_s,
          it.mean_s, it.p95_s);
  }
  return out;
}

nlohmann::json ToJson(const Measures& measures) {
  nlohmann::json json;
  for (const auto& it : measures.detection) {
    json["detection"].push_back(
        {{"user", it.user},
         {"failure", it.failure},
         {"policy", it.policy},
         {"runs", it.runs},
         {"detected_by_all", it.detected_by_all},
         {"median_s", it.median_s},
         {"p95_s", it.p95_s},
         {"worst_s", it.worst_s},
         {"sick_requests", it.failing_server_requests},
         {"sick_probation_requests", it.failing_server_probation_requests},
         {"success_percent", it.success_percent},
         {"p99_ms", it.p99_ms},
         {"retries_per_100", it.retries_per_100}});
  }
  for (const auto& it : measures.false_ejections) {
    json["false_ejections"].push_back(
        {{"condition", it.condition},
         {"policy", it.policy},
         {"server_days", it.server_days},
         {"ejections", it.ejections},
         {"instance_ejections", it.instance_ejections},
         {"per_server_day", it.per_server_day}});
  }
  for (const auto& it : measures.curve) {
    json["curve"].push_back(
        {{"policy", it.policy},
         {"false_per_server_day", it.false_per_server_day},
         {"weighted_per_server_day", it.weighted_per_server_day},
         {"median_s", it.median_s},
         {"mean_s", it.mean_s},
         {"p95_s", it.p95_s}});
  }
  return json;
}

}  // namespace ibisladder::experiment
