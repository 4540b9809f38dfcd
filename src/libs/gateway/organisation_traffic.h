#ifndef LIBS_GATEWAY_ORGANISATION_TRAFFIC_H_
#define LIBS_GATEWAY_ORGANISATION_TRAFFIC_H_

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "libs/base/time.h"

/// Counts the latest requests of each organisation, for operators. No decision
/// depends on these counts.
namespace ibisladder::gateway {

/// Requests of one organisation that arrived at this instance first.
struct RequestCounts {
  std::uint64_t arrived = 0;
  /// Sent to a server or to another instance.
  std::uint64_t admitted = 0;
  /// Answered by this instance without having been sent.
  std::uint64_t refused = 0;

  friend bool operator==(const RequestCounts&, const RequestCounts&) = default;
};

struct OrganisationTraffic {
  /// The running second and those before it.
  static constexpr std::size_t kSeconds = 10;

  struct Recent {
    std::array<RequestCounts, kSeconds> by_second;
    /// The latest second with a count.
    std::int64_t second = 0;
  };
  std::unordered_map<std::string, Recent> organisations;
  /// When idle organisations were last removed.
  std::int64_t cleaned_second = 0;
};

/// Adds to the counts of the running second. Once a second, removes the
/// organisations without requests in the last 10 s.
void AddRequests(OrganisationTraffic& traffic, const std::string& organisation,
                 const RequestCounts& counts, TimePoint now);
/// Returns the sums over the last 10 s.
RequestCounts SumOf(const OrganisationTraffic::Recent& recent, TimePoint now);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_ORGANISATION_TRAFFIC_H_
