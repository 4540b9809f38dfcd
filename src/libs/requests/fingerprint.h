#ifndef LIBS_REQUESTS_FINGERPRINT_H_
#define LIBS_REQUESTS_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

/// Detects that two different requests were sent under the same id.
namespace ibisladder::requests {

/// 128-bit hash of a request's method, target, organisation and body. Header
/// fields do not count.
struct Fingerprint {
  std::uint64_t low = 0;
  std::uint64_t high = 0;

  friend bool operator==(const Fingerprint&, const Fingerprint&) = default;
};

Fingerprint MakeFingerprint(std::string_view method, std::string_view target,
                            std::string_view organisation,
                            std::string_view body);

}  // namespace ibisladder::requests

#endif  // LIBS_REQUESTS_FINGERPRINT_H_
