#include "libs/gateway/directory.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace ibisladder::gateway {
namespace {

/// Sort key for the members of a zone: a hash of the name, so that the order of
/// the others does not change when a member leaves.
std::uint64_t SortKeyOf(const Member& member) {
  return XXH64(member.name.data(), member.name.size(), 0);
}

using MemberList = std::vector<const Member*>;

/// Returns the members of each zone, those with the largest capacity first.
std::map<ZoneName, MemberList> ByZone(std::span<const Member> members) {
  std::map<ZoneName, MemberList> zones;
  for (const Member& it : members) zones[it.zone].push_back(&it);
  for (auto& [zone, list] : zones) {
    std::ranges::sort(list, [](const Member* a, const Member* b) {
      return std::tuple(b->millicores, b->link_mbps, SortKeyOf(*a)) <
             std::tuple(a->millicores, a->link_mbps, SortKeyOf(*b));
    });
  }
  return zones;
}

/// Returns how many of a zone's members are advertised. Callers spread evenly
/// over the advertised instances, so that the smallest of them limits what all
/// can take: a few large ones may take more than these and many small ones.
std::size_t CountAdvertised(const MemberList& list,
                            const DirectorySettings& settings) {
  constexpr std::size_t kMinInstances = 2;
  const std::size_t usual = std::min(list.size(), settings.instances_per_zone);
  // Without the capacity of all, instances count as equal.
  if (list.back()->millicores == 0) return usual;
  std::uint64_t total = 0;
  for (const Member* it : list) total += it->millicores;
  const std::uint64_t wanted =
      total * settings.instances_per_zone / list.size();
  for (std::size_t n = std::min(kMinInstances, usual); n <= list.size(); ++n) {
    if (n * list[n - 1]->millicores >= wanted) return n;
  }
  return usual;
}

}  // namespace

std::vector<Member> AdvertisedMembers(std::span<const Member> members,
                                      const DirectorySettings& settings) {
  std::vector<Member> result;
  for (const auto& [zone, list] : ByZone(members)) {
    const std::size_t n = CountAdvertised(list, settings);
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
  for (const Member& it : advertised) state.advertised.push_back(it.name);
  for (const Member& it : members) {
    if (it.name == name) continue;
    const bool is_advertised =
        std::ranges::find(advertised, it.name, &Member::name) !=
        advertised.end();
    state.peers.push_back({it.name, it.zone, it.relay_endpoint, is_advertised});
  }
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
