#include "libs/gateway/request_key.h"

#include <array>
#include <cinttypes>
#include <cstdio>

#include "libs/requests/fingerprint.h"

namespace ibisladder::gateway {

RequestKey KeyOf(const CallerRequest& request) {
  std::string caller = request.caller_address;
  for (const char* name : {"Authorization", "Cookie"}) {
    const std::string* value = net::FindHeader(request.headers, name);
    caller += '\n' + (value == nullptr ? "" : *value);
  }
  return RequestKey(requests::MakeFingerprint(
                        request.method, request.host + '\n' + request.target,
                        caller, request.body)
                        .low);
}

std::string FormatKey(RequestKey key) {
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016" PRIx64, key.value());
  return buf.data();
}

}  // namespace ibisladder::gateway
