#ifndef LIBS_GATEWAY_AUTHORISATION_H_
#define LIBS_GATEWAY_AUTHORISATION_H_

#include <optional>
#include <string>

#include "libs/gateway/forwarder_state.h"

/// On whose behalf requests come.
namespace ibisladder::gateway::Internal {

/// What a request's key says.
struct KeyDecision {
  /// Null if no organisation holds the key.
  const Organisation* holder = nullptr;
  /// Set if the request must not run; then `reason` says why.
  std::optional<ResultCode> refused;
  const char* reason = "";
};

/// Decides about a request on a route, without side effects. Call only if the
/// configuration in force contains organisations.
KeyDecision DecideKey(const Forwarder& forwarder, const Route& route,
                      const std::optional<std::string>& key,
                      TimePoint received_at);

/// Finds the organisation of a call whose route is known, and sets its name and
/// priority. Returns the refusal of a call that must not run.
std::optional<routing::Refused> CheckOrganisation(Context& context, CallId id);

/// Adopts what the instance that passed a request on knows of its caller. If
/// its build or configuration knows no organisations, it tells nothing; the
/// request's key is looked up here then. Returns the refusal of a call that
/// must not run.
std::optional<routing::Refused> CheckRelayedCaller(Context& context, CallId id);
/// Returns what servers are told of the call's organisation, as in SendAttempt.
std::optional<std::string> OrganisationFieldOf(const Forwarder& forwarder,
                                               const Call& call);

}  // namespace ibisladder::gateway::Internal

#endif  // LIBS_GATEWAY_AUTHORISATION_H_
