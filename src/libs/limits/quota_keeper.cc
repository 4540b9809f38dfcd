#include "libs/limits/quota_keeper.h"

#include <algorithm>
#include <cmath>

#include "libs/limits/quota_bucket.h"
#include "libs/limits/quota_takeover.h"

namespace ibisladder::limits {
using Internal::ConfirmedUntil;
using Internal::DecideCheck;
using Internal::DecideTakeOver;
using Internal::DepthOf;
using Internal::Fill;
using Internal::FirstRateOf;
using Internal::HashOf;
using Internal::kMaxOrganisations;
using Internal::kMaxTokens;
using Internal::kMinRate;
using Internal::kShareSeconds;
using Internal::NextTurn;
using Internal::SendCheck;
using Internal::SmallRateOf;
using Internal::Take;
using Internal::TakeOverIfDue;

namespace {

/// Longer than a message and its answer take between loaded instances.
constexpr Duration kCheckInterval = Seconds(1);
constexpr Duration kCheckTimeout = Millis(150);
/// Minimum time for which a new keeper grants only claims: some instances still
/// use the hold of its predecessor.
constexpr Duration kMinClaims = Millis(1500);
constexpr double kRecentSeconds = 5;
/// Smaller holds are not worth the message that releases them.
constexpr double kMinHold = 0.05;
constexpr Duration kIdleTime = Seconds(30);
constexpr std::size_t kMaxHolders = 2000;
/// After more unanswered checks in succession a keeper was cut off.
constexpr std::size_t kMaxLostChecks = 3;

/// Returns the time after which a confirmation ends the claims.
TimePoint ClaimsUntil(const KeptQuota& kept) {
  return std::max(
      {kept.claims_until, kept.others_until[0], kept.others_until[1]});
}

/// Ends the time of claims if the fleet has just started and no process grants
/// by an earlier confirmation. The list of a running fleet may have had another
/// first keeper.
void ShortenClaims(QuotaKeeper& keeper, KeptQuota& kept,
                   const QuotaMembers& members, TimePoint now) {
  const bool is_shortened =
      kept.may_end_claims && now < kept.claims_until &&
      members.changed_at - members.started_at < kConfirmationLife &&
      HaveAllStarted(keeper.starts, members);
  if (is_shortened) kept.claims_until = now;
}

void BeginClaims(KeptQuota& kept, TimePoint until, TimePoint now) {
  kept.tokens = 0;
  kept.claims_since = now;
  kept.claims_until = until;
}

void BecomeFirst(KeptQuota& kept, const Allowance& allowance,
                 TimePoint other_until, TimePoint since, TimePoint now) {
  kept.is_first = true;
  kept.is_refuted = false;
  kept.check_sent_at.reset();
  kept.unanswered = 0;
  kept.holders.clear();
  kept.filled_at = now;
  kept.claims_since.reset();
  kept.others_until = {};
  kept.may_end_claims = true;
  kept.claims_until = std::max(other_until, since + kMinClaims);
  if (now < kept.claims_until) {
    BeginClaims(kept, kept.claims_until, now);
    kept.tokens = allowance.small_depth;
    return;
  }
  const Duration age = now - std::max(since, other_until);
  kept.tokens = std::min(kept.quota.rate.value() * ToSeconds(age),
                         DepthOf(kept.quota, allowance));
}

/// Handles the third member's reply to a fallback keeper. The first keeper has
/// ceased to grant by now; its holds are used for a while.
void BeginActing(KeptQuota& kept, const Allowance& allowance,
                 const CreditReply& reply, TimePoint now) {
  const TimePoint sent_at = *kept.check_sent_at;
  const bool may_act = !reply.is_unknown &&
                       reply.retry_after <= Duration::zero() &&
                       sent_at - kept.first_checked_at > kConfirmationLife;
  if (!may_act) return;
  BecomeFirst(kept, allowance, now + kHoldTime, now, now);
  kept.is_after_start = false;
  kept.may_end_claims = false;
  kept.is_acting = true;
  kept.confirmed_at = sent_at;
}

KeptQuota& FindKept(QuotaKeeper& keeper, const QuotaMembers& members,
                    const Allowance& allowance, const CreditRequest& request,
                    const std::optional<Quota>& known, TimePoint now) {
  const auto [it, is_new] = keeper.quotas.try_emplace(request.organisation);
  KeptQuota& kept = it->second;
  kept.quota = Clamped(known.value_or(request.quota));
  kept.used_at = now;
  if (is_new) {
    kept.small_tokens = 1;
    kept.small_filled_at = now;
  }
  const bool is_first =
      KeeperAt(kept.places, members, request.organisation, 0) == members.self;
  if (is_first && !kept.is_first) {
    const TimePoint until =
        ConfirmedUntil(keeper, members, request.organisation, members.self);
    kept.is_after_start = until <= members.started_at + kConfirmationLife;
    BecomeFirst(kept, allowance, until, members.changed_at, now);
  }
  const bool is_fallback =
      KeeperAt(kept.places, members, request.organisation, 1) == members.self;
  kept.is_acting = kept.is_acting && !is_first && is_fallback;
  kept.is_first = is_first || kept.is_acting;
  return kept;
}

/// Asks another instance whether this one is the first keeper, if that is due.
/// The fallback keeper succeeds a first keeper, so that it is asked, and the
/// next one if the fallback keeper does not answer.
void CheckIfDue(QuotaKeeper& keeper, KeptQuota& kept,
                const QuotaMembers& members, OrganisationId organisation,
                TimePoint now, std::vector<CreditQuestion>& questions) {
  if (KeeperAt(kept.places, members, organisation, 1).empty()) {
    kept.confirmed_at = now;
    if (now >= ClaimsUntil(kept)) kept.claims_since.reset();
    return;
  }
  const bool is_open = kept.unanswered > 0;
  const Duration interval = is_open || kept.claims_since || kept.is_refuted
                                ? kCheckTimeout
                                : kCheckInterval;
  const bool is_old = now - kept.confirmed_at > kConfirmationLife;
  const bool is_due = !kept.check_sent_at ||
                      now - *kept.check_sent_at >= interval ||
                      (is_old && !is_open);
  if (!is_due) return;
  kept.check_place = kept.unanswered % 2;
  // What the third member said may hold no longer once it knows more starts.
  const bool asks_third = kept.claims_since && !is_open &&
                          kept.others_until[0] <= now &&
                          kept.others_until[1] > now;
  if (asks_third) kept.check_place = 1;
  const bool has_third =
      !KeeperAt(kept.places, members, organisation, 2).empty();
  if (!has_third) kept.check_place = 0;
  if (kept.is_acting) kept.check_place = 1;
  SendCheck(keeper, kept, members, organisation,
            kept.is_acting ? CreditPurpose::kTakeOver : CreditPurpose::kCheck,
            now, questions);
}

/// Records what the instance tells of itself.
CreditHolder& FindHolder(KeptQuota& kept, const Allowance& allowance,
                         const CreditRequest& request, TimePoint now) {
  CreditHolder& holder = kept.holders[HashOf(request.sender)];
  holder.heard_at = now;
  const bool is_claim =
      kept.claims_since && holder.claimed_at < *kept.claims_since;
  if (is_claim) {
    holder.claim =
        std::min(request.recent / kRecentSeconds, kept.quota.rate.value());
    holder.claimed_at = now;
    // So that the instance has a hold in case this keeper fails soon.
    const double before = holder.granted;
    holder.granted = std::max(before, holder.claim * kShareSeconds);
    kept.granted += holder.granted - before;
    kept.claims += holder.claim;
  }
  if (holder.last_number == request.number) return holder;
  const double most = std::min(std::ceil(holder.granted), kMaxTokens);
  const double returned = std::min<double>(request.returned, most);
  holder.granted -= returned;
  kept.tokens =
      std::min(kept.tokens + returned, DepthOf(kept.quota, allowance));
  return holder;
}

CreditReply GrantAsFirst(KeptQuota& kept, const Allowance& allowance,
                         const CreditRequest& request, CreditHolder& holder,
                         TimePoint now) {
  CreditReply reply;
  reply.number = request.number;
  reply.granted = Take(kept.tokens, request.wanted);
  holder.granted += reply.granted;
  kept.granted += reply.granted;
  if (reply.granted < request.wanted) {
    reply.retry_after =
        NextTurn(kept, kept.tokens, FirstRateOf(kept, allowance),
                 request.wanted - reply.granted, now);
  }
  const double rate = kept.quota.rate.value();
  const double all = kept.granted / kShareSeconds;
  const double share = holder.granted / kShareSeconds;
  holder.hold_rate = std::min(all > rate ? share * rate / all : share, rate);
  if (holder.hold_rate < kMinHold) holder.hold_rate = 0;
  reply.hold_rate = holder.hold_rate;
  holder.last_number = request.number;
  holder.last_reply = reply;
  return reply;
}

CreditReply GrantAsFallback(KeptQuota& kept, const Allowance& allowance,
                            const CreditRequest& request, TimePoint now) {
  CreditReply reply;
  reply.number = request.number;
  reply.is_fallback = true;
  const double rate = SmallRateOf(kept.quota, allowance);
  const double seconds = std::max(ToSeconds(now - kept.small_filled_at), 0.0);
  kept.small_tokens =
      std::min(kept.small_tokens + seconds * rate, allowance.small_depth);
  kept.small_filled_at = now;
  reply.granted = Take(kept.small_tokens, request.wanted);
  if (reply.granted < request.wanted) {
    reply.retry_after = NextTurn(kept, kept.small_tokens, rate,
                                 request.wanted - reply.granted, now);
  }
  return reply;
}

/// Returns whether there is no room for what the request would add. Instances
/// send requests of as many organisations and under as many names as they like.
bool IsFull(const QuotaKeeper& keeper, const CreditRequest& request) {
  const auto it = keeper.quotas.find(request.organisation);
  return it == keeper.quotas.end() ? keeper.quotas.size() >= kMaxOrganisations
                                   : it->second.holders.size() >= kMaxHolders;
}

std::optional<CreditReply> DecideAsFirst(
    QuotaKeeper& keeper, KeptQuota& kept, const QuotaMembers& members,
    const Allowance& allowance, const CreditRequest& request, TimePoint now,
    std::vector<CreditQuestion>& questions) {
  ShortenClaims(keeper, kept, members, now);
  CheckIfDue(keeper, kept, members, request.organisation, now, questions);
  Fill(kept, allowance, now);
  // Claims need no confirmation, but end without one.
  TimePoint claims_end = ClaimsUntil(kept);
  if (!kept.is_refuted) claims_end += kConfirmationLife;
  const bool may_claim = kept.claims_since && !kept.is_acting;
  const bool may_grant = may_claim
                             ? now < claims_end
                             : now - kept.confirmed_at <= kConfirmationLife;
  if (!may_grant && request.purpose == CreditPurpose::kAsk) {
    if (!kept.is_refuted) return std::nullopt;
    CreditReply reply;
    reply.number = request.number;
    reply.is_unknown = true;
    return reply;
  }
  CreditHolder& holder = FindHolder(kept, allowance, request, now);
  if (request.purpose == CreditPurpose::kRelease) {
    holder.hold_rate = 0;
    return std::nullopt;
  }
  if (holder.last_number == request.number) return holder.last_reply;
  // A late repeat of an earlier question. Numbers far away are those of an
  // instance that has restarted.
  constexpr std::uint64_t kMaxLate = 1000;
  if (holder.last_number - request.number < kMaxLate) return std::nullopt;
  CreditReply reply = GrantAsFirst(kept, allowance, request, holder, now);
  // A keeper without confirmation must not go on by a hold of its own, and
  // instances use none of a fallback keeper.
  if (request.sender == members.self || kept.is_acting)
    holder.hold_rate = reply.hold_rate = 0;
  return reply;
}

}  // namespace

std::optional<CreditReply> Decide(QuotaKeeper& keeper,
                                  const QuotaMembers& members,
                                  const QuotaSettings& settings,
                                  const CreditRequest& request,
                                  const std::optional<Quota>& known,
                                  TimePoint now,
                                  std::vector<CreditQuestion>& questions) {
  CreditReply reply;
  reply.number = request.number;
  KeeperPlaces places;
  const auto is_keeper = [&](std::size_t n, const std::string& name) {
    return KeeperAt(places, members, request.organisation, n) == name;
  };
  if (request.purpose == CreditPurpose::kCheck)
    return DecideCheck(keeper, members, request, now);
  if (request.purpose == CreditPurpose::kTakeOver)
    return DecideTakeOver(keeper, members, request, now);
  if (request.purpose == CreditPurpose::kProbe) {
    reply.is_unknown = !is_keeper(0, members.self);
    return reply;
  }
  if (IsFull(keeper, request)) return std::nullopt;
  const Allowance allowance = AllowanceOf(settings);
  KeptQuota& kept = FindKept(keeper, members, allowance, request, known, now);
  if (kept.is_first) {
    return DecideAsFirst(keeper, kept, members, allowance, request, now,
                         questions);
  }
  if (request.purpose == CreditPurpose::kRelease) return std::nullopt;
  if (KeeperAt(kept.places, members, request.organisation, 1) == members.self) {
    TakeOverIfDue(keeper, kept, members, request.organisation, now, questions);
    return GrantAsFallback(kept, allowance, request, now);
  }
  reply.is_unknown = true;
  return reply;
}

void HandleCheckReply(QuotaKeeper& keeper, const CreditReply& reply,
                      const QuotaSettings& settings, TimePoint now) {
  const auto check = keeper.open_checks.find(reply.number);
  if (check == keeper.open_checks.end()) return;
  const auto it = keeper.quotas.find(check->second);
  keeper.open_checks.erase(check);
  if (it == keeper.quotas.end() || !it->second.check_sent_at) return;
  KeptQuota& kept = it->second;
  const Allowance allowance = AllowanceOf(settings);
  if (!kept.is_first) {
    BeginActing(kept, allowance, reply, now);
    return;
  }
  if (kept.is_acting && reply.is_unknown) {
    kept.is_acting = kept.is_first = false;
    return;
  }
  Fill(kept, allowance, now);
  if (!reply.is_unknown) {
    const bool was_apart = kept.unanswered > kMaxLostChecks &&
                           now - kept.confirmed_at > kConfirmationLife;
    // The instance that confirms may have been cut off, too.
    const Duration left = was_apart
                              ? kConfirmationLife
                              : std::min(reply.retry_after, kConfirmationLife);
    // Another keeper may have granted what this one has saved up.
    if (kept.is_refuted) kept.tokens = 0;
    if (left > Duration::zero()) {
      if (!kept.claims_since) BeginClaims(kept, now + left, now);
    }
    kept.others_until[kept.check_place] = now + left;
    kept.confirmed_at = *kept.check_sent_at;
    kept.is_refuted = false;
    kept.unanswered = 0;
    if (now >= ClaimsUntil(kept)) kept.claims_since.reset();
    return;
  }
  kept.unanswered = 0;
  kept.may_end_claims = false;
  if (kept.is_refuted) return;
  kept.is_refuted = true;
  // The fallback keeper grants all that this one may.
  if (reply.is_fallback) {
    kept.claims_until = now;
    kept.others_until = {};
    kept.is_after_start = false;
    if (!kept.claims_since) BeginClaims(kept, now, now);
    return;
  }
  if (kept.claims_since) return;
  // The other keeper may grant the whole rate when the confirmation has ended.
  BeginClaims(kept, std::max(kept.confirmed_at + kConfirmationLife, now), now);
}

void ForgetIdle(QuotaKeeper& keeper, const QuotaSettings& settings,
                TimePoint now) {
  const Allowance allowance = AllowanceOf(settings);
  std::erase_if(keeper.quotas, [&](const auto& entry) {
    const KeptQuota& it = entry.second;
    const double full_s = DepthOf(it.quota, allowance) /
                          std::max(it.quota.rate.value(), kMinRate);
    const Duration idle = now - it.used_at;
    return idle > kIdleTime && ToSeconds(idle) > full_s;
  });
  std::erase_if(keeper.confirmations, [&](const auto& it) {
    return now - it.second.at > kConfirmationLife;
  });
  std::erase_if(keeper.open_checks, [&](const auto& it) {
    return !keeper.quotas.contains(it.second);
  });
}

}  // namespace ibisladder::limits
