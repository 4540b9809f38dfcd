#ifndef LIBS_GATEWAY_REQUEST_KEY_H_
#define LIBS_GATEWAY_REQUEST_KEY_H_

#include <string>

#include "libs/gateway/messages.h"

namespace ibisladder::gateway {

/// Returns the keys of method, host, path and body, with and without the
/// caller. The caller is told by its IP address and what it authenticates with.
/// The query does not count. Requests of different organisations have different
/// keys, since servers may treat them differently.
RequestKeys KeysOf(const CallerRequest& request,
                   const std::string& organisation = "");
/// Returns the key as logged, 16 hexadecimal digits.
std::string FormatKey(RequestKey key);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_REQUEST_KEY_H_
