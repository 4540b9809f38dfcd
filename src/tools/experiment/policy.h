#ifndef TOOLS_EXPERIMENT_POLICY_H_
#define TOOLS_EXPERIMENT_POLICY_H_

#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

#include "libs/detection/detector.h"
#include "tools/experiment/scenario.h"

/// Ways to keep sick servers out of service: the product's detector and the
/// baselines that it is measured against. One policy per entry instance.
namespace ibisladder::experiment {

/// Never ejects.
struct NoDetection {};

/// Ejects for a fixed time after a number of failures in a row.
struct ConsecutiveErrors {
  int limit = 5;
  Duration ejection = Seconds(30);
};

/// Ejects for a fixed time when the share of good answers in a window falls
/// below a limit.
struct SuccessRate {
  double limit = 0.85;
  int min_requests = 5;
  Duration window = Seconds(10);
  Duration ejection = Seconds(30);
};

/// The product's detector; below 0: the trade of each service.
struct GrayDetector {
  double tolerated_per_server_day = -1;
};

using PolicyKind =
    std::variant<NoDetection, ConsecutiveErrors, SuccessRate, GrayDetector>;

std::string NameOf(const PolicyKind& kind);

/// What a baseline remembers of one server.
struct ServerRecord {
  int failures = 0;
  TimePoint ejected_until;
  struct Sample {
    TimePoint when;
    bool ok;
  };
  std::deque<Sample> samples;
};

/// One instance's policy with its state.
struct Policy {
  PolicyKind kind;
  detection::DetectorPtr detector;
  std::vector<ServerRecord> records;
  /// What routing may do with each server now.
  std::vector<detection::ServerState> states;
  std::uint8_t floor_percent = 70;
};

BackendServerId ServerIdOf(int server);

Policy MakePolicy(const PolicyKind& kind, const ServiceProfile& service,
                  TimePoint now);
/// `live`: one flag per server.
void SetLiveServers(Policy& policy, const std::vector<bool>& live, int slots,
                    TimePoint now);
void RecordAttemptStart(Policy& policy, int server, AttemptId attempt,
                        TimePoint now);
void RecordAttemptEnd(Policy& policy, int server, AttemptId attempt,
                      detection::AttemptEnd end, TimePoint now, Random& random);
void UpdateStates(Policy& policy, TimePoint now, Random& random);

}  // namespace ibisladder::experiment

#endif  // TOOLS_EXPERIMENT_POLICY_H_
