#ifndef LIBS_LIMITS_QUOTA_TAKEOVER_H_
#define LIBS_LIMITS_QUOTA_TAKEOVER_H_

#include <vector>

#include "libs/limits/quota_keeper.h"

/// The fallback keeper acts for a first keeper that is silent while the list of
/// instances does not change. The third member agrees if it has not confirmed
/// the first keeper lately; from then on it refuses that one.
namespace ibisladder::limits::Internal {

constexpr std::size_t kMaxOrganisations = 50000;

/// Asks the third member, if the first keeper has been silent for long.
void TakeOverIfDue(QuotaKeeper& keeper, KeptQuota& kept,
                   const QuotaMembers& members, OrganisationId organisation,
                   TimePoint now, std::vector<CreditQuestion>& questions);
/// Decides on the question of a fallback keeper.
CreditReply DecideTakeOver(QuotaKeeper& keeper, const QuotaMembers& members,
                           const CreditRequest& request, TimePoint now);
/// Decides whether the sender is the first keeper. A fallback keeper that acts
/// ends that; a third member that has agreed to it refuses.
CreditReply DecideCheck(QuotaKeeper& keeper, const QuotaMembers& members,
                        const CreditRequest& request, TimePoint now);

/// Sends a question to the member at `1 + kept.check_place`.
void SendCheck(QuotaKeeper& keeper, KeptQuota& kept,
               const QuotaMembers& members, OrganisationId organisation,
               CreditPurpose purpose, TimePoint now,
               std::vector<CreditQuestion>& questions);
std::uint64_t HashOf(const std::string& name);
/// Returns until when another keeper may rely on a confirmation by this
/// instance. It may have given one just before it started, but not to a process
/// that started later.
TimePoint ConfirmedUntil(QuotaKeeper& keeper, const QuotaMembers& members,
                         OrganisationId organisation,
                         const std::string& sender);

}  // namespace ibisladder::limits::Internal

#endif  // LIBS_LIMITS_QUOTA_TAKEOVER_H_
