#include "libs/base/strong_types.h"

#include <xxhash.h>

namespace ibisladder {
namespace {

std::uint64_t Hash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

ServiceId MakeServiceId(std::string_view service) {
  return ServiceId(Hash(service));
}

BackendServerId MakeBackendServerId(std::string_view service,
                                    std::string_view server) {
  std::string buf(service);
  buf += '/';
  buf += server;
  return BackendServerId(Hash(buf));
}

OrganisationId MakeOrganisationId(std::string_view organisation) {
  return OrganisationId(Hash(organisation));
}

std::string FormatEndpoint(const Endpoint& endpoint) {
  const bool is_ipv6 = endpoint.address.find(':') != std::string::npos;
  const std::string host =
      is_ipv6 ? "[" + endpoint.address + "]" : endpoint.address;
  return host + ":" + std::to_string(endpoint.port);
}

}  // namespace ibisladder
