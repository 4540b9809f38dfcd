#ifndef BENCHMARKS_FIXTURE_H_
#define BENCHMARKS_FIXTURE_H_

#include <cstddef>
#include <vector>

#include "libs/callerpath/caller_path.h"
#include "libs/declarations/declarations.h"
#include "libs/wire/peer_messages.h"

/// Declarations, fleets and messages of a given size.
namespace ibisladder::benchmarks {

/// The defaults are the target's size.
struct FleetSize {
  std::size_t instances = 540;
  std::size_t services = 340;
  std::size_t servers = 8200;
  std::size_t routes = 15000;
  std::size_t organisations = 25000;
  std::size_t zones = 6;
  /// Number of a service's backend servers that one instance uses; 0: all.
  std::uint16_t subset_size = 0;
};

/// Returns the target's size with all numbers except the zones multiplied by
/// `fraction`, at least one of each.
FleetSize Scale(double fraction);

declarations::Declarations MakeDeclarations(const FleetSize& size);
ZoneName MakeZone(std::size_t index, const FleetSize& size);
callerpath::FleetMember MakeMember(std::size_t index, const FleetSize& size);
callerpath::FleetChanged MakeFleet(const FleetSize& size);
/// Returns the caller path of instance 1 with a configuration and a fleet of
/// `size` installed.
callerpath::CallerPathPtr MakeLoadedPath(const FleetSize& size, TimePoint now,
                                         Random& random);
/// Returns a GET request for an idempotent route, with an organisation; both
/// follow from `index`.
callerpath::CallRequest MakeRequest(std::size_t index, const FleetSize& size);
/// Returns a heartbeat with the given numbers of items.
wire::Heartbeat MakeHeartbeat(std::size_t heard, std::size_t members,
                              std::size_t digests);

}  // namespace ibisladder::benchmarks

#endif  // BENCHMARKS_FIXTURE_H_
