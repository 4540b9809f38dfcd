#ifndef LIBS_ROUTING_PRIORITY_RETRIES_H_
#define LIBS_ROUTING_PRIORITY_RETRIES_H_

#include <array>

#include "libs/base/time.h"
#include "libs/declarations/declarations.h"
#include "libs/routing/retry_budget.h"

/// Retry budget from which requests of high priority are served first. The
/// burst grows with the number of requests, so that a quiet time pays for a
/// short lack of working servers.
namespace ibisladder::routing::Internal {

struct PriorityRetries {
  /// Retries that may be made now.
  double balance = 1;
  /// First attempts by priority; each one's weight decays to 1/e in 10 s.
  std::array<double, 3> first_attempts{};
  TimePoint counted_at;
};

/// Adds what a first attempt earns. `budget` gives percentage and burst.
void CountFirstAttempt(PriorityRetries& retries, const RetryBudget& budget,
                       declarations::Priority priority, TimePoint now);

/// Whether a retry is available that is not reserved for higher priorities. A
/// hedge needs more than half of the maximum balance.
bool MayRetry(const PriorityRetries& retries, const RetryBudget& budget,
              declarations::Priority priority, bool is_hedge, TimePoint now);

/// Returns the retries that first attempts earn per second.
double EarnedPerSecond(const PriorityRetries& retries,
                       const RetryBudget& budget, TimePoint now);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_PRIORITY_RETRIES_H_
