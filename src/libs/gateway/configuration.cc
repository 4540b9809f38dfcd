#include "libs/gateway/configuration.h"

namespace ibisladder::gateway {

BackendServerId IdOf(const ServerEntry& entry) {
  return MakeBackendServerId(
      entry.service, entry.name + "@" + std::to_string(entry.started_ms));
}

bool EqualExceptWarmUp(const ServerEntry& a, const ServerEntry& b) {
  ServerEntry same = b;
  same.warm_up_left = a.warm_up_left;
  return a == same;
}

}  // namespace ibisladder::gateway
