#ifndef TOOLS_EXPERIMENT_SCENARIO_H_
#define TOOLS_EXPERIMENT_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/time.h"

/// What the experiments run: services, gray failures and conditions in which
/// healthy servers must stay in service.
namespace ibisladder::experiment {

/// One service with its ordinary behaviour.
struct ServiceProfile {
  std::string name;
  int servers = 6;
  int slots = 4;
  /// Requests a second over all instances.
  double rate = 10;
  Duration median = Millis(50);
  Duration deadline = Seconds(5);
  bool idempotent = false;
  double tolerated_per_server_day = 0.1;
};

/// The services of both users at their size of today.
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
  /// Time for the instances to learn what is normal.
  Duration warm_up = Seconds(60);
  /// Time that is measured.
  Duration measured_time = Seconds(60);
  std::uint64_t seed = 1;
};

/// Long enough for every instance to see some dozens of requests.
Duration WarmUpFor(const ServiceProfile& service, int instances);

/// Ordinary noise, alike for every service.
struct Noise {
  /// Sigma of the lognormal service time.
  double sigma = 0.5;
  /// Share of requests that take several times as long.
  double tail_fraction = 0.005;
  double tail_factor = 6;
  double error_fraction = 0.002;
  /// Servers differ by up to this share in speed.
  double server_spread = 0.15;
  /// Every server halts for a moment now and then.
  Duration mean_pause_interval = Seconds(60);
  Duration max_pause = Millis(200);
};

/// Shape of the gray failures.
constexpr double kSlowFactor = 8;
constexpr double kErrorFraction = 0.5;
constexpr double kCorruptFraction = 0.2;
constexpr double kFlapErrorFraction = 0.8;
constexpr Duration kFlapPhase = Seconds(8);
/// One-directional: one of this many zones still hears the server.
constexpr int kZones = 3;

/// Shape of the conditions: each lasts for the first part of every period.
constexpr Duration kConditionPeriod = Seconds(240);
constexpr Duration kConditionLength = Seconds(60);
constexpr double kSlowServiceFactor = 2.5;
constexpr Duration kReplacementPeriod = Seconds(90);
constexpr Duration kReplacementGap = Seconds(5);
constexpr Duration kColdTime = Seconds(8);
constexpr double kColdFactor = 5;

}  // namespace ibisladder::experiment

#endif  // TOOLS_EXPERIMENT_SCENARIO_H_
