#include "libs/limits/quota_takeover.h"

#include <xxhash.h>

#include <algorithm>

namespace ibisladder::limits::Internal {
namespace {

/// Interval of the questions to a third member that has not agreed.
constexpr Duration kAskInterval = Millis(150);

}  // namespace

std::uint64_t HashOf(const std::string& name) {
  return XXH64(name.data(), name.size(), 0);
}

TimePoint ConfirmedUntil(QuotaKeeper& keeper, const QuotaMembers& members,
                         OrganisationId organisation,
                         const std::string& sender) {
  TimePoint until;
  if (!HaveAllStarted(keeper.starts, members)) {
    until = members.started_at + kConfirmationLife;
  }
  const auto it = keeper.confirmations.find(organisation);
  if (it != keeper.confirmations.end() && it->second.keeper != HashOf(sender)) {
    until = std::max(until, it->second.at + kConfirmationLife);
  }
  return until;
}

void SendCheck(QuotaKeeper& keeper, KeptQuota& kept,
               const QuotaMembers& members, OrganisationId organisation,
               CreditPurpose purpose, TimePoint now,
               std::vector<CreditQuestion>& questions) {
  kept.check_sent_at = now;
  ++kept.unanswered;
  keeper.open_checks.erase(kept.check_number);
  kept.check_number = kFirstCheck + ++keeper.last_check;
  keeper.open_checks[kept.check_number] = organisation;
  CreditRequest check;
  check.number = kept.check_number;
  check.sender = members.self;
  check.organisation = organisation;
  check.purpose = purpose;
  questions.push_back(
      {KeeperAt(kept.places, members, organisation, 1 + kept.check_place),
       check});
}

void TakeOverIfDue(QuotaKeeper& keeper, KeptQuota& kept,
                   const QuotaMembers& members, OrganisationId organisation,
                   TimePoint now, std::vector<CreditQuestion>& questions) {
  if (KeeperAt(kept.places, members, organisation, 2).empty()) return;
  TimePoint heard_at = std::max(kept.first_checked_at, members.changed_at);
  const auto it = keeper.confirmations.find(organisation);
  if (it != keeper.confirmations.end())
    heard_at = std::max(heard_at, it->second.at);
  if (now - heard_at <= kConfirmationLife) return;
  if (kept.check_sent_at && now - *kept.check_sent_at < kAskInterval) return;
  kept.check_place = 1;
  SendCheck(keeper, kept, members, organisation, CreditPurpose::kTakeOver, now,
            questions);
}

CreditReply DecideTakeOver(QuotaKeeper& keeper, const QuotaMembers& members,
                           const CreditRequest& request, TimePoint now) {
  CreditReply reply;
  reply.number = request.number;
  KeeperPlaces places;
  const OrganisationId id = request.organisation;
  reply.is_unknown = KeeperAt(places, members, id, 1) != request.sender ||
                     KeeperAt(places, members, id, 2) != members.self;
  if (reply.is_unknown) return reply;
  const TimePoint until = ConfirmedUntil(keeper, members, id, request.sender);
  reply.retry_after = std::max(until - now, Duration::zero());
  if (reply.retry_after == Duration::zero())
    keeper.confirmations[id] = {HashOf(request.sender), now};
  return reply;
}

namespace {

/// Ends the acting since the first keeper asks for confirmation. Returns until
/// when the third member may refuse the first keeper.
TimePoint EndActing(KeptQuota& kept, TimePoint now) {
  kept.first_checked_at = now;
  const bool may_rely = now - kept.confirmed_at <= kConfirmationLife;
  const bool has_granted = kept.is_acting && may_rely;
  kept.is_acting = false;
  return has_granted ? kept.confirmed_at + kConfirmationLife : TimePoint{};
}

/// Returns whether this instance has agreed to a take-over lately.
bool HasAgreed(const QuotaKeeper& keeper, const QuotaMembers& members,
               OrganisationId organisation, TimePoint now) {
  KeeperPlaces places;
  const auto it = keeper.confirmations.find(organisation);
  return it != keeper.confirmations.end() &&
         now - it->second.at <= kConfirmationLife &&
         KeeperAt(places, members, organisation, 2) == members.self &&
         it->second.keeper ==
             HashOf(KeeperAt(places, members, organisation, 1));
}

}  // namespace

CreditReply DecideCheck(QuotaKeeper& keeper, const QuotaMembers& members,
                        const CreditRequest& request, TimePoint now) {
  CreditReply reply;
  reply.number = request.number;
  KeeperPlaces places;
  const OrganisationId id = request.organisation;
  reply.is_unknown = KeeperAt(places, members, id, 0) != request.sender ||
                     keeper.confirmations.size() >= kMaxOrganisations;
  if (reply.is_unknown) return reply;
  if (HasAgreed(keeper, members, id, now)) {
    // Tells that the fallback keeper acts.
    reply.is_unknown = reply.is_fallback = true;
    return reply;
  }
  TimePoint until = ConfirmedUntil(keeper, members, id, request.sender);
  const auto it = keeper.quotas.find(id);
  if (it != keeper.quotas.end())
    until = std::max(until, EndActing(it->second, now));
  reply.retry_after = std::max(until - now, Duration::zero());
  if (reply.retry_after == Duration::zero())
    keeper.confirmations[id] = {HashOf(request.sender), now};
  return reply;
}

}  // namespace ibisladder::limits::Internal
