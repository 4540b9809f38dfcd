#include "libs/limits/credit_waits.h"

#include <algorithm>
#include <utility>

#include "libs/limits/credit_tokens.h"

namespace ibisladder::limits {
namespace Internal {
namespace {

/// Retry-After grows by up to this part, so that callers do not return at once.
constexpr double kSpread = 0.2;

/// Returns the time after which the next denied request may be admitted.
Duration NextReturn(OrganisationCredit& credit, TimePoint now, Random& random) {
  constexpr double kMicrosPerSecond = 1e6;
  credit.turn = std::clamp(credit.turn, now, now + kMaxRetryAfter);
  const Duration wait = std::max(credit.turn - now, Millis(1));
  const double interval =
      kMicrosPerSecond / std::max(credit.quota.rate.value(), 1.0);
  credit.turn += Micros(static_cast<std::int64_t>(interval));
  const double spread =
      static_cast<double>(wait.count()) * (1 + kSpread * UniformUnit(random));
  return Micros(static_cast<std::int64_t>(spread));
}

}  // namespace

void AdmitWaiting(Quotas& quotas, OrganisationCredit& credit, TimePoint now) {
  std::size_t n = 0;
  for (; n < credit.waiting.size(); ++n) {
    const auto result = TakeLocal(credit, now);
    if (!result) break;
    quotas.outcomes.push_back({credit.waiting[n].call, *result, {}});
  }
  const auto begin = credit.waiting.begin();
  credit.waiting.erase(begin, begin + static_cast<std::ptrdiff_t>(n));
}

CreditOutcome Deny(Quotas& quotas, OrganisationCredit& credit, CallId call,
                   TimePoint now, Random& random) {
  if (credit.is_first_silent) {
    return {call, CreditResult::kNoReply, NextReturn(credit, now, random)};
  }
  if (!credit.limited_at) quotas.changes.push_back({credit.name, true});
  credit.limited_at = now;
  return {call, CreditResult::kDenied, NextReturn(credit, now, random)};
}

void DenyWaiting(Quotas& quotas, OrganisationCredit& credit, TimePoint now,
                 Random& random) {
  for (const WaitingRequest& it : std::exchange(credit.waiting, {})) {
    quotas.outcomes.push_back(Deny(quotas, credit, it.call, now, random));
  }
}

void EndWaits(Quotas& quotas, OrganisationCredit& credit, TimePoint now) {
  AdmitWaiting(quotas, credit, now);
  std::erase_if(credit.waiting, [&](const WaitingRequest& it) {
    if (now - it.since < kMaxWait) return false;
    quotas.outcomes.push_back(
        {it.call, CreditResult::kNoReply, kNoReplyRetryAfter});
    return true;
  });
}

}  // namespace Internal

const char* CreditResultName(CreditResult result) {
  switch (result) {
    case CreditResult::kGranted:
      return "granted";
    case CreditResult::kFallback:
      return "fallback";
    case CreditResult::kHold:
      return "hold";
    case CreditResult::kDenied:
      return "denied";
    case CreditResult::kNoReply:
      return "no_reply";
    case CreditResult::kWaits:
      return "waits";
  }
  return "unknown";
}

bool CancelWait(Quotas& quotas, const std::string& organisation, CallId call) {
  const auto it = quotas.credits.find(MakeOrganisationId(organisation));
  if (it == quotas.credits.end()) return false;
  return std::erase_if(it->second.waiting, [&](const WaitingRequest& waiting) {
           return waiting.call == call;
         }) > 0;
}

bool DeniesAtOnce(const Quotas& quotas, OrganisationId organisation,
                  TimePoint now) {
  const auto it = quotas.credits.find(organisation);
  if (it == quotas.credits.end()) return false;
  if (now >= it->second.denied_until || !it->second.waiting.empty()) {
    return false;
  }
  OrganisationCredit copy = it->second;
  return !Internal::TakeLocal(copy, now);
}

std::optional<CreditOutcome> DenyAtOnce(Quotas& quotas,
                                        OrganisationId organisation,
                                        CallId call, TimePoint now,
                                        Random& random) {
  if (!DeniesAtOnce(quotas, organisation, now)) return std::nullopt;
  OrganisationCredit& credit = quotas.credits.at(organisation);
  credit.used_at = now;
  Internal::RecordArrival(credit, now);
  return Internal::Deny(quotas, credit, call, now, random);
}

}  // namespace ibisladder::limits
