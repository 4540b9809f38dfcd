#include "libs/limits/credit_tokens.h"

#include <algorithm>
#include <cmath>

namespace ibisladder::limits::Internal {
namespace {

constexpr Duration kForgetTime = Seconds(10);
/// Arrivals of this time are asked for in advance.
constexpr double kAdvanceSeconds = 0.2;
/// Time constant of the rate of arrivals.
constexpr double kArrivalSeconds = 0.5;
/// Seconds of a hold that are saved up.
constexpr double kHoldSeconds = 0.25;

}  // namespace

double ExpectedArrivals(const OrganisationCredit& credit, TimePoint now) {
  const double age = std::max(ToSeconds(now - credit.arrived_at), 0.0);
  return credit.arrivals * std::exp(-age / kArrivalSeconds) / kArrivalSeconds *
         kAdvanceSeconds;
}

void RecordArrival(OrganisationCredit& credit, TimePoint now) {
  const double age = std::max(ToSeconds(now - credit.arrived_at), 0.0);
  credit.arrivals = credit.arrivals * std::exp(-age / kArrivalSeconds) + 1;
  credit.arrived_at = now;
}

void Shift(OrganisationCredit& credit, TimePoint now) {
  while (now - credit.second >= Seconds(1)) {
    if (now - credit.second > kForgetTime) {
      credit.admitted = {};
      credit.second = now;
      return;
    }
    std::rotate(credit.admitted.begin(), credit.admitted.end() - 1,
                credit.admitted.end());
    credit.admitted.front() = 0;
    credit.second += Seconds(1);
  }
}

std::uint32_t RecentOf(OrganisationCredit& credit, TimePoint now) {
  Shift(credit, now);
  std::uint32_t n = 0;
  for (const std::uint32_t it : credit.admitted) n += it;
  return n;
}

std::uint32_t TokensOf(const OrganisationCredit& credit) {
  std::uint32_t n = 0;
  for (const CreditBatch& it : credit.batches) n += it.tokens;
  return n;
}

void ExpireCredit(OrganisationCredit& credit, TimePoint now) {
  std::erase_if(credit.batches, [&](const CreditBatch& it) {
    if (it.tokens > 0 && now < it.expires_at) return false;
    credit.expired += it.tokens;
    return true;
  });
}

namespace {

std::optional<CreditResult> TakeToken(OrganisationCredit& credit,
                                      TimePoint now) {
  ExpireCredit(credit, now);
  if (credit.batches.empty()) return std::nullopt;
  --credit.batches.front().tokens;
  return credit.batches.front().source;
}

bool TakeHold(OrganisationCredit& credit, TimePoint now) {
  const bool is_usable = credit.is_first_silent &&
                         now >= credit.hold_filled_at &&
                         now < credit.first_replied_at + kHoldTime;
  if (!is_usable) return false;
  const double gained =
      credit.hold_rate * ToSeconds(now - credit.hold_filled_at);
  credit.hold_filled_at = now;
  credit.hold_tokens = std::min(credit.hold_tokens + gained,
                                std::max(credit.hold_rate * kHoldSeconds, 1.0));
  if (credit.hold_tokens < 1) return false;
  credit.hold_tokens -= 1;
  return true;
}

}  // namespace

std::optional<CreditResult> TakeLocal(OrganisationCredit& credit,
                                      TimePoint now) {
  auto result = TakeToken(credit, now);
  if (!result && TakeHold(credit, now)) result = CreditResult::kHold;
  if (result) {
    Shift(credit, now);
    ++credit.admitted.front();
  }
  return result;
}

}  // namespace ibisladder::limits::Internal
