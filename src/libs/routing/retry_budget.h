#ifndef LIBS_ROUTING_RETRY_BUDGET_H_
#define LIBS_ROUTING_RETRY_BUDGET_H_

#include <cstdint>

/// Limits retries to a percentage of first attempts, so that they cannot
/// multiply the load of a failing service.
namespace ibisladder::routing::Internal {

struct RetryBudget {
  /// In hundredths of a retry.
  std::uint32_t balance = 0;
  std::uint8_t percent = 0;
  /// Maximum number of saved retries, and the initial number.
  std::uint8_t burst = 0;
};

RetryBudget MakeRetryBudget(std::uint8_t percent, std::uint8_t burst);
/// Keeps the balance up to its new maximum, which is 0 for a percentage of 0.
void SetPercent(RetryBudget& budget, std::uint8_t percent);
void CountFirstAttempt(RetryBudget& budget);
/// Subtracts one retry; MayRetry must hold.
void SpendRetry(RetryBudget& budget);

bool MayRetry(const RetryBudget& budget);
/// Whether a retry is available and the balance is above half of its maximum.
bool MayHedge(const RetryBudget& budget);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_RETRY_BUDGET_H_
