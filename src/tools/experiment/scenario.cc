#include "tools/experiment/scenario.h"

#include <algorithm>

namespace ibisladder::experiment {

std::vector<ServiceProfile> CurrentServices() {
  constexpr double kCumbreToleratedEjections = 0.05;
  constexpr double kBayouToleratedEjections = 0.5;
  return {
      {"cumbre/library", 10, 4, 250, Millis(40), Seconds(2), true,
       kCumbreToleratedEjections},
      {"cumbre/upload", 20, 4, 60, Millis(120), Seconds(10), false,
       kCumbreToleratedEjections},
      {"cumbre/billing", 6, 4, 4, Millis(150), Seconds(5), false,
       kCumbreToleratedEjections},
      {"bayou/job-board", 7, 4, 60, Millis(40), Seconds(2), true,
       kBayouToleratedEjections},
      {"bayou/dispatcher", 15, 3, 20, Millis(400), Seconds(15), false,
       kBayouToleratedEjections},
      {"bayou/rental-billing", 6, 3, 3, Millis(120), Seconds(5), false,
       kBayouToleratedEjections},
  };
}

std::vector<Failure> AllFailures() {
  return {Failure::kStall,   Failure::kSlow,     Failure::kErrors,
          Failure::kCorrupt, Failure::kFlapping, Failure::kOneDirectional};
}

std::vector<Condition> AllConditions() {
  return {Condition::kOrdinary, Condition::kSlowService, Condition::kBrokenLink,
          Condition::kColdStarts};
}

std::string NameOf(Failure failure) {
  switch (failure) {
    case Failure::kNone:
      return "none";
    case Failure::kStall:
      return "stall";
    case Failure::kSlow:
      return "slow";
    case Failure::kErrors:
      return "errors";
    case Failure::kCorrupt:
      return "corrupt";
    case Failure::kFlapping:
      return "flapping";
    case Failure::kOneDirectional:
      return "one-directional";
  }
  return "";
}

std::string NameOf(Condition condition) {
  switch (condition) {
    case Condition::kOrdinary:
      return "ordinary noise";
    case Condition::kSlowService:
      return "slow service";
    case Condition::kBrokenLink:
      return "broken link";
    case Condition::kColdStarts:
      return "cold starts";
  }
  return "";
}

Duration WarmUpFor(const ServiceProfile& service, int instances) {
  constexpr double kRequestsPerInstance = 40;
  const double seconds = kRequestsPerInstance * instances / service.rate;
  return std::max(Seconds(60), Seconds(static_cast<std::int64_t>(seconds)));
}

}  // namespace ibisladder::experiment
