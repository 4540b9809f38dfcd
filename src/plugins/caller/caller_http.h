#ifndef PLUGINS_CALLER_CALLER_HTTP_H_
#define PLUGINS_CALLER_CALLER_HTTP_H_

#include <variant>

#include "libs/callerpath/messages.h"
#include "libs/net/http_server.h"

/// Converts between HTTP and the events and answers of the caller path.
/// docs/CALLERS.md describes the interface.
namespace ibisladder::caller {

/// A request on the caller endpoint as an event, or the answer to an invalid
/// one.
using CallerQuery =
    std::variant<callerpath::CallArrived, callerpath::OutcomeRequested,
                 callerpath::AddressesRequested, callerpath::CallerAnswer>;

/// Converts a request. Malformed requests and unknown API paths yield an
/// answer.
CallerQuery ReadQuery(CallId call, net::HttpRequest request);

/// Returns the header fields of an answer, including outcome, result and
/// Retry-After.
net::Headers AnswerHeaders(const callerpath::CallerAnswer& answer);

}  // namespace ibisladder::caller

#endif  // PLUGINS_CALLER_CALLER_HTTP_H_
