#include <algorithm>
#include <cmath>
#include <utility>

#include "libs/limits/credit_tokens.h"
#include "libs/limits/credit_waits.h"

namespace ibisladder::limits {
using Internal::AdmitWaiting;
using Internal::Deny;
using Internal::DenyWaiting;
using Internal::EndWaits;
using Internal::ExpectedArrivals;
using Internal::ExpireCredit;
using Internal::kMaxWait;
using Internal::kNoReplyRetryAfter;
using Internal::RecentOf;
using Internal::RecordArrival;
using Internal::Shift;
using Internal::TakeLocal;
using Internal::TokensOf;

namespace {

/// A question without a reply is repeated after this time, as datagrams may be
/// lost, and given up at the first keeper after `kFirstTimeout`.
constexpr Duration kRepeatInterval = Millis(20);
constexpr Duration kFirstTimeout = Millis(70);
/// Interval at which a keeper that fell silent is asked whether it replies.
constexpr Duration kProbeInterval = Millis(250);
/// An instance with a hold sends a question at least so often. Must be well
/// below kSilenceTime.
constexpr Duration kAskInterval = Millis(150);
/// After this time without an arrival the hold is given back.
constexpr Duration kKeepHoldTime = Seconds(1);
/// After a denial, requests are denied without a question for this time, so
/// that requests beyond a quota cost few messages.
constexpr Duration kDeniedPause = Millis(20);
/// After this time without a denial an organisation is no longer limited.
constexpr Duration kLimitedTime = Seconds(5);
constexpr Duration kCleanInterval = Seconds(5);
constexpr Duration kIdleTime = Seconds(10);
constexpr std::uint32_t kMaxWanted = 100000;

void MarkBusy(Quotas& quotas, OrganisationId id, OrganisationCredit& credit) {
  if (!std::exchange(credit.is_busy, true)) quotas.busy.push_back(id);
}

void CloseQuestion(Quotas& quotas, OrganisationCredit& credit) {
  if (!credit.question) return;
  quotas.questions.erase(credit.question->request.number);
  credit.question.reset();
}

CreditRequest MakeRequest(Quotas& quotas, OrganisationId id,
                          OrganisationCredit& credit, CreditPurpose purpose,
                          TimePoint now) {
  CreditRequest request;
  request.number = ++quotas.last_number;
  request.sender = quotas.members.self;
  request.organisation = id;
  request.purpose = purpose;
  request.recent = RecentOf(credit, now);
  if (now < credit.first_replied_at + kHoldTime) {
    // Without a first keeper few requests are admitted, but the next keeper
    // needs to know the share before that.
    request.recent = std::max(request.recent, credit.recent_with_keeper);
  }
  request.quota = credit.quota;
  return request;
}

/// Sends a request, or decides if this instance is the keeper itself.
void Deliver(Quotas& quotas, OrganisationCredit& credit,
             const CreditRequest& request, std::size_t place, TimePoint now,
             Random& random) {
  const std::string& name =
      KeeperAt(credit.places, quotas.members, request.organisation, place);
  if (name.empty() && !quotas.members.names.empty()) return;
  if (name != quotas.members.self) {
    quotas.to_send.push_back({name, request});
    return;
  }
  const auto reply = Decide(quotas.keeper, quotas.members, quotas.settings,
                            request, credit.quota, now, quotas.to_send);
  if (reply) HandleReply(quotas, *reply, now, random);
}

/// Asks a keeper for the waiting requests and, the first one, for those that
/// are expected.
void Ask(Quotas& quotas, OrganisationId id, OrganisationCredit& credit,
         std::size_t place, TimePoint now, Random& random) {
  CreditRequest request =
      MakeRequest(quotas, id, credit, CreditPurpose::kAsk, now);
  double wanted = static_cast<double>(credit.waiting.size());
  if (place == 0) {
    wanted += std::floor(ExpectedArrivals(credit, now)) - TokensOf(credit);
    request.returned = std::exchange(credit.expired, 0);
    credit.first_asked_at = now;
  }
  request.wanted =
      static_cast<std::uint32_t>(std::clamp<double>(wanted, 0, kMaxWanted));
  CloseQuestion(quotas, credit);
  quotas.questions[request.number] = id;
  credit.question =
      OpenQuestion{request, place, credit.waiting.size(), now, now};
  MarkBusy(quotas, id, credit);
  Deliver(quotas, credit, request, place, now, random);
}

void Probe(Quotas& quotas, OrganisationId id, OrganisationCredit& credit,
           TimePoint now, Random& random) {
  quotas.questions.erase(credit.probe);
  const CreditRequest request =
      MakeRequest(quotas, id, credit, CreditPurpose::kProbe, now);
  credit.probe = request.number;
  credit.probed_at = now;
  quotas.questions[request.number] = id;
  Deliver(quotas, credit, request, 0, now, random);
}

/// Gives unused credit and the hold back to the first keeper.
void Release(Quotas& quotas, OrganisationId id, OrganisationCredit& credit,
             TimePoint now, Random& random) {
  CreditRequest request =
      MakeRequest(quotas, id, credit, CreditPurpose::kRelease, now);
  request.returned = std::exchange(credit.expired, 0) + TokensOf(credit);
  credit.batches.clear();
  credit.hold_rate = 0;
  credit.first_asked_at = now;
  Deliver(quotas, credit, request, 0, now, random);
}

/// Handles that the first keeper does not reply or is none.
void LeaveFirst(Quotas& quotas, OrganisationId id, OrganisationCredit& credit,
                TimePoint now, Random& random) {
  credit.is_first_silent = true;
  credit.probed_at = now;
  CloseQuestion(quotas, credit);
  AdmitWaiting(quotas, credit, now);
  if (!credit.waiting.empty()) Ask(quotas, id, credit, 1, now, random);
}

void HandleUnknown(Quotas& quotas, OrganisationId id,
                   OrganisationCredit& credit, std::size_t place, TimePoint now,
                   Random& random) {
  if (place == 0) {
    credit.hold_rate = 0;
    LeaveFirst(quotas, id, credit, now, random);
    return;
  }
  for (const WaitingRequest& it : std::exchange(credit.waiting, {})) {
    quotas.outcomes.push_back(
        {it.call, CreditResult::kNoReply, kNoReplyRetryAfter});
  }
}

OrganisationCredit& FindCredit(Quotas& quotas, OrganisationId id,
                               const std::string& name, const Quota& quota,
                               TimePoint now) {
  const auto [it, is_new] = quotas.credits.try_emplace(id);
  OrganisationCredit& credit = it->second;
  if (is_new) {
    credit.name = name;
    credit.second = now;
  }
  credit.quota = Clamped(quota);
  credit.hold_rate = std::min(credit.hold_rate, credit.quota.rate.value());
  credit.used_at = now;
  return credit;
}

void UpdateQuestion(Quotas& quotas, OrganisationId id,
                    OrganisationCredit& credit, TimePoint now, Random& random) {
  OpenQuestion& question = *credit.question;
  const Duration age = now - question.asked_at;
  if (question.place == 0 && age >= kFirstTimeout) {
    LeaveFirst(quotas, id, credit, now, random);
  } else if (age >= kMaxWait) {
    CloseQuestion(quotas, credit);
  } else if (now - question.sent_at >= kRepeatInterval) {
    question.sent_at = now;
    const CreditRequest request = question.request;
    Deliver(quotas, credit, request, question.place, now, random);
  }
}

/// Keeps the keeper informed while nothing waits.
void UpdateHold(Quotas& quotas, OrganisationId id, OrganisationCredit& credit,
                TimePoint now, Random& random) {
  if (credit.is_first_silent) {
    if (now - credit.used_at > kHoldTime) credit.is_first_silent = false;
    if (now - credit.probed_at < kProbeInterval) return;
    Probe(quotas, id, credit, now, random);
    return;
  }
  const bool has_any =
      credit.hold_rate > 0 || credit.expired > 0 || !credit.batches.empty();
  if (!has_any || credit.question) return;
  if (now - credit.first_asked_at < kAskInterval) return;
  // A question keeps the hold for the next keeper while arrivals are likely.
  if (now - credit.arrived_at < kKeepHoldTime) {
    Ask(quotas, id, credit, 0, now, random);
  } else {
    Release(quotas, id, credit, now, random);
  }
}

/// Returns whether the credit needs further updates.
bool UpdateCredit(Quotas& quotas, OrganisationId id, OrganisationCredit& credit,
                  TimePoint now, Random& random) {
  ExpireCredit(credit, now);
  if (credit.question) UpdateQuestion(quotas, id, credit, now, random);
  EndWaits(quotas, credit, now);
  const bool needs_question = !credit.waiting.empty() && !credit.question;
  if (needs_question) {
    Ask(quotas, id, credit, credit.is_first_silent ? 1 : 0, now, random);
  }
  UpdateHold(quotas, id, credit, now, random);
  if (credit.limited_at && now - *credit.limited_at > kLimitedTime) {
    credit.limited_at.reset();
    quotas.changes.push_back({credit.name, false});
  }
  return !credit.waiting.empty() || credit.question || credit.limited_at ||
         !credit.batches.empty() || credit.expired > 0 ||
         credit.hold_rate > 0 || credit.is_first_silent;
}

void Clean(Quotas& quotas, TimePoint now) {
  if (now - quotas.cleaned_at < kCleanInterval) return;
  quotas.cleaned_at = now;
  ForgetIdle(quotas.keeper, quotas.settings, now);
  std::erase_if(quotas.credits, [&](const auto& it) {
    return !it.second.is_busy && now - it.second.used_at > kIdleTime;
  });
  std::erase_if(quotas.questions, [&](const auto& it) {
    return !quotas.credits.contains(it.second);
  });
}

}  // namespace

void SetMembers(Quotas& quotas, const std::string& self,
                const std::vector<std::string>& names, TimePoint now) {
  QuotaMembers& members = quotas.members;
  if (members.version == 0) members.started_at = now;
  if (members.self == self && members.names == names) return;
  members.self = self;
  members.names = names;
  members.changed_at = now;
  ++members.version;
}

CreditOutcome TakeCredit(Quotas& quotas, const std::string& organisation,
                         const Quota& quota, CallId call, TimePoint now,
                         Random& random) {
  if (!(quota.rate.value() > 0)) return {call, CreditResult::kGranted, {}};
  const OrganisationId id = MakeOrganisationId(organisation);
  OrganisationCredit& credit = FindCredit(quotas, id, organisation, quota, now);
  RecordArrival(credit, now);
  if (credit.waiting.empty()) {
    if (const auto result = TakeLocal(credit, now)) {
      MarkBusy(quotas, id, credit);
      const bool is_low =
          TokensOf(credit) < std::floor(ExpectedArrivals(credit, now) / 2);
      if (is_low && !credit.question && !credit.is_first_silent &&
          now >= credit.denied_until) {
        Ask(quotas, id, credit, 0, now, random);
      }
      return {call, *result, {}};
    }
    if (now < credit.denied_until) {
      return Deny(quotas, credit, call, now, random);
    }
  }
  credit.waiting.push_back({call, now});
  MarkBusy(quotas, id, credit);
  if (!credit.question) {
    Ask(quotas, id, credit, credit.is_first_silent ? 1 : 0, now, random);
  }
  return {call, CreditResult::kWaits, {}};
}

void GiveBack(Quotas& quotas, const std::string& organisation, TimePoint now) {
  const OrganisationId id = MakeOrganisationId(organisation);
  const auto it = quotas.credits.find(id);
  if (it == quotas.credits.end()) return;
  // The keeper decides about it: at this instance it would be valid longer than
  // other credit.
  ++it->second.expired;
  Shift(it->second, now);
  std::uint32_t& admitted = it->second.admitted.front();
  if (admitted > 0) --admitted;
  MarkBusy(quotas, id, it->second);
}

void RemoveQuota(Quotas& quotas, const std::string& organisation) {
  const OrganisationId id = MakeOrganisationId(organisation);
  const auto it = quotas.credits.find(id);
  if (it == quotas.credits.end()) return;
  for (const WaitingRequest& waiting : it->second.waiting) {
    quotas.outcomes.push_back({waiting.call, CreditResult::kGranted, {}});
  }
  CloseQuestion(quotas, it->second);
  quotas.questions.erase(it->second.probe);
  std::erase(quotas.busy, id);
  quotas.credits.erase(it);
}

std::optional<CreditReply> HandleQuestion(Quotas& quotas,
                                          const CreditRequest& request,
                                          const std::optional<Quota>& known,
                                          TimePoint now) {
  return Decide(quotas.keeper, quotas.members, quotas.settings, request, known,
                now, quotas.to_send);
}

void HandleReply(Quotas& quotas, const CreditReply& reply, TimePoint now,
                 Random& random) {
  if (reply.number >= kFirstCheck) {
    HandleCheckReply(quotas.keeper, reply, quotas.settings, now);
    return;
  }
  const auto entry = quotas.questions.find(reply.number);
  if (entry == quotas.questions.end()) return;
  const OrganisationId id = entry->second;
  quotas.questions.erase(entry);
  const auto it = quotas.credits.find(id);
  if (it == quotas.credits.end()) return;
  OrganisationCredit& credit = it->second;
  if (reply.number == credit.probe) {
    credit.is_first_silent = reply.is_unknown;
    return;
  }
  if (!credit.question || credit.question->request.number != reply.number) {
    return;
  }
  const OpenQuestion question = *std::exchange(credit.question, std::nullopt);
  if (reply.is_unknown) {
    HandleUnknown(quotas, id, credit, question.place, now, random);
    return;
  }
  const double rate = credit.quota.rate.value();
  const bool is_first = question.place == 0 && !reply.is_fallback;
  if (question.place == 0 && reply.is_fallback) {
    // The lists of the instances differ. The hold of the former keeper remains.
    credit.is_first_silent = true;
    credit.probed_at = now;
  }
  // The fallback keeper has taken over, with this instance's share.
  if (question.place == 1 && !reply.is_fallback) credit.hold_rate = 0;
  if (is_first) {
    credit.first_replied_at = now;
    credit.recent_with_keeper = RecentOf(credit, now);
    credit.hold_rate = std::isfinite(reply.hold_rate)
                           ? std::clamp(reply.hold_rate, 0.0, rate)
                           : 0;
    // Many instances with small holds together admit the sum of their rates.
    credit.hold_tokens = UniformUnit(random);
    credit.hold_filled_at = now + kSilenceTime;
  }
  const std::uint32_t granted =
      std::min(reply.granted, question.request.wanted);
  if (granted > 0) {
    const Allowance allowance = AllowanceOf(quotas.settings);
    const auto source =
        is_first ? CreditResult::kGranted : CreditResult::kFallback;
    credit.batches.push_back(
        {granted, source, question.asked_at + allowance.credit_life});
  }
  AdmitWaiting(quotas, credit, now);
  if (granted < question.request.wanted) {
    const Duration wait =
        std::clamp(reply.retry_after, Millis(1), kMaxRetryAfter);
    credit.denied_until = now + std::min(wait, kDeniedPause);
    credit.turn = std::max(credit.turn, now + wait);
    DenyWaiting(quotas, credit, now, random);
  } else if (!credit.waiting.empty()) {
    Ask(quotas, id, credit, question.place, now, random);
  }
}

void Update(Quotas& quotas, TimePoint now, Random& random) {
  std::vector<OrganisationId> busy = std::exchange(quotas.busy, {});
  for (const OrganisationId id : busy) {
    const auto it = quotas.credits.find(id);
    if (it == quotas.credits.end()) continue;
    if (UpdateCredit(quotas, id, it->second, now, random)) {
      quotas.busy.push_back(id);
    } else {
      it->second.is_busy = false;
    }
  }
  Clean(quotas, now);
}

}  // namespace ibisladder::limits
