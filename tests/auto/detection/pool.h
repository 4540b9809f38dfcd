#ifndef TESTS_AUTO_DETECTION_POOL_H_
#define TESTS_AUTO_DETECTION_POOL_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "libs/detection/detector.h"

/// A pool of servers with steady traffic before one detector, in virtual time.
namespace ibisladder::detection {

/// How one attempt goes; kAbandoned as `end`: it stays in flight.
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

/// Servers 1 to `servers`, all known from the start.
Pool MakePool(int servers, std::uint64_t seed,
              const declarations::Service& service = {},
              bool has_idempotent_routes = true);

BackendServerId Id(std::uint64_t server);

/// Latency of a healthy answer: noise with a tail.
Answer HealthyAnswer(Random& random);

/// Sends `rate` attempts a second to every server that may get work, for
/// `time`; `answer` says how each goes. Evaluates as the caller path does.
void RunTraffic(Pool& pool, Duration time, double rate,
                const std::function<Answer(BackendServerId)>& answer);

/// One attempt from start to end, then an evaluation.
void Send(Pool& pool, BackendServerId server, const Answer& answer);

void EvaluateNow(Pool& pool);

/// Whether any server was ever taken out of service.
bool AnyEjection(const Pool& pool);

}  // namespace ibisladder::detection

#endif  // TESTS_AUTO_DETECTION_POOL_H_
