#include "libs/gateway/configuration.h"

namespace ibisladder::gateway {

BackendServerId IdOf(const ServerEntry& entry) {
  return MakeBackendServerId(
      entry.service, entry.name + "@" + std::to_string(entry.started_ms));
}

}  // namespace ibisladder::gateway
