#ifndef BENCHMARKS_FIXTURE_H_
#define BENCHMARKS_FIXTURE_H_

#include <cstddef>
#include <vector>

#include "libs/callerpath/caller_path.h"
#include "libs/declarations/declarations.h"
#include "libs/wire/peer_messages.h"

/// Declarations, fleets and messages of a stated size.
namespace ibisladder::benchmarks {

struct FleetSize {
  std::size_t instances = 540;
  std::size_t services = 340;
  std::size_t servers = 8200;
  std::size_t routes = 15000;
  std::size_t organisations = 25000;
  std::size_t zones = 6;
  /// Backend servers of a service that one instance uses; 0: all.
  std::uint16_t subset_size = 0;
};

/// The target's size with everything scaled by `part`, at least one of each.
FleetSize Scale(double fraction);

declarations::Declarations MakeDeclarations(const FleetSize& size);
ZoneName MakeZone(std::size_t index, const FleetSize& size);
callerpath::FleetMember MakeMember(std::size_t index, const FleetSize& size);
callerpath::FleetChanged MakeFleet(const FleetSize& size);
/// A path with `size` installed. The instance is number 1.
callerpath::CallerPathPtr MakeLoadedPath(const FleetSize& size, TimePoint now,
                                         Random& random);
/// Target of the idempotent route `index`, with an organisation.
callerpath::CallRequest MakeRequest(std::size_t index, const FleetSize& size);
wire::Heartbeat MakeHeartbeat(std::size_t heard, std::size_t members,
                              std::size_t digests);

}  // namespace ibisladder::benchmarks

#endif  // BENCHMARKS_FIXTURE_H_
