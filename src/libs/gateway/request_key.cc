#include "libs/gateway/request_key.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <string_view>

#include "libs/gateway/route_table.h"
#include "libs/requests/fingerprint.h"

namespace ibisladder::gateway {

RequestKeys KeysOf(const CallerRequest& request,
                   const std::string& organisation) {
  std::string caller = request.caller_address;
  for (const char* name : {"Authorization", "Cookie"}) {
    const std::string* value = net::FindHeader(request.headers, name);
    caller += '\n' + (value == nullptr ? "" : *value);
  }
  if (!organisation.empty()) caller += '\n' + organisation;
  const std::string path = request.target.substr(0, request.target.find('?'));
  // Instances may be addressed by different ports.
  const std::string place =
      std::string(WithoutPort(request.host)) + '\n' + path;
  const auto key = [&](std::string_view sender) {
    return RequestKey(
        requests::MakeFingerprint(request.method, place, sender, request.body)
            .low);
  };
  return {key(caller), key(organisation)};
}

std::string FormatKey(RequestKey key) {
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016" PRIx64, key.value());
  return buf.data();
}

}  // namespace ibisladder::gateway
