#include "libs/gateway/directory.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

std::vector<Member> MakeMembers(int per_zone) {
  std::vector<Member> members;
  for (const char* zone : {"a", "b"}) {
    for (int i = 0; i < per_zone; ++i) {
      const std::string name = std::string(zone) + std::to_string(i);
      Member member;
      member.name = name;
      member.zone = ZoneName(zone);
      member.caller_endpoint = {name, 1};
      members.push_back(member);
    }
  }
  return members;
}

class DirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryTest);
  CPPUNIT_TEST(CallersGetFewInstancesOfTheirZone);
  CPPUNIT_TEST(EachInstanceKnowsWhetherItIsAdvertised);
  CPPUNIT_TEST(AdvertisedInstancesOfAZoneHaveDifferentPlaces);
  CPPUNIT_TEST(OneAddressChangesWhenAnInstanceLeaves);
  CPPUNIT_TEST(LargeInstancesAreAdvertisedFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachInstanceKnowsWhetherItIsAdvertised() {
    const DirectorySettings settings;
    const auto members = MakeMembers(8);
    const std::size_t advertised = 2 * settings.instances_per_zone;
    std::size_t in_use = 0;
    for (const Member& it : members) {
      const DirectoryState state = DirectoryStateOf(members, it.name, settings);
      CPPUNIT_ASSERT_EQUAL(advertised, state.advertised_instances);
      in_use += state.is_advertised ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(advertised, in_use);
  }

  void AdvertisedInstancesOfAZoneHaveDifferentPlaces() {
    const DirectorySettings settings;
    const auto members = MakeMembers(8);
    std::map<ZoneName, std::set<std::size_t>> places;
    for (const Member& it : members) {
      const DirectoryState state = DirectoryStateOf(members, it.name, settings);
      if (!state.is_advertised) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state.zone_instances);
        continue;
      }
      CPPUNIT_ASSERT_EQUAL(settings.instances_per_zone, state.zone_instances);
      CPPUNIT_ASSERT(state.zone_place < state.zone_instances);
      CPPUNIT_ASSERT(places[it.zone].insert(state.zone_place).second);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, places.size());
  }

  void CallersGetFewInstancesOfTheirZone() {
    const DirectorySettings settings;
    Section("as many addresses as configured, of the caller's zone", [&] {
      const auto addresses =
          AddressesFor(MakeMembers(8), ZoneName("a"), settings);
      CPPUNIT_ASSERT_EQUAL(settings.instances_per_zone, addresses.size());
      for (const auto& it : addresses) CPPUNIT_ASSERT(it.address[0] == 'a');
    });
    Section("other zones if the zone has too few instances", [&] {
      const auto addresses =
          AddressesFor(MakeMembers(1), ZoneName("a"), settings);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, addresses.size());
    });
    Section("other zones if the zone has no instance", [&] {
      CPPUNIT_ASSERT(
          !AddressesFor(MakeMembers(3), ZoneName("c"), settings).empty());
    });
  }

  void OneAddressChangesWhenAnInstanceLeaves() {
    auto members = MakeMembers(8);
    const auto before = AddressesFor(members, ZoneName("a"), {});
    std::erase_if(members, [&](const Member& it) {
      return it.caller_endpoint == before[0];
    });
    const auto after = AddressesFor(members, ZoneName("a"), {});
    const auto kept = std::ranges::count_if(after, [&](const auto& it) {
      return std::ranges::find(before, it) != before.end();
    });
    CPPUNIT_ASSERT_EQUAL(before.size() - 1, static_cast<std::size_t>(kept));
  }

  /// A zone in which most instances have a fifth of the processor time of a
  /// few. Guards against callers who wait at small instances, or lose their
  /// requests there, while large ones are idle.
  void LargeInstancesAreAdvertisedFirst() {
    const auto with_capacities = [](const std::vector<int>& millicores) {
      std::vector<Member> members;
      for (std::size_t i = 0; i < millicores.size(); ++i) {
        Member member;
        member.name = "n" + std::to_string(i);
        member.zone = ZoneName("a");
        member.millicores = static_cast<std::uint32_t>(millicores[i]);
        members.push_back(member);
      }
      return members;
    };
    const auto advertised = [](const std::vector<Member>& members) {
      std::vector<std::uint32_t> result;
      for (const Member& it : AdvertisedMembers(members, {})) {
        result.push_back(it.millicores);
      }
      return result;
    };
    using List = std::vector<std::uint32_t>;
    std::vector<int> mixed(30, 100);
    mixed[7] = 500;
    mixed[19] = 500;
    Section("alone, if they have as much as four average ones", [&] {
      CPPUNIT_ASSERT(advertised(with_capacities(mixed)) == (List{500, 500}));
    });
    Section("with small ones once a large one has left, as many as it takes",
            [&] {
              mixed[7] = 100;
              CPPUNIT_ASSERT(advertised(with_capacities(mixed)) ==
                             (List{500, 100, 100, 100, 100}));
            });
    Section("equal ones are advertised by their number", [&] {
      CPPUNIT_ASSERT_EQUAL(
          std::size_t{4},
          advertised(with_capacities(std::vector<int>(30, 200))).size());
    });
    Section("one that does not tell its capacity counts as the others", [&] {
      mixed[3] = 0;
      CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                           advertised(with_capacities(mixed)).size());
    });
    Section("of equal processor time, those with the faster link come first",
            [&] {
              auto members = with_capacities(std::vector<int>(30, 200));
              members[11].link_mbps = 200;
              CPPUNIT_ASSERT_EQUAL(members[11].name,
                                   AdvertisedMembers(members, {}).at(0).name);
            });
    Section("zones of one or no instance", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           advertised(with_capacities({100})).size());
      CPPUNIT_ASSERT(advertised({}).empty());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);

}  // namespace
}  // namespace ibisladder::gateway
