#include "libs/requests/fingerprint.h"

#include <xxhash.h>

#include <string>

namespace ibisladder::requests {

Fingerprint MakeFingerprint(std::string_view method, std::string_view target,
                            std::string_view organisation,
                            std::string_view body) {
  // Each part but the last is preceded by its length, so that moving a byte
  // from one part to the next changes the hash.
  std::string buf;
  for (const auto it : {method, target, organisation}) {
    buf += std::to_string(it.size());
    buf += ':';
    buf += it;
  }
  buf += body;
  const XXH128_hash_t hash = XXH3_128bits(buf.data(), buf.size());
  return {hash.low64, hash.high64};
}

}  // namespace ibisladder::requests
