#ifndef LIBS_GATEWAY_REQUEST_KEY_H_
#define LIBS_GATEWAY_REQUEST_KEY_H_

#include <cstdint>
#include <string>

#include "libs/base/strong_types.h"
#include "libs/gateway/messages.h"

namespace ibisladder::gateway {

/// 64-bit hash of a request's method, host, target, caller and body: equal for
/// a request that comes again. The caller is told by its IP address and what it
/// authenticates with.
using RequestKey = Strong<struct RequestKeyTag, std::uint64_t>;

RequestKey KeyOf(const CallerRequest& request);
/// Returns the key as logged, 16 hexadecimal digits.
std::string FormatKey(RequestKey key);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_REQUEST_KEY_H_
