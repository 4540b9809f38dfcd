#ifndef TESTS_AUTO_DETECTION_POOL_H_
#define TESTS_AUTO_DETECTION_POOL_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "libs/detection/detector.h"

/// Simulates steady traffic to a pool of servers with one detector in virtual
/// time.
namespace ibisladder::detection {

/// Result of one attempt. With kAbandoned as `end` the attempt stays in flight
/// and is never reported as ended.
struct Answer {
  Duration latency = Millis(20);
  AttemptEnd end = AttemptEnd::kOk;
};

struct PendingAttempt {
  AttemptId attempt;
  TimePoint due;
  AttemptEnd end;
};

struct Pool {
  declarations::Service service;
  DetectorPtr detector;
  std::vector<Member> members;
  Random random;
  TimePoint now;
  std::uint64_t next_attempt = 1;
  std::vector<PendingAttempt> pending;
  std::vector<StateChange> changes;
};

/// Creates a pool of servers 1 to `servers`, all known from the start.
Pool MakePool(int servers, std::uint64_t seed,
              const declarations::Service& service = {},
              bool has_idempotent_routes = true);

BackendServerId Id(std::uint64_t server);

/// Returns a healthy answer: random latency with a tail, and rare errors.
Answer HealthyAnswer(Random& random);

/// Sends `rate` attempts per second to every server that is not leaving, for
/// `time`; a fifth as many on probation, none to ejected servers. `answer`
/// returns the result of each. Evaluates after each step of simulated time.
void RunTraffic(Pool& pool, Duration time, double rate,
                const std::function<Answer(BackendServerId)>& answer);

/// Runs one attempt from start to end, then evaluates.
void Send(Pool& pool, BackendServerId server, const Answer& answer);

void EvaluateNow(Pool& pool);

/// Whether `changes` contains an ejection.
bool AnyEjection(const Pool& pool);

}  // namespace ibisladder::detection

#endif  // TESTS_AUTO_DETECTION_POOL_H_
