#ifndef LIBS_LIMITS_CREDIT_TOKENS_H_
#define LIBS_LIMITS_CREDIT_TOKENS_H_

#include <optional>

#include "libs/limits/credit.h"

/// Credit, hold and counts of one organisation at an instance.
namespace ibisladder::limits::Internal {

void RecordArrival(OrganisationCredit& credit, TimePoint now);
/// Returns the arrivals for which credit is asked for in advance.
double ExpectedArrivals(const OrganisationCredit& credit, TimePoint now);
/// Moves the seconds of the admitted requests on.
void Shift(OrganisationCredit& credit, TimePoint now);
/// Returns the number of requests admitted in the last 5 s.
std::uint32_t RecentOf(OrganisationCredit& credit, TimePoint now);
std::uint32_t TokensOf(const OrganisationCredit& credit);
void ExpireCredit(OrganisationCredit& credit, TimePoint now);
/// Takes what is available here for one request.
std::optional<CreditResult> TakeLocal(OrganisationCredit& credit,
                                      TimePoint now);

}  // namespace ibisladder::limits::Internal

#endif  // LIBS_LIMITS_CREDIT_TOKENS_H_
