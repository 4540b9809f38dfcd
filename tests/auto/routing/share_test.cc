// Tests how instances divide the servers of a service when requests are rare.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

#include "libs/routing/router.h"
#include "tests/auto/routing/support.h"
#include "tests/auto/support/story.h"

namespace ibisladder::routing {
namespace {

using detection::AttemptEnd;
using testing::Section;

constexpr TimePoint kStart(Seconds(100));
constexpr Duration kAnswerTime = Millis(1);
constexpr int kInstances = 4;

/// One instance. Its requests are answered at once.
struct Instance {
  RouterPtr router;
  Random random;
  TimePoint now = kStart;
  std::uint64_t last_call = 0;
  std::set<BackendServerId> failing;
};

Instance MakeInstance(const std::vector<Candidate>& servers,
                      const Share& share) {
  Instance instance;
  instance.router = MakeRouter({}, Here(), kStart);
  SetShare(*instance.router, share);
  SetCandidates(*instance.router, servers, kInstances, kStart);
  return instance;
}

BackendServerId Send(Instance& instance, Duration gap) {
  instance.now += gap;
  const auto request =
      MakeRequest(++instance.last_call, instance.now + Seconds(1));
  const auto placement =
      Place(*instance.router, request, instance.now, instance.random);
  CPPUNIT_ASSERT(std::holds_alternative<Dispatch>(placement));
  const BackendServerId server = std::get<Dispatch>(placement).server;
  const auto end =
      instance.failing.contains(server) ? AttemptEnd::kError : AttemptEnd::kOk;
  AttemptEnded(*instance.router, server, end, kAnswerTime,
               instance.now + kAnswerTime);
  return server;
}

/// Returns the number of requests by server, after enough of them to measure
/// the gap. `unserved_each`: after as many of them, one of the same route goes
/// unserved at another service; 0: none does.
std::map<BackendServerId, int> SendMany(Instance& instance, int requests,
                                        Duration gap, int unserved_each = 0) {
  constexpr int kFirst = 100;
  std::map<BackendServerId, int> counts;
  for (int n = 1; n <= kFirst + requests; ++n) {
    const BackendServerId it = Send(instance, gap);
    if (n > kFirst) ++counts[it];
    if (unserved_each > 0 && n % unserved_each == 0) {
      RecordCallOutcome(*instance.router, false);
    }
  }
  return counts;
}

class ShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShareTest);
  CPPUNIT_TEST(InstancesDivideTheServersOfTheirZone);
  CPPUNIT_TEST(FrequentRequestsReachAllServers);
  CPPUNIT_TEST(VeryRareRequestsUseNoShare);
  CPPUNIT_TEST(FewerServersThanInstances);
  CPPUNIT_TEST(FailedServerOfTheShareIsAvoided);
  CPPUNIT_TEST(OtherZonesGetRequestsWhileManyGoUnserved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InstancesDivideTheServersOfTheirZone() {
    const auto servers = MakeServers(12, 12);
    std::set<BackendServerId> used;
    for (std::size_t place = 0; place < kInstances; ++place) {
      Instance instance = MakeInstance(servers, {kInstances, place});
      const auto counts = SendMany(instance, 30, Millis(500));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, counts.size());
      for (const auto& [server, count] : counts) {
        CPPUNIT_ASSERT_EQUAL(10, count);
        CPPUNIT_ASSERT(used.insert(server).second);
      }
    }
    for (std::size_t n = 0; n < 12; ++n) {
      CPPUNIT_ASSERT(used.contains(servers[n].id));
    }
  }

  void FrequentRequestsReachAllServers() {
    const auto servers = MakeServers(12, 0);
    Section("as many as within a second, if others have no callers", [&] {
      Instance instance = MakeInstance(servers, {kInstances, 1});
      CPPUNIT_ASSERT_EQUAL(std::size_t{8},
                           SendMany(instance, 100, Millis(125)).size());
    });
    Section("all of the zone", [&] {
      Instance instance = MakeInstance(servers, {kInstances, 1});
      CPPUNIT_ASSERT_EQUAL(std::size_t{12},
                           SendMany(instance, 200, Millis(50)).size());
    });
  }

  /// They find no connection open, and must not return to the same server.
  void VeryRareRequestsUseNoShare() {
    Instance instance = MakeInstance(MakeServers(12, 0), {kInstances, 0});
    CPPUNIT_ASSERT(SendMany(instance, 100, Seconds(9)).size() > 6);
  }

  void FewerServersThanInstances() {
    const auto servers = MakeServers(3, 3);
    std::set<BackendServerId> used;
    for (std::size_t place = 0; place < kInstances; ++place) {
      Instance instance = MakeInstance(servers, {kInstances, place});
      for (const auto& it : SendMany(instance, 20, Millis(1500))) {
        used.insert(it.first);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, used.size());
  }

  /// If the only server of an instance's share fails, requests to others must
  /// show that these are healthy.
  void FailedServerOfTheShareIsAvoided() {
    Instance instance = MakeInstance(MakeServers(4, 0), {kInstances, 0});
    const auto share = SendMany(instance, 10, Millis(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, share.size());
    const BackendServerId failing = share.begin()->first;
    instance.failing = {failing};
    CPPUNIT_ASSERT(Send(instance, Millis(900)) == failing);
    CPPUNIT_ASSERT(Send(instance, Millis(900)) != failing);
    Section("but used again after two seconds", [&] {
      Send(instance, Millis(900));
      CPPUNIT_ASSERT(Send(instance, Millis(900)) == failing);
    });
  }

  /// A zone may have no callers, and its servers must not be left without
  /// requests then.
  void OtherZonesGetRequestsWhileManyGoUnserved() {
    const auto servers = MakeServers(4, 8);
    const auto count_others = [&](const std::map<BackendServerId, int>& used) {
      return std::count_if(servers.begin(), servers.end(),
                           [&](const Candidate& it) {
                             return it.zone == There() && used.contains(it.id);
                           });
    };
    Instance instance = MakeInstance(servers, {kInstances, 0});
    Section("none while requests are served", [&] {
      CPPUNIT_ASSERT(count_others(SendMany(instance, 200, Millis(50))) == 0);
    });
    Section("this instance's share once they go unserved", [&] {
      const auto used = SendMany(instance, 200, Millis(50), 4);
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, count_others(used));
      Section("each about every 1.5 s", [&] {
        for (const auto& it : servers) {
          if (it.zone == Here() || !used.contains(it.id)) continue;
          CPPUNIT_ASSERT(used.at(it.id) >= 6 && used.at(it.id) <= 7);
        }
      });
    });
    Section("none if other instances use them", [&] {
      for (const auto& it : servers) {
        ReportLoad(*instance.router, it.id, {1}, instance.now);
      }
      CPPUNIT_ASSERT(count_others(SendMany(instance, 200, Millis(50), 4)) == 0);
    });
    Section("none if the requests suffice only for the own zone", [&] {
      instance.now += Seconds(30);
      CPPUNIT_ASSERT(count_others(SendMany(instance, 40, Millis(600), 4)) == 0);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareTest);

}  // namespace
}  // namespace ibisladder::routing
