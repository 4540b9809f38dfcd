#ifndef LIBS_ROUTING_RETRY_BUDGET_H_
#define LIBS_ROUTING_RETRY_BUDGET_H_

#include <cstdint>

/// Retries as a share of first attempts, so that they cannot multiply the load
/// of a failing service.
namespace ibisladder::routing::Internal {

struct RetryBudget {
  /// In hundredths of a retry.
  std::uint32_t balance = 0;
  std::uint8_t percent = 0;
  /// Retries that may be saved up, and that are there at the start.
  std::uint8_t burst = 0;
};

RetryBudget MakeRetryBudget(std::uint8_t percent, std::uint8_t burst);
/// Keeps what is saved, as far as the new share allows.
void SetPercent(RetryBudget& budget, std::uint8_t percent);
void CountFirstAttempt(RetryBudget& budget);
/// Takes one retry.
void SpendRetry(RetryBudget& budget);

bool MayRetry(const RetryBudget& budget);
/// Whether more than half of what may be saved is there.
bool MayHedge(const RetryBudget& budget);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_RETRY_BUDGET_H_
