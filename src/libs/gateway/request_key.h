#ifndef LIBS_GATEWAY_REQUEST_KEY_H_
#define LIBS_GATEWAY_REQUEST_KEY_H_

#include <string>

#include "libs/gateway/messages.h"

namespace ibisladder::gateway {

/// Returns the same key for a request that comes again: with the same method,
/// host, target, caller and body. The caller is told by its IP address and what
/// it authenticates with.
RequestKey KeyOf(const CallerRequest& request);
/// Returns the key as logged, 16 hexadecimal digits.
std::string FormatKey(RequestKey key);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_REQUEST_KEY_H_
