#include "libs/routing/retry_budget.h"

#include <algorithm>

namespace ibisladder::routing::Internal {
namespace {

/// One retry, in hundredths.
constexpr std::uint32_t kOneRetry = 100;

std::uint32_t Cap(const RetryBudget& budget) {
  return budget.percent == 0 ? 0 : budget.burst * kOneRetry;
}

}  // namespace

RetryBudget MakeRetryBudget(std::uint8_t percent, std::uint8_t burst) {
  RetryBudget budget;
  budget.percent = percent;
  budget.burst = burst;
  budget.balance = Cap(budget);
  return budget;
}

void SetPercent(RetryBudget& budget, std::uint8_t percent) {
  budget.percent = percent;
  budget.balance = std::min(budget.balance, Cap(budget));
}

void CountFirstAttempt(RetryBudget& budget) {
  budget.balance = std::min(budget.balance + budget.percent, Cap(budget));
}

void SpendRetry(RetryBudget& budget) { budget.balance -= kOneRetry; }

bool MayRetry(const RetryBudget& budget) { return budget.balance >= kOneRetry; }

bool MayHedge(const RetryBudget& budget) {
  return MayRetry(budget) && 2 * budget.balance > Cap(budget);
}

}  // namespace ibisladder::routing::Internal
