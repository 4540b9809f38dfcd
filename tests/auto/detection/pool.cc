#include "tests/auto/detection/pool.h"

#include <algorithm>
#include <cmath>

namespace ibisladder::detection {
namespace {

constexpr Duration kStep = Millis(10);
/// Fraction of the traffic that a server on probation gets.
constexpr double kProbationTraffic = 0.2;

double TrafficFactor(ServerState state) {
  if (state == ServerState::kEjected) return 0;
  return state == ServerState::kProbation ? kProbationTraffic : 1;
}

void Start(Pool& pool, BackendServerId server, const Answer& answer) {
  const AttemptId attempt(pool.next_attempt++);
  AttemptStarted(*pool.detector, server, attempt, pool.now);
  pool.pending.push_back({attempt, pool.now + answer.latency, answer.end});
}

void EndDue(Pool& pool) {
  std::stable_sort(pool.pending.begin(), pool.pending.end(),
                   [](const auto& a, const auto& b) { return a.due < b.due; });
  std::erase_if(pool.pending, [&](const PendingAttempt& it) {
    if (it.due > pool.now || it.end == AttemptEnd::kAbandoned) return false;
    AttemptEnded(*pool.detector, it.attempt, it.end, it.due);
    return true;
  });
}

}  // namespace

Pool MakePool(int servers, std::uint64_t seed,
              const declarations::Service& service,
              bool has_idempotent_routes) {
  Pool pool{.service = service, .random = Random(seed)};
  pool.now += Seconds(1);
  pool.detector = MakeDetector(service, has_idempotent_routes, pool.now);
  for (int i = 1; i <= servers; ++i) pool.members.push_back({Id(i)});
  SetMembers(*pool.detector, pool.members, pool.now);
  return pool;
}

BackendServerId Id(std::uint64_t server) { return BackendServerId(server); }

Answer HealthyAnswer(Random& random) {
  const double tail = UniformUnit(random) < 0.01 ? 5 : 1;
  const double factor = std::exp(UniformUnit(random) - 0.5) * tail;
  return {Duration(static_cast<std::int64_t>(20000 * factor)),
          UniformUnit(random) < 0.002 ? AttemptEnd::kError : AttemptEnd::kOk};
}

void RunTraffic(Pool& pool, Duration time, double rate,
                const std::function<Answer(BackendServerId)>& answer) {
  const TimePoint until = pool.now + time;
  const double chance = rate * ToSeconds(kStep);
  while (pool.now < until) {
    for (const auto& it : pool.members) {
      const double factor = TrafficFactor(StateOf(*pool.detector, it.id));
      if (it.leaving || UniformUnit(pool.random) >= chance * factor) continue;
      Start(pool, it.id, answer(it.id));
    }
    pool.now += kStep;
    EndDue(pool);
    EvaluateNow(pool);
  }
}

void Send(Pool& pool, BackendServerId server, const Answer& answer) {
  Start(pool, server, answer);
  pool.now += answer.latency;
  EndDue(pool);
  EvaluateNow(pool);
}

void EvaluateNow(Pool& pool) {
  const auto changes = Evaluate(*pool.detector, pool.now, pool.random);
  pool.changes.insert(pool.changes.end(), changes.begin(), changes.end());
}

bool AnyEjection(const Pool& pool) {
  return std::any_of(
      pool.changes.begin(), pool.changes.end(),
      [](const auto& it) { return it.to == ServerState::kEjected; });
}

}  // namespace ibisladder::detection
