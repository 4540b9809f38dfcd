#ifndef TOOLS_EXPERIMENT_POLICY_H_
#define TOOLS_EXPERIMENT_POLICY_H_

#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

#include "libs/detection/detector.h"
#include "tools/experiment/scenario.h"

/// Policies that eject failing servers: the product's detector and the simpler
/// policies that it is compared with. Each entry instance has its own policy.
namespace ibisladder::experiment {

/// Never ejects.
struct NoDetection {};

/// Ejects a server for a fixed time after `limit` consecutive failures.
struct ConsecutiveErrors {
  int limit = 5;
  Duration ejection = Seconds(30);
};

/// Ejects a server for a fixed time when the fraction of successful requests in
/// a sliding window falls below a limit.
struct SuccessRate {
  double limit = 0.85;
  int min_requests = 5;
  Duration window = Seconds(10);
  Duration ejection = Seconds(30);
};

/// The product's detector. A negative value stands for the number of false
/// ejections that each service tolerates.
struct GrayDetector {
  double tolerated_per_server_day = -1;
};

using PolicyKind =
    std::variant<NoDetection, ConsecutiveErrors, SuccessRate, GrayDetector>;

std::string NameOf(const PolicyKind& kind);

/// State of one server in the simpler policies.
struct ServerRecord {
  /// Consecutive failures.
  int failures = 0;
  TimePoint ejected_until;
  struct Sample {
    TimePoint when;
    bool ok;
  };
  std::deque<Sample> samples;
};

/// One instance's policy and its state.
struct Policy {
  PolicyKind kind;
  detection::DetectorPtr detector;
  std::vector<ServerRecord> records;
  /// Current state of each server for routing.
  std::vector<detection::ServerState> states;
  std::uint8_t floor_percent = 70;
};

BackendServerId ServerIdOf(int server);

Policy MakePolicy(const PolicyKind& kind, const ServiceProfile& service,
                  TimePoint now);
/// Sets which servers are in service. `live` has one flag per server.
void SetLiveServers(Policy& policy, const std::vector<bool>& live, int slots,
                    TimePoint now);
void RecordAttemptStart(Policy& policy, int server, AttemptId attempt,
                        TimePoint now);
void RecordAttemptEnd(Policy& policy, int server, AttemptId attempt,
                      detection::AttemptEnd end, TimePoint now, Random& random);
void UpdateStates(Policy& policy, TimePoint now, Random& random);

}  // namespace ibisladder::experiment

#endif  // TOOLS_EXPERIMENT_POLICY_H_
