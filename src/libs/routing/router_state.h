#ifndef LIBS_ROUTING_ROUTER_STATE_H_
#define LIBS_ROUTING_ROUTER_STATE_H_

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "libs/routing/priority_retries.h"
#include "libs/routing/retry_budget.h"
#include "libs/routing/router.h"
#include "libs/routing/server_load.h"
#include "libs/routing/wait_queue.h"

/// State of the router of one service.
namespace ibisladder::routing {

namespace Internal {
/// Longer gaps between first attempts count as this.
constexpr Duration kMaxGap = Seconds(10);
/// Time in which the memory of the rate of first attempts decays to 1/e.
constexpr Duration kRateMemory = Seconds(2);
/// From this fraction of unserved attempts on, at-most-once requests may go to
/// servers on trial if the floor is not met, and servers of other zones get
/// requests. Users expect the fleet to meet the floor once a tenth is unserved,
/// so the value is lower than that.
constexpr double kHighUnservedRatio = 0.07;
}  // namespace Internal

struct Router {
  ZoneName own_zone;
  Duration warm_up{};
  std::size_t queue_limit = 0;
  std::size_t users_per_server = 1;
  ChoiceSettings choice;
  Share share;
  /// Indexes of all servers in the order in which this instance prefers them
  /// when requests are rare; empty without a share.
  std::vector<std::uint32_t> share_order;
  std::vector<Internal::ServerLoad> servers;
  std::unordered_map<BackendServerId, std::uint32_t> index;
  /// Indexes of open servers by kind.
  std::vector<std::uint32_t> own_healthy;
  std::vector<std::uint32_t> healthy;
  /// Last resorts without Candidate::fails_fast.
  std::vector<std::uint32_t> last_resort;
  /// Last resorts with Candidate::fails_fast.
  std::vector<std::uint32_t> fails_fast_last_resort;
  /// Servers on probation and last resorts on trial.
  std::vector<std::uint32_t> on_trial;
  Internal::RetryBudget retries;
  /// Retries after definite sheds use `retries`, too.
  bool shares_retry_budget = false;
  /// For retries after definite sheds.
  Internal::RetryBudget shed_retries;
  Internal::WaitQueue queue;
  /// Decisions for queued calls that Pump has not yet returned.
  std::vector<Placed> decided;
  /// Mean latency of good answers; zero until the first.
  Duration mean_latency{};
  /// Percentage of servers that the operator wants in service. The detector
  /// applies the same setting to slots.
  std::uint8_t floor_percent = 0;
  /// Moving average: fraction of the attempts at servers not on trial that were
  /// not served.
  double unserved_ratio = 0;
  /// Moving average: fraction of the calls of all routes that use the service
  /// that were not served.
  double unserved_calls = 0;
  /// Mean number of other instances' requests per server, from load reports.
  double mean_other_load = 0;
  /// Moving averages: fraction of the attempts that were declined, and load per
  /// slot in reports.
  double decline_ratio = 0;
  double reported_load = 0;
  /// When the latest report arrived.
  TimePoint load_reported_at;
  /// Retries use `priority_retries` in place of the other budgets.
  bool retries_by_priority = false;
  Internal::PriorityRetries priority_retries;
  /// Mean time between first attempts on this instance, and the time of the
  /// latest one.
  Duration mean_gap = Internal::kMaxGap;
  TimePoint last_first_attempt;
  /// First attempts per second at the time of the latest one; decays with
  /// kRateMemory.
  double request_rate = 0;
  std::uint32_t first_attempts = 0;
  /// When the latest first attempt of each priority was placed.
  std::array<TimePoint, kPriorities> last_arrivals{};
  /// See SetKnownFailing.
  std::size_t known_failing = 0;
  std::uint32_t in_flight = 0;
  /// Requests placed since a server on trial got one; only those whose repeat
  /// rule allows a trial count.
  std::uint32_t since_trial = 0;
};

namespace Internal {

/// Returns a random time in [base, 2 * base), so that callers do not return
/// simultaneously.
Duration JitterRetryAfter(Duration base, Random& random);

/// Records that a dispatched attempt has ended, or is not sent.
void EndInFlight(Router& router, ServerLoad& server);

}  // namespace Internal

}  // namespace ibisladder::routing

#endif  // LIBS_ROUTING_ROUTER_STATE_H_
