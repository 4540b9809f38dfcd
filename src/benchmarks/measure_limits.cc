// Compares ways in which instances keep together the limits that backend
// servers name, in virtual time, and prints a table. All servers of one service
// have the same limit; calls arrive at random instances and try servers in
// random order.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/gateway/server_limits.h"

namespace ibisladder::benchmarks {
namespace {

enum class Way : std::uint8_t {
  kEachAlone,     ///< Each instance keeps the whole limit.
  kEqualShares,   ///< Each keeps an equal share, and may save one request.
  kDemandShares,  ///< Shares by demand, which instances tell each other.
  kFewInstances,  ///< One instance per server sends to it.
  kKeeper,        ///< One instance per server gives permits to all.
};

struct Scenario {
  int instances = 44;
  int servers = 12;
  double limit = 1.8;
  /// Calls a second, as a multiple of all limits together.
  double demand = 2;
  /// Part of the instances that have callers.
  double with_callers = 1;
};

struct Outcome {
  /// Most requests that one server got within 4 s, as a multiple of what users
  /// allow.
  double most = 0;
  /// Requests that the servers got, as a part of all limits.
  double used = 0;
  /// Served calls, as a part of those that all limits together allow.
  double served = 0;
  /// Messages a second and instance.
  double messages = 0;
};

constexpr double kSeconds = 60;
constexpr double kWarmUpSeconds = 10;
constexpr double kStep = 0.001;
constexpr double kWindow = 4;
/// Interval at which instances tell their demand.
constexpr double kTellInterval = 0.5;
constexpr double kDemandMemory = 2;
constexpr int kMaxDenials = 4;

struct Bucket {
  double tokens = 0;
  double filled_at = 0;
};

struct Model {
  Scenario scenario;
  Way way = Way::kKeeper;
  Random random{1};
  /// By instance and server, or by server alone.
  std::vector<Bucket> buckets;
  std::vector<gateway::PermitBucket> permits;
  /// Calls a second of each instance, and as last told to the others.
  std::vector<double> demand;
  std::vector<double> told;
  double all_told = 0;
  std::vector<std::vector<double>> sent;
  double messages = 0;
  double served = 0;
  double calls = 0;
};

Bucket& BucketOf(Model& model, int instance, int server) {
  return model.buckets[static_cast<std::size_t>(instance) *
                           static_cast<std::size_t>(model.scenario.servers) +
                       static_cast<std::size_t>(server)];
}

bool Take(Bucket& bucket, double rate, double capacity, double now) {
  bucket.tokens = std::min(bucket.tokens + rate * (now - bucket.filled_at),
                           std::max(capacity, 1.0));
  bucket.filled_at = now;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

TimePoint TimeOf(double seconds) {
  return TimePoint(Micros(static_cast<std::int64_t>(seconds * 1e6)));
}

bool MaySend(Model& model, int instance, int server, double now) {
  const double limit = model.scenario.limit;
  Bucket& bucket = BucketOf(model, instance, server);
  switch (model.way) {
    case Way::kEachAlone:
      return Take(bucket, limit, limit, now);
    case Way::kEqualShares: {
      const double rate = limit / model.scenario.instances;
      return Take(bucket, rate, rate, now);
    }
    case Way::kDemandShares: {
      const auto i = static_cast<std::size_t>(instance);
      const double part =
          model.all_told <= 0 ? 0 : model.told[i] / model.all_told;
      return Take(bucket, limit * part, limit * part, now);
    }
    case Way::kFewInstances:
      return server % model.scenario.instances == instance &&
             Take(bucket, limit, 2 + limit / 4, now);
    case Way::kKeeper:
      model.messages += 2;
      return !gateway::TakePermit(
          model.permits[static_cast<std::size_t>(server)],
          RequestsPerSecond(limit), gateway::KeeperRank::kFirst,
          declarations::Priority::kHigh, TimeOf(now));
  }
  return false;
}

void TellDemand(Model& model) {
  model.told = model.demand;
  model.all_told = 0;
  for (const double it : model.told) model.all_told += it;
  const double n = model.scenario.instances;
  if (model.way == Way::kDemandShares) model.messages += n * (n - 1);
}

void Arrive(Model& model, double now) {
  const int with_callers = std::max(
      1,
      static_cast<int>(model.scenario.instances * model.scenario.with_callers));
  const auto instance = static_cast<int>(
      UniformBelow(model.random, static_cast<std::uint64_t>(with_callers)));
  model.demand[static_cast<std::size_t>(instance)] += 1 / kDemandMemory;
  if (now >= kWarmUpSeconds) ++model.calls;
  const auto servers = static_cast<std::uint64_t>(model.scenario.servers);
  const auto start = static_cast<int>(UniformBelow(model.random, servers));
  const int tries =
      model.way == Way::kKeeper ? kMaxDenials : model.scenario.servers;
  for (int i = 0; i < std::min(tries, model.scenario.servers); ++i) {
    const int server = (start + i) % model.scenario.servers;
    if (!MaySend(model, instance, server, now)) continue;
    if (now < kWarmUpSeconds) return;
    model.sent[static_cast<std::size_t>(server)].push_back(now);
    ++model.served;
    return;
  }
}

double MostAllowed(const Model& model) {
  std::size_t most = 0;
  for (const auto& times : model.sent) {
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
      while (times[i] - times[first] >= kWindow) ++first;
      most = std::max(most, i - first + 1);
    }
  }
  return static_cast<double>(most) /
         std::floor(1.5 * kWindow * model.scenario.limit + 5);
}

Outcome Measure(const Scenario& scenario, Way way) {
  Model model;
  model.scenario = scenario;
  model.way = way;
  const auto instances = static_cast<std::size_t>(scenario.instances);
  const auto servers = static_cast<std::size_t>(scenario.servers);
  model.buckets.resize(instances * servers, Bucket{1, 0});
  model.permits.resize(servers);
  model.demand.resize(instances);
  model.sent.resize(servers);
  const double limits = scenario.limit * scenario.servers;
  const double rate = scenario.demand * limits;
  double next_arrival = 0;
  double next_tell = 0;
  for (double now = 0; now < kSeconds + kWarmUpSeconds; now += kStep) {
    for (; next_arrival <= now;
         next_arrival -= std::log(1 - UniformUnit(model.random)) / rate) {
      Arrive(model, now);
    }
    if (now < next_tell) continue;
    next_tell = now + kTellInterval;
    TellDemand(model);
    const double decay = std::exp(-kTellInterval / kDemandMemory);
    for (double& it : model.demand) it *= decay;
  }
  const double possible = std::min(limits * kSeconds, model.calls);
  return {MostAllowed(model), model.served / (limits * kSeconds),
          model.served / possible,
          model.messages / (kSeconds + kWarmUpSeconds) / scenario.instances};
}

void PrintRows(const Scenario& scenario) {
  const std::pair<Way, const char*> ways[] = {
      {Way::kEachAlone, "each alone"},
      {Way::kEqualShares, "equal shares"},
      {Way::kDemandShares, "shares by demand"},
      {Way::kFewInstances, "one instance per server"},
      {Way::kKeeper, "permits of a keeper"}};
  for (const auto& [way, name] : ways) {
    const Outcome it = Measure(scenario, way);
    std::printf(
        "| %d | %.1f | %.1f | %.0f%% | %s | %.2f | %.2f | %.2f | %.2f |\n",
        scenario.instances, scenario.limit, scenario.demand,
        100 * scenario.with_callers, name, it.most, it.used, it.served,
        it.messages);
  }
}

}  // namespace
}  // namespace ibisladder::benchmarks

int main() {
  using ibisladder::benchmarks::PrintRows;
  using ibisladder::benchmarks::Scenario;
  std::printf(
      "| instances | limit | demand | with callers | way | most in 4 s / "
      "allowed | requests / limits | served / possible | messages a second and "
      "instance |\n|---|---|---|---|---|---|---|---|---|\n");
  for (const int instances : {8, 44, 124, 540}) {
    for (const double limit : {0.2, 1.8, 50.0}) {
      PrintRows({instances, 12, limit, 2, 1});
    }
    PrintRows({instances, 12, 1.8, 0.7, 1});
    PrintRows({instances, 12, 1.8, 2, 0.25});
  }
  return 0;
}
