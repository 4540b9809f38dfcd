#ifndef LIBS_GATEWAY_ADMISSION_CALLS_H_
#define LIBS_GATEWAY_ADMISSION_CALLS_H_

#include "libs/gateway/forwarder_state.h"

/// Delays or refuses calls while a service has too little room. Does nothing
/// unless the configuration has competing callers.
namespace ibisladder::gateway::Internal {

/// Returns whether the call waits for room or was refused; otherwise it may be
/// placed.
bool AwaitsAdmission(Context& context, CallId id);
/// Returns whether the call waits for retry budget or was refused; otherwise a
/// further attempt may be placed.
bool AwaitsRetry(Context& context, CallId id);
/// Places or refuses the waiting calls of a service whose turn it is.
void PlaceAdmitted(Context& context, ServiceState& service);
/// Ends the wait of a call for admission, if it waits.
void ReleaseAdmission(Context& context, CallId id);
/// Returns when the caller of a refused call should return: within a third of
/// the time that the call has left, at a random time so that returns are
/// spread. The refusal's own time where callers don't compete, or where servers
/// limit their requests.
Duration SpreadRetryAfter(Context& context, const Call& call,
                          const routing::Refused& refused);
/// Learns from the end of an attempt at a server.
void RecordAdmissionEnd(Context& context, const Attempt& attempt,
                        detection::AttemptEnd end);
/// Tells other instances what is seen here while room is lacking, and logs the
/// begin and end of overload.
void SharePressureIfDue(Context& context);
void MergePressureMessage(Context& context,
                          const admission::PressureMessage& message);

}  // namespace ibisladder::gateway::Internal

#endif  // LIBS_GATEWAY_ADMISSION_CALLS_H_
