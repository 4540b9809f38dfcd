#ifndef LIBS_LIMITS_QUOTA_BUCKET_H_
#define LIBS_LIMITS_QUOTA_BUCKET_H_

#include "libs/limits/quota_keeper.h"

/// The buckets of a keeper.
namespace ibisladder::limits::Internal {

/// Time constant of the grants from which holds are computed.
constexpr double kShareSeconds = 2.5;
constexpr double kMaxTokens = 1e6;
constexpr double kMinRate = 0.05;

double DepthOf(const Quota& quota, const Allowance& allowance);
/// Returns the rate at which a small bucket fills.
double SmallRateOf(const Quota& quota, const Allowance& allowance);
/// Returns the rate at which the first keeper's bucket fills.
double FirstRateOf(const KeptQuota& kept, const Allowance& allowance);
/// Fills the first keeper's bucket.
void Fill(KeptQuota& kept, const Allowance& allowance, TimePoint now);
/// Takes as many whole tokens as there are, `wanted` at most.
std::uint32_t Take(double& tokens, std::uint32_t wanted);
/// Returns the time until there is a token after those for the requests that
/// were denied before, and adds these requests.
Duration NextTurn(KeptQuota& kept, double tokens, double rate,
                  std::uint32_t denied, TimePoint now);

}  // namespace ibisladder::limits::Internal

#endif  // LIBS_LIMITS_QUOTA_BUCKET_H_
