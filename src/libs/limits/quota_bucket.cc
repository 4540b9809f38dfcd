#include "libs/limits/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace ibisladder::limits::Internal {
namespace {

constexpr Duration kSumInterval = Millis(50);
/// Part of the rate that a first keeper grants without claims if its process
/// has just started. Usually the whole fleet has, and nobody claims anything;
/// else a former keeper grants beside it until it hears of this one, within a
/// second.
constexpr double kPartAfterStart = 0.7;
constexpr Duration kHolderLife = Seconds(10);

Duration FromSeconds(double seconds) {
  constexpr double kMicrosPerSecond = 1e6;
  const double micros = std::clamp(seconds, 0.0, 3600.0) * kMicrosPerSecond;
  return Micros(static_cast<std::int64_t>(micros));
}

/// Recomputes the sums, and lets the shares of the holders decay.
void Sum(KeptQuota& kept, TimePoint now) {
  const Duration age = now - kept.summed_at;
  if (age < kSumInterval) return;
  const double decay = std::exp(-ToSeconds(age) / kShareSeconds);
  kept.summed_at = now;
  kept.granted = 0;
  kept.claims = 0;
  kept.silent_holds = 0;
  std::erase_if(kept.holders, [&](const auto& it) {
    return now - it.second.heard_at > kHolderLife;
  });
  for (auto& [name, it] : kept.holders) {
    it.granted *= decay;
    kept.granted += it.granted;
    if (kept.claims_since && it.claimed_at >= *kept.claims_since) {
      kept.claims += it.claim;
    }
    const Duration silence = now - it.heard_at;
    const bool is_silent =
        silence >= kSilenceTime && silence < kSilenceTime + kHoldTime;
    if (is_silent) kept.silent_holds += it.hold_rate;
  }
}

}  // namespace

double DepthOf(const Quota& quota, const Allowance& allowance) {
  return std::max(quota.burst, 1.0) + allowance.extra_tokens +
         quota.rate.value() * allowance.extra_seconds;
}

double SmallRateOf(const Quota& quota, const Allowance& allowance) {
  const double rate = quota.rate.value();
  return std::min(rate, allowance.small_rate + rate * allowance.small_part);
}

double FirstRateOf(const KeptQuota& kept, const Allowance& allowance) {
  double rate = kept.quota.rate.value();
  if (kept.claims_since) {
    const double claimed = kept.claims + SmallRateOf(kept.quota, allowance);
    const double started = kept.is_after_start ? kPartAfterStart * rate : 0;
    rate = std::min(rate, std::max(claimed, started));
  }
  return std::max(rate - kept.silent_holds, 0.0);
}

void Fill(KeptQuota& kept, const Allowance& allowance, TimePoint now) {
  Sum(kept, now);
  const double seconds = std::max(ToSeconds(now - kept.filled_at), 0.0);
  kept.tokens = std::min(kept.tokens + seconds * FirstRateOf(kept, allowance),
                         DepthOf(kept.quota, allowance));
  kept.filled_at = now;
}

std::uint32_t Take(double& tokens, std::uint32_t wanted) {
  const double whole = std::floor(std::clamp(tokens, 0.0, kMaxTokens));
  const auto granted = std::min(wanted, static_cast<std::uint32_t>(whole));
  tokens -= granted;
  return granted;
}

Duration NextTurn(KeptQuota& kept, double tokens, double rate,
                  std::uint32_t denied, TimePoint now) {
  const double usable_rate = std::max(rate, kMinRate);
  const TimePoint first = now + FromSeconds((1 - tokens) / usable_rate);
  const TimePoint turn =
      std::clamp(std::max(kept.turn, first), now, now + kMaxRetryAfter);
  kept.turn = turn + FromSeconds(denied / usable_rate);
  return turn - now;
}

}  // namespace ibisladder::limits::Internal
