#include "libs/routing/priority_retries.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibisladder::routing::Internal {
namespace {

constexpr double kPercent = 100;
/// The time over which users count second attempts.
constexpr Duration kMemory = Seconds(10);
/// Part of what is earned in that time that is added to the burst. The
/// percentage is four fifths of what users allow; both stay below the whole.
constexpr double kSavedPart = 0.2;
/// Part of the maximum balance that requests leave to those of higher priority,
/// if all first attempts are of higher priority.
constexpr double kReservedPart = 0.5;

double Decay(const PriorityRetries& retries, TimePoint now) {
  const Duration age = std::max(now - retries.counted_at, Duration{});
  return std::exp(-ToSeconds(age) / ToSeconds(kMemory));
}

double SumOf(const PriorityRetries& retries, std::size_t first_classes) {
  const auto& counts = retries.first_attempts;
  return std::accumulate(
      counts.begin(),
      counts.begin() + static_cast<std::ptrdiff_t>(first_classes), 0.0);
}

double MaxBalance(const PriorityRetries& retries, const RetryBudget& budget,
                  double decay) {
  if (budget.percent == 0) return 0;
  const double count = SumOf(retries, retries.first_attempts.size()) * decay;
  return budget.burst + kSavedPart * count * budget.percent / kPercent;
}

}  // namespace

void CountFirstAttempt(PriorityRetries& retries, const RetryBudget& budget,
                       declarations::Priority priority, TimePoint now) {
  const double decay = Decay(retries, now);
  for (double& it : retries.first_attempts) it *= decay;
  retries.counted_at = now;
  retries.first_attempts[static_cast<std::size_t>(priority)] += 1;
  retries.balance = std::min(retries.balance + budget.percent / kPercent,
                             MaxBalance(retries, budget, 1));
}

bool MayRetry(const PriorityRetries& retries, const RetryBudget& budget,
              declarations::Priority priority, bool is_hedge, TimePoint now) {
  const double most = MaxBalance(retries, budget, Decay(retries, now));
  const double balance = std::min(retries.balance, most);
  if (is_hedge && 2 * balance <= most) return false;
  const double all = SumOf(retries, retries.first_attempts.size());
  const double higher = SumOf(retries, static_cast<std::size_t>(priority));
  const double reserved =
      all > 0 ? kReservedPart * (most - 1) * higher / all : 0;
  return balance >= 1 + std::max(reserved, 0.0);
}

double EarnedPerSecond(const PriorityRetries& retries,
                       const RetryBudget& budget, TimePoint now) {
  const double count =
      SumOf(retries, retries.first_attempts.size()) * Decay(retries, now);
  return count / ToSeconds(kMemory) * budget.percent / kPercent;
}

}  // namespace ibisladder::routing::Internal
