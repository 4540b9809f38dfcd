#ifndef LIBS_LIMITS_CREDIT_WAITS_H_
#define LIBS_LIMITS_CREDIT_WAITS_H_

#include "libs/limits/credit.h"

/// Requests that wait for credit, and how their waits end.
namespace ibisladder::limits::Internal {

constexpr Duration kMaxWait = Millis(100);
constexpr Duration kNoReplyRetryAfter = Millis(300);

/// Admits waiting requests with what is available here.
void AdmitWaiting(Quotas& quotas, OrganisationCredit& credit, TimePoint now);
/// Denies a request; without the first keeper it is not known whether the
/// organisation is over its quota.
CreditOutcome Deny(Quotas& quotas, OrganisationCredit& credit, CallId call,
                   TimePoint now, Random& random);
void DenyWaiting(Quotas& quotas, OrganisationCredit& credit, TimePoint now,
                 Random& random);
/// Ends the waits that have lasted too long.
void EndWaits(Quotas& quotas, OrganisationCredit& credit, TimePoint now);

}  // namespace ibisladder::limits::Internal

#endif  // LIBS_LIMITS_CREDIT_WAITS_H_
