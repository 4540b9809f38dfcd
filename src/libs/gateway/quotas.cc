// Admits requests within the quotas of their organisations.
#include <utility>

#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

using limits::CreditResult;

/// The list of instances is read within a second of the start.
constexpr Duration kNoListRetryAfter = Millis(200);

bool IsAdmitted(CreditResult result) {
  return result != CreditResult::kDenied && result != CreditResult::kNoReply;
}

std::optional<limits::Quota> FindQuota(const Forwarder& forwarder,
                                       OrganisationId organisation) {
  const auto it = forwarder.quota_limits.find(organisation);
  if (it == forwarder.quota_limits.end()) return std::nullopt;
  return it->second;
}

/// Counts the result of a call that awaits credit, and refuses a call that gets
/// none. Returns whether the call may be placed.
bool Apply(Context& context, const limits::CreditOutcome& outcome) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(outcome.call);
  call.awaits_credit = false;
  ++forwarder.counters.credits[limits::CreditResultName(outcome.result)];
  call.has_credit = IsAdmitted(outcome.result);
  call.credit_at = context.now;
  if (call.has_credit) return true;
  ResultCode code = ResultCode::kQuotaUnknown;
  if (outcome.result == CreditResult::kDenied) {
    code = ResultCode::kOrganisationLimit;
    ++forwarder.counters.quota_denials[call.organisation];
  }
  AnswerWithCode(context, outcome.call, code, outcome.retry_after);
  return false;
}

/// Carries out what the quotas have decided.
void CarryOut(Context& context) {
  Forwarder& forwarder = context.forwarder;
  limits::Quotas& quotas = forwarder.quotas;
  for (const auto& it : std::exchange(quotas.changes, {})) {
    Log(context, LogEvent::kOrganisationLimitChanged,
        {{"organisation", it.organisation},
         {"limited", it.is_limited ? "yes" : "no"}});
  }
  for (auto& it : std::exchange(quotas.to_send, {})) {
    forwarder.actions.emplace_back(std::move(it));
  }
  for (const auto& it : std::exchange(quotas.outcomes, {})) {
    const auto call = forwarder.calls.find(it.call);
    const bool waits =
        call != forwarder.calls.end() && call->second.awaits_credit;
    if (waits && Apply(context, it)) AdmitCall(context, it.call);
  }
}

/// Whether the request counts here. Those that were passed on count where they
/// arrived first.
bool IsCounted(const Call& call) {
  return !call.organisation.empty() && !call.request->relayed;
}

}  // namespace

void CountArrived(Context& context, const Call& call) {
  if (!IsCounted(call)) return;
  AddRequests(context.forwarder.organisation_traffic, call.organisation,
              {1, 0, 0}, context.now);
}

void CountAdmitted(Context& context, Call& call) {
  if (!IsCounted(call) || std::exchange(call.is_counted_admitted, true)) return;
  AddRequests(context.forwarder.organisation_traffic, call.organisation,
              {0, 1, 0}, context.now);
}

void CountRefused(Context& context, const Call& call) {
  if (!IsCounted(call) || call.is_counted_admitted) return;
  AddRequests(context.forwarder.organisation_traffic, call.organisation,
              {0, 0, 1}, context.now);
}

bool AwaitsCredit(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  // The instance where it arrived first has counted it.
  if (call.organisation.empty() || call.request->relayed) return false;
  const auto quota =
      FindQuota(forwarder, MakeOrganisationId(call.organisation));
  if (!quota) return false;
  if (forwarder.quotas.members.names.empty()) {
    // Without the list of instances, each one would be a keeper of its own.
    AnswerWithCode(context, id, ResultCode::kNotReady, kNoListRetryAfter);
    return true;
  }
  const auto outcome =
      limits::TakeCredit(forwarder.quotas, call.organisation, *quota, id,
                         context.now, forwarder.random);
  call.awaits_credit = true;
  const bool waits = outcome.result == CreditResult::kWaits;
  if (waits) ++forwarder.counters.credit_waits;
  const bool may_start = !waits && Apply(context, outcome);
  // Places the call if this instance is the keeper.
  CarryOut(context);
  return !may_start;
}

bool IsQuotaExhausted(const Forwarder& forwarder,
                      const std::string& organisation, TimePoint now) {
  if (organisation.empty()) return false;
  const OrganisationId id = MakeOrganisationId(organisation);
  return FindQuota(forwarder, id) &&
         limits::DeniesAtOnce(forwarder.quotas, id, now);
}

bool RefuseOverQuota(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  const std::string& organisation = forwarder.calls.at(id).organisation;
  if (!IsQuotaExhausted(forwarder, organisation, context.now)) return false;
  const auto denied =
      limits::DenyAtOnce(forwarder.quotas, MakeOrganisationId(organisation), id,
                         context.now, forwarder.random);
  if (!denied) return false;
  Apply(context, *denied);
  CarryOut(context);
  return true;
}

bool AwaitsRenewedCredit(Context& context, CallId id) {
  Call& call = context.forwarder.calls.at(id);
  const Duration life =
      limits::AllowanceOf(context.forwarder.quotas.settings).credit_life;
  if (!call.has_credit || context.now - call.credit_at <= life) return false;
  call.was_admitted = true;
  ReleaseCredit(context, id);
  return AwaitsCredit(context, id);
}

void ReleaseCredit(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  if (std::exchange(call.awaits_credit, false)) {
    limits::CancelWait(forwarder.quotas, call.organisation, id);
  } else if (std::exchange(call.has_credit, false)) {
    ++forwarder.counters.credit_returns;
    limits::GiveBack(forwarder.quotas, call.organisation, context.now);
  }
}

void ApplyQuotas(Context& context) {
  Forwarder& forwarder = context.forwarder;
  const Configuration& configuration = *forwarder.routes->configuration;
  forwarder.quota_limits.clear();
  std::map<std::string, std::uint64_t> denials;
  for (const Organisation& it : configuration.organisations) {
    const limits::Quota quota = limits::Clamped({it.rate, it.burst});
    if (quota.rate.value() <= 0) continue;
    forwarder.quota_limits[MakeOrganisationId(it.name)] = quota;
    const auto before = forwarder.counters.quota_denials.find(it.name);
    if (before != forwarder.counters.quota_denials.end()) {
      denials.insert(*before);
    }
  }
  forwarder.counters.quota_denials = std::move(denials);
  std::vector<std::string> removed;
  for (const auto& [id, credit] : forwarder.quotas.credits) {
    if (!forwarder.quota_limits.contains(id)) removed.push_back(credit.name);
  }
  for (const std::string& it : removed) {
    limits::RemoveQuota(forwarder.quotas, it);
  }
  CarryOut(context);
}

void UpdateQuotas(Context& context) {
  Forwarder& forwarder = context.forwarder;
  limits::Quotas& quotas = forwarder.quotas;
  limits::Update(quotas, context.now, forwarder.random);
  if (!forwarder.quota_limits.empty()) {
    for (auto& it : limits::TakeDueStarts(quotas.keeper.starts, quotas.members,
                                          context.now)) {
      forwarder.actions.emplace_back(std::move(it));
    }
  }
  CarryOut(context);
}

void HandleCreditRequest(Context& context, const Endpoint& peer,
                         const limits::CreditRequest& request) {
  Forwarder& forwarder = context.forwarder;
  const auto reply = limits::HandleQuestion(
      forwarder.quotas, request, FindQuota(forwarder, request.organisation),
      context.now);
  if (reply) forwarder.actions.emplace_back(AnswerCredit{peer, *reply});
  CarryOut(context);
}

void HandleCreditReply(Context& context, const limits::CreditReply& reply) {
  limits::HandleReply(context.forwarder.quotas, reply, context.now,
                      context.forwarder.random);
  CarryOut(context);
}

void HandleProcessStart(Context& context, const limits::ProcessStart& start) {
  limits::Quotas& quotas = context.forwarder.quotas;
  auto answer = limits::HandleProcessStart(quotas.keeper.starts, quotas.members,
                                           start, context.now);
  if (answer) context.forwarder.actions.emplace_back(std::move(*answer));
}

}  // namespace ibisladder::gateway::Internal
