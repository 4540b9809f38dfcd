#include "libs/gateway/directory.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace ibisladder::gateway {
namespace {

/// Sort key for the members of a zone: a hash of the name, so that the order of
/// the others does not change when a member leaves.
std::uint64_t SortKeyOf(const Member& member) {
  return XXH64(member.name.data(), member.name.size(), 0);
}

std::map<ZoneName, std::vector<const Member*>> ByZone(
    std::span<const Member> members) {
  std::map<ZoneName, std::vector<const Member*>> zones;
  for (const Member& it : members) zones[it.zone].push_back(&it);
  for (auto& [zone, list] : zones) {
    std::ranges::sort(list, {},
                      [](const Member* it) { return SortKeyOf(*it); });
  }
  return zones;
}

}  // namespace

std::vector<Member> AdvertisedMembers(std::span<const Member> members,
                                      const DirectorySettings& settings) {
  std::vector<Member> result;
  for (const auto& [zone, list] : ByZone(members)) {
    const std::size_t n = std::min(list.size(), settings.instances_per_zone);
    for (std::size_t i = 0; i < n; ++i) result.push_back(*list[i]);
  }
  return result;
}

DirectoryState DirectoryStateOf(std::span<const Member> members,
                                const std::string& name,
                                const DirectorySettings& settings) {
  const auto advertised = AdvertisedMembers(members, settings);
  DirectoryState state;
  state.self = name;
  for (const Member& it : members) state.members.push_back(it.name);
  state.advertised_instances = advertised.size();
  const auto self = std::ranges::find(advertised, name, &Member::name);
  state.is_advertised = self != advertised.end();
  if (!state.is_advertised) return state;
  const auto is_in_zone = [&](const Member& it) {
    return it.zone == self->zone;
  };
  state.zone_instances = std::ranges::count_if(advertised, is_in_zone);
  state.zone_place = std::count_if(advertised.begin(), self, is_in_zone);
  return state;
}

std::vector<Endpoint> AddressesFor(std::span<const Member> members,
                                   const ZoneName& zone,
                                   const DirectorySettings& settings) {
  std::vector<Endpoint> own;
  std::vector<Endpoint> others;
  for (const Member& it : AdvertisedMembers(members, settings)) {
    (it.zone == zone ? own : others).push_back(it.caller_endpoint);
  }
  if (own.size() < settings.min_addresses) {
    own.insert(own.end(), others.begin(), others.end());
  }
  return own;
}

}  // namespace ibisladder::gateway
