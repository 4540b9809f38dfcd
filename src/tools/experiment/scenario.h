#ifndef TOOLS_EXPERIMENT_SCENARIO_H_
#define TOOLS_EXPERIMENT_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/time.h"

/// Inputs of the experiments: services, gray failures, and conditions under
/// which healthy servers must stay in service.
namespace ibisladder::experiment {

/// One service and its behaviour without failures.
struct ServiceProfile {
  std::string name;
  int servers = 6;
  int slots = 4;
  /// Requests per second, summed over all entry instances.
  double rate = 10;
  Duration median = Millis(50);
  Duration deadline = Seconds(5);
  bool idempotent = false;
  /// Tolerated false ejections per server and day.
  double tolerated_per_server_day = 0.1;
};

/// The services of both users at their current sizes.
std::vector<ServiceProfile> CurrentServices();

enum class Failure : std::uint8_t {
  kNone,
  kStall,
  kSlow,
  kErrors,
  kCorrupt,
  kFlapping,
  kOneDirectional,
};

enum class Condition : std::uint8_t {
  kOrdinary,
  kSlowService,
  kBrokenLink,
  kColdStarts,
};

std::vector<Failure> AllFailures();
std::vector<Condition> AllConditions();
std::string NameOf(Failure failure);
std::string NameOf(Condition condition);

/// One run of the emulator.
struct Scenario {
  ServiceProfile service;
  int instances = 36;
  Failure failure = Failure::kNone;
  Condition condition = Condition::kOrdinary;
  /// Time in which the instances record the usual behaviour of the servers.
  Duration warm_up = Seconds(60);
  /// Time after the warm-up whose results are counted.
  Duration measured_time = Seconds(60);
  std::uint64_t seed = 1;
};

/// Returns a time in which each instance sees 40 requests on average, but at
/// least 60 s.
Duration WarmUpFor(const ServiceProfile& service, int instances);

/// Variation of healthy servers, the same for every service.
struct Noise {
  /// Sigma of the log-normal distribution of execution times.
  double sigma = 0.5;
  /// Fraction of requests that take `tail_factor` times as long.
  double tail_fraction = 0.005;
  double tail_factor = 6;
  double error_fraction = 0.002;
  /// Maximum relative deviation of a server's execution times from the median.
  double server_spread = 0.15;
  /// Mean time between the pauses of a server, and maximum length of a pause.
  /// An execution that ends in a pause is delayed until the end of the pause.
  Duration mean_pause_interval = Seconds(60);
  Duration max_pause = Millis(200);
};

/// Gray failures: factor on the execution time, and fractions of requests that
/// fail.
constexpr double kSlowFactor = 8;
constexpr double kErrorFraction = 0.5;
constexpr double kCorruptFraction = 0.2;
constexpr double kFlapErrorFraction = 0.8;
/// A flapping server alternates between failing and healthy phases.
constexpr Duration kFlapPhase = Seconds(8);
/// In a one-directional failure, only instances in one of these zones still
/// receive the server's answers.
constexpr int kZones = 3;

/// A slow service and a broken link last for kConditionLength at the start of
/// each kConditionPeriod.
constexpr Duration kConditionPeriod = Seconds(240);
constexpr Duration kConditionLength = Seconds(60);
constexpr double kSlowServiceFactor = 2.5;
/// With cold starts, a random server is replaced in each period: it is gone for
/// the gap and slow for kColdTime after its return, with a factor that falls
/// linearly from kColdFactor to 1.
constexpr Duration kReplacementPeriod = Seconds(90);
constexpr Duration kReplacementGap = Seconds(5);
constexpr Duration kColdTime = Seconds(8);
constexpr double kColdFactor = 5;

}  // namespace ibisladder::experiment

#endif  // TOOLS_EXPERIMENT_SCENARIO_H_
