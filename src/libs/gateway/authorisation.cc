// Decides on whose behalf a request comes, and whether it may run.
#include "libs/gateway/authorisation.h"

#include <algorithm>
#include <utility>

namespace ibisladder::gateway::Internal {
namespace {

/// Short, since another instance can tell at once, and this one mostly soon.
constexpr Duration kUnverifiedRetryAfter = Millis(250);

bool AreKeysAccepted(const Forwarder& forwarder, TimePoint received_at) {
  if (!forwarder.settings.strict_revocation) return true;
  const auto& until = forwarder.keys.standing.accepted_until;
  return until && received_at <= *until;
}

/// Whether a listed instance has the address. Only these are believed on whose
/// behalf a request is, since others reach the port between instances, too.
bool IsInstance(const Forwarder& forwarder, const std::string& address) {
  if (address.empty()) return true;
  return std::ranges::any_of(
      forwarder.directory_state.peers,
      [&](const Peer& it) { return it.endpoint.address == address; });
}

routing::Refused Refuse(Context& context, const Call& call,
                        const KeyDecision& decision) {
  const auto& key = call.request->key;
  const Organisation* holder = decision.holder;
  Log(context, LogEvent::kKeyRefused,
      {{"request", call.request->request_id},
       {"route", call.route.name},
       {"reason", decision.reason},
       {"organisation", holder == nullptr ? "" : holder->name},
       {"key", key ? KeyDigits(*context.forwarder.keys.table, *key) : ""}});
  return {*decision.refused, kUnverifiedRetryAfter};
}

}  // namespace

KeyDecision DecideKey(const Forwarder& forwarder, const Route& route,
                      const std::optional<std::string>& key,
                      TimePoint received_at) {
  const bool needs_no_key = route.is_public;
  if (!key && needs_no_key) return {};
  KeyDecision result;
  if (key) result.holder = FindHolder(*forwarder.keys.table, *key);
  if (!AreKeysAccepted(forwarder, received_at)) {
    result.refused = ResultCode::kKeyUnverified;
    result.reason = "configuration not verified";
    return result;
  }
  if (result.holder != nullptr) return result;
  if (forwarder.keys.standing.is_behind) {
    result.refused = ResultCode::kKeyUnverified;
    result.reason = "configuration behind";
  } else if (!needs_no_key) {
    result.refused = ResultCode::kKeyUnknown;
    result.reason = key ? "unknown key" : "no key";
  }
  return result;
}

std::optional<routing::Refused> CheckOrganisation(Context& context, CallId id) {
  const Forwarder& forwarder = context.forwarder;
  if (!forwarder.keys.table) return std::nullopt;
  Call& call = context.forwarder.calls.at(id);
  call.is_key_checked = true;
  const KeyDecision decision = DecideKey(
      forwarder, call.route, call.request->key, call.request->received_at);
  if (decision.refused) return Refuse(context, call, decision);
  if (const Organisation* holder = decision.holder) {
    call.organisation = holder->name;
    if (holder->priority) call.priority = PriorityOf(*holder->priority);
  }
  return std::nullopt;
}

std::optional<routing::Refused> CheckRelayedCaller(Context& context,
                                                   CallId id) {
  Call& call = context.forwarder.calls.at(id);
  const auto& caller = call.request->relayed->caller;
  if (!caller) return CheckOrganisation(context, id);
  if (!IsInstance(context.forwarder, call.request->relay_address)) {
    return routing::Refused{ResultCode::kNotReady, kUnverifiedRetryAfter};
  }
  call.is_key_checked = true;
  call.priority = caller->priority;
  call.organisation = caller->organisation;
  return std::nullopt;
}

std::optional<std::string> OrganisationFieldOf(const Forwarder& forwarder,
                                               const Call& call) {
  // A call from before the first configuration with organisations must not
  // carry a field of its caller's making either.
  if (!call.is_key_checked && !forwarder.keys.table) return std::nullopt;
  return call.organisation;
}

}  // namespace ibisladder::gateway::Internal
