#ifndef PLUGINS_CALLER_CALLER_HTTP_H_
#define PLUGINS_CALLER_CALLER_HTTP_H_

#include <variant>

#include "libs/callerpath/messages.h"
#include "libs/net/http_server.h"

/// The callers' HTTP interface as events and answers; docs/CALLERS.md is its
/// page.
namespace ibisladder::caller {

/// What a request on the caller endpoint asks for.
using CallerQuery =
    std::variant<callerpath::CallArrived, callerpath::OutcomeRequested,
                 callerpath::AddressesRequested, callerpath::CallerAnswer>;

/// The event for a request, or the answer when it is malformed.
CallerQuery ReadQuery(CallId call, net::HttpRequest request);

/// Header fields of an answer, with outcome, result and Retry-After.
net::Headers AnswerHeaders(const callerpath::CallerAnswer& answer);

}  // namespace ibisladder::caller

#endif  // PLUGINS_CALLER_CALLER_HTTP_H_
