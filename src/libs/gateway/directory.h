#ifndef LIBS_GATEWAY_DIRECTORY_H_
#define LIBS_GATEWAY_DIRECTORY_H_

#include <span>
#include <string>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// Which instances callers are sent to. All instances with the same list of
/// members give the same answer.
namespace ibisladder::gateway {

/// An instance as it registers itself.
struct Member {
  std::string name;
  Incarnation incarnation;
  ZoneName zone;
  Endpoint caller_endpoint;
  /// UDP.
  Endpoint peer_endpoint;
  /// TCP, for instances that start without the store.
  Endpoint state_endpoint;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation, zone, caller_endpoint, peer_endpoint,
            state_endpoint);
  }
  friend bool operator==(const Member&, const Member&) = default;
};

struct DirectorySettings {
  /// Instances of each availability zone that callers are sent to: with few
  /// of them each one sees more of every server, and keeps more connections.
  std::size_t instances_per_zone = 4;
  /// Addresses of an answer at the least, from other zones if need be.
  std::size_t min_addresses = 2;
};

/// Members that callers of some zone are sent to.
std::vector<Member> AdvertisedMembers(std::span<const Member> members,
                                      const DirectorySettings& settings);

/// This instance's part of the fleet.
struct DirectoryState {
  /// Instances that callers are sent to: they share servers and retries.
  std::size_t advertised_instances = 1;
  /// Whether this one is among them. What arrives at others is too little to
  /// save up second attempts for.
  bool is_advertised = true;

  bool operator==(const DirectoryState&) const = default;
};

/// The share of the member `name`.
DirectoryState DirectoryStateOf(std::span<const Member> members,
                                const std::string& name,
                                const DirectorySettings& settings);

/// Addresses for a caller in `zone`.
std::vector<Endpoint> AddressesFor(std::span<const Member> members,
                                   const ZoneName& zone,
                                   const DirectorySettings& settings);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_DIRECTORY_H_
