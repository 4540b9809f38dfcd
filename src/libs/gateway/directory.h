#ifndef LIBS_GATEWAY_DIRECTORY_H_
#define LIBS_GATEWAY_DIRECTORY_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// Selects the instances whose addresses are given to callers. Instances with
/// the same list of members select the same ones.
namespace ibisladder::gateway {

/// An instance's registration in the store. The other members are its peers.
struct Member {
  std::string name;
  Incarnation incarnation;
  ZoneName zone;
  Endpoint caller_endpoint;
  /// UDP; receives peers' evidence and list updates.
  Endpoint peer_endpoint;
  /// TCP; takes requests from instances that reach no server themselves.
  Endpoint relay_endpoint;
  /// Processor time that the instance may use, in thousandths of a core, and
  /// the bandwidth of its link; 0: not known.
  std::uint32_t millicores = 0;
  std::uint32_t link_mbps = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation, zone, caller_endpoint, peer_endpoint,
            relay_endpoint, millicores, link_mbps);
  }
  friend bool operator==(const Member&, const Member&) = default;
};

struct DirectorySettings {
  /// In each availability zone, as much processor time is advertised as so many
  /// of its instances have on average, and no fewer than two instances. With
  /// fewer instances, each one sees more requests to every server.
  std::size_t instances_per_zone = 4;
  /// Callers in a zone with fewer advertised instances than this also get those
  /// of all other zones.
  std::size_t min_addresses = 2;
};

/// Returns the members whose addresses callers get, of all zones.
std::vector<Member> AdvertisedMembers(std::span<const Member> members,
                                      const DirectorySettings& settings);

/// Another instance, which can take requests that this one cannot send.
struct Peer {
  std::string name;
  ZoneName zone;
  /// TCP; takes requests from other instances.
  Endpoint endpoint;
  bool is_advertised = false;

  bool operator==(const Peer&) const = default;
};

/// What an instance derives from the list of advertised instances.
struct DirectoryState {
  /// Number of advertised instances. They share the servers' capacity and the
  /// fleet's retry budget.
  std::size_t advertised_instances = 1;
  /// Whether this instance is advertised. Other instances get a retry burst of
  /// one, since too few requests reach them to accumulate a retry budget.
  bool is_advertised = true;
  /// Number of advertised instances in this instance's zone, and its place
  /// among them. They divide the servers of the zone among them when requests
  /// are rare. 0 if it is not advertised.
  std::size_t zone_instances = 0;
  std::size_t zone_place = 0;
  /// The advertised instances, from which the owners of trials are chosen.
  std::vector<std::string> advertised;
  /// This instance, and all instances, advertised or not. From these the
  /// keepers of servers with limits are chosen.
  std::string self;
  std::vector<std::string> members;
  /// All other instances.
  std::vector<Peer> peers;

  bool operator==(const DirectoryState&) const = default;
};

/// Returns the state of the member `name`. A name that is not in `members` is
/// not advertised.
DirectoryState DirectoryStateOf(std::span<const Member> members,
                                const std::string& name,
                                const DirectorySettings& settings);

/// Returns the addresses for a caller in `zone`: the advertised instances of
/// that zone, and those of the other zones if there are fewer than
/// `min_addresses`.
std::vector<Endpoint> AddressesFor(std::span<const Member> members,
                                   const ZoneName& zone,
                                   const DirectorySettings& settings);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_DIRECTORY_H_
