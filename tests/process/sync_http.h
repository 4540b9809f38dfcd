#ifndef TESTS_PROCESS_SYNC_HTTP_H_
#define TESTS_PROCESS_SYNC_HTTP_H_

#include <optional>

#include "libs/net/http_client.h"

namespace ibisladder::process {

/// Sends one call and waits for the answer. Returns nothing when the call
/// fails.
std::optional<net::HttpAnswer> Exchange(net::HttpCall call);

}  // namespace ibisladder::process

#endif  // TESTS_PROCESS_SYNC_HTTP_H_
