// Guards against subsets that load servers unevenly, change for most instances
// when one server is removed, or lie in a single zone.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <string>

#include "libs/routing/router.h"
#include "tests/auto/support/story.h"

namespace ibisladder::routing {
namespace {

using testing::CheckProperty;
using testing::Section;

ZoneName ZoneOf(std::size_t n, std::size_t zones) {
  return ZoneName("zone-" + std::to_string(n % zones));
}

std::vector<Candidate> MakeZones(std::size_t servers, std::size_t zones) {
  std::vector<Candidate> list;
  for (std::size_t n = 0; n < servers; ++n) {
    Candidate server;
    server.id = MakeBackendServerId("service", std::to_string(n));
    server.zone = ZoneOf(n, zones);
    list.push_back(server);
  }
  return list;
}

std::set<BackendServerId> SubsetOf(const std::vector<Candidate>& servers,
                                   std::size_t instance, std::size_t zones,
                                   std::size_t size) {
  const auto chosen =
      ChooseSubset(servers, InstanceId(static_cast<std::uint32_t>(instance)),
                   ZoneOf(instance, zones), size);
  return {chosen.begin(), chosen.end()};
}

class SubsetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SubsetTest);
  CPPUNIT_TEST(UsesServersEvenly);
  CPPUNIT_TEST(RemovedServerMovesFewOthers);
  CPPUNIT_TEST(SpansZones);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UsesServersEvenly() {
    for (const std::size_t size : {12, 24, 48}) {
      std::map<BackendServerId, int> users;
      const auto servers = MakeZones(198, 6);
      for (std::size_t n = 1; n <= 540; ++n) {
        for (const auto id : SubsetOf(servers, n, 6, size)) ++users[id];
      }
      const auto [least, most] = std::ranges::minmax_element(
          users, {}, [](const auto& it) { return it.second; });
      std::cout << "  540 instances, 198 servers, subset of " << size
                << ": users of a server " << least->second << " to "
                << most->second << "\n";
      CPPUNIT_ASSERT_EQUAL(servers.size(), users.size());
      CPPUNIT_ASSERT(most->second * 10 <= least->second * 16);
    }
  }

  void RemovedServerMovesFewOthers() {
    CheckProperty("a removed server moves few others", 3, 100, [] {
      const auto count = *rc::gen::inRange<std::size_t>(20, 120);
      const auto size = *rc::gen::inRange<std::size_t>(1, 20);
      auto servers = MakeZones(count, 3);
      const auto gone = *rc::gen::inRange<std::size_t>(0, count);
      const BackendServerId gone_id = servers[gone].id;
      auto fewer = servers;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(gone));
      constexpr std::size_t kInstances = 100;
      std::size_t moved = 0;
      for (std::size_t n = 0; n < kInstances; ++n) {
        const auto before = SubsetOf(servers, n, 3, size);
        const auto after = SubsetOf(fewer, n, 3, size);
        RC_ASSERT(before.size() == size);
        RC_ASSERT(after.size() == size);
        std::size_t left = 0;
        for (const auto id : before) {
          if (id != gone_id && !after.contains(id)) ++left;
        }
        RC_ASSERT(left <= 1U);
        moved += left;
      }
      // Not counting the places of the removed server itself.
      RC_ASSERT(moved <= kInstances * 6 / 10);
    });
  }

  void SpansZones() {
    Section("a subset", [] {
      const auto servers = MakeZones(60, 3);
      const auto subset = SubsetOf(servers, 1, 3, 12);
      std::map<ZoneName, int> zones;
      for (const auto& it : servers) {
        if (subset.contains(it.id)) ++zones[it.zone];
      }
      Section("has half of its servers in the own zone",
              [&] { CPPUNIT_ASSERT_EQUAL(6, zones[ZoneOf(1, 3)]); });
      Section("has the rest evenly in the other zones", [&] {
        CPPUNIT_ASSERT_EQUAL(3, zones[ZoneOf(0, 3)]);
        CPPUNIT_ASSERT_EQUAL(3, zones[ZoneOf(2, 3)]);
      });
      Section("contains all servers when the size is 0", [&] {
        CPPUNIT_ASSERT_EQUAL(servers.size(), SubsetOf(servers, 1, 3, 0).size());
      });
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubsetTest);

}  // namespace
}  // namespace ibisladder::routing
