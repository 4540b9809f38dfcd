#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "tests/auto/callerpath/path_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::callerpath {
namespace {

using testing::Section;

FleetMember MakeMember(std::uint32_t n, const std::string& zone) {
  FleetMember it;
  it.instance = InstanceId(n);
  it.incarnation = Incarnation(n);
  it.era = Era(5);
  it.zone = ZoneName(zone);
  it.caller_endpoint = {"10.1.0." + std::to_string(n), 7001};
  return it;
}

/// Three zones with three instances each; 7 to 9 are in quito-a.
FleetChanged MakeFleet() {
  FleetChanged fleet;
  for (std::uint32_t n = 1; n <= 9; ++n) {
    fleet.members.push_back(
        MakeMember(n, "quito-" + std::string(1, "cba"[(n - 1) / 3])));
  }
  return fleet;
}

struct Answer {
  ResultCode code = ResultCode::kInternal;
  std::vector<std::string> addresses;
  std::vector<std::string> zones;
};

Answer AskAddresses(PathFixture& fixture, const std::string& service = "") {
  const CallId call(++fixture.calls);
  fixture.Feed(AddressesRequested{call, service});
  const CallerAnswer caller_answer = *fixture.AnswerFor(call);
  Answer answer{caller_answer.code, {}, {}};
  if (caller_answer.code != ResultCode::kDone) return answer;
  const auto body = nlohmann::json::parse(caller_answer.body);
  for (const auto& it : body["addresses"]) {
    answer.addresses.push_back(it["address"]);
    answer.zones.push_back(it["zone"]);
    CPPUNIT_ASSERT(requests::ParseTicket(it["ticket"].get<std::string>()));
  }
  return answer;
}

class DiscoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DiscoveryTest);
  CPPUNIT_TEST(AddressesAreSpread);
  CPPUNIT_TEST(LeavingInstancesAreNotAdvertised);
  CPPUNIT_TEST(ConnectionsAreDividedAmongInstances);
  CPPUNIT_TEST(PlannedStopCompletesAllRequests);
  CPPUNIT_TEST(LeavingServersGetNoNewRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AddressesAreSpread() {
    Section("three addresses of nine instances in three zones", [] {
      PathFixture it;
      it.Feed(MakeFleet());
      std::map<std::string, int> first;
      for (int n = 0; n < 900; ++n) {
        const Answer answer = AskAddresses(it, "billing");
        ++first[answer.addresses[0]];
        const std::set<std::string> zones(answer.zones.begin(),
                                          answer.zones.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, zones.size());
        CPPUNIT_ASSERT_EQUAL(std::string("quito-a"), answer.zones[0]);
      }
      Section("begin with each instance of the own zone alike", [&] {
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.size());
        for (const auto& [address, n] : first) CPPUNIT_ASSERT(n > 250);
      });
    });
    Section("without a configuration there are none", [] {
      PathFixture it(/*is_ready=*/false);
      CPPUNIT_ASSERT(AskAddresses(it).code == ResultCode::kNotReady);
    });
    Section("a service that is not declared has none", [] {
      PathFixture it;
      CPPUNIT_ASSERT(AskAddresses(it, "no").code == ResultCode::kNoRoute);
    });
  }

  void LeavingInstancesAreNotAdvertised() {
    Section("an instance that leaves or is drained is not handed out", [] {
      PathFixture it;
      FleetChanged fleet = MakeFleet();
      for (auto& member : fleet.members) {
        member.leaving = member.instance != InstanceId(1);
      }
      it.Feed(fleet);
      it.Feed(DrainChanged{true});
      CPPUNIT_ASSERT(AskAddresses(it).addresses ==
                     std::vector<std::string>{"10.1.0.1:7001"});
      Section("until it is undrained", [&] {
        it.Feed(DrainChanged{false});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, AskAddresses(it).addresses.size());
      });
    });
  }

  void PlannedStopCompletesAllRequests() {
    Section("an instance that is to stop", [] {
      PathFixture it;
      it.Feed(StopRequested{});
      Section("is handed out no more", [&] {
        CPPUNIT_ASSERT(AskAddresses(it).code == ResultCode::kStopping);
      });
      Section("serves those who still have its address", [&] {
        it.AdvanceTime(Millis(49800));
        it.SendCall(MakeAtMostOnceRequest(it.MakeId("a")));
        CPPUNIT_ASSERT(it.Find<SendAttempt>());
      });
      const auto sent = it.Find<SendAttempt>();
      Section("ends only after the last request has", [&] {
        it.AdvanceTime(Millis(500));
        CPPUNIT_ASSERT(!it.Find<Drained>());
        it.Feed(MakeAnswer(*sent));
        CPPUNIT_ASSERT(it.CodeFor(CallId(it.calls)) == ResultCode::kDone);
        it.Feed(Tick{});
        CPPUNIT_ASSERT(it.Find<Drained>());
      });
      Section("refuses what comes later, and not run", [&] {
        const CallId late = it.SendCall(MakeAtMostOnceRequest(it.MakeId("b")));
        CPPUNIT_ASSERT(it.CodeFor(late) == ResultCode::kStopping);
      });
      Section("says so once", [&] {
        it.Feed(Tick{});
        CPPUNIT_ASSERT(!it.Find<Drained>());
      });
    });
  }

  void LeavingServersGetNoNewRequests() {
    const auto servers_used = [](PathFixture& it) {
      // Enough at a time for all slots of all servers.
      std::vector<SendAttempt> sent;
      for (int n = 0; n < 12; ++n) {
        it.SendCall(MakeIdempotentRequest());
        if (const auto attempt = it.Find<SendAttempt>()) {
          sent.push_back(*attempt);
        }
      }
      std::set<BackendServerId> used;
      for (const auto& attempt : sent) {
        used.insert(attempt.server);
        it.Feed(MakeAnswer(attempt));
      }
      return used;
    };
    Section("a server that leaves", [&] {
      const auto leaving = MakeBackendServerId("library", "l1");
      Section("by the list or a peer gets no new work", [&] {
        PathFixture it;
        it.Feed(ServersLeaving{{leaving}});
        CPPUNIT_ASSERT(!servers_used(it).contains(leaving));
        Section("until it is told to be back", [&] {
          it.Feed(ServersLeaving{{}});
          it.AdvanceTime(Seconds(30));
          CPPUNIT_ASSERT(servers_used(it).contains(leaving));
        });
      });
      Section("by a word older than the configuration gets none either", [&] {
        PathFixture it(/*is_ready=*/false);
        it.Feed(ServersLeaving{{leaving}});
        it.Configure(1, MakeDeclarations());
        CPPUNIT_ASSERT(!servers_used(it).contains(leaving));
      });
      Section("by its own word gets no new work, and peers are told", [&] {
        PathFixture it;
        it.Feed(ProbeEnded{leaving, true, true});
        CPPUNIT_ASSERT(!servers_used(it).contains(leaving));
        it.AdvanceTime(Seconds(1));
        CPPUNIT_ASSERT(it.Find<PublishServerUpdate>()->leaving ==
                       std::vector<BackendServerId>{leaving});
      });
      Section("is asked again, and is back by its own word", [&] {
        PathFixture it;
        it.Feed(ProbeEnded{leaving, true, true});
        it.AdvanceTime(Seconds(6));
        CPPUNIT_ASSERT(it.Find<SendProbe>()->server == leaving);
        it.Feed(ProbeEnded{leaving, true, false});
        it.AdvanceTime(Seconds(30));
        CPPUNIT_ASSERT(servers_used(it).contains(leaving));
      });
    });
  }

  void ConnectionsAreDividedAmongInstances() {
    PathFixture it(false);
    auto declared = MakeDeclarations(10);
    for (auto& service : declared.services) {
      for (auto& server : service.servers) server.max_connections = 100;
    }
    declared.subset_size = 2;
    it.Configure(1, declared);
    FleetChanged fleet;
    for (std::uint32_t n = 1; n <= 100; ++n) {
      fleet.members.push_back(MakeMember(n, "quito-a"));
    }
    it.Feed(fleet);
    Section("a server of ten is used by some 26 of 100 instances", [&] {
      int sent = 0;
      for (int i = 0; i < 10; ++i) {
        it.SendCall(MakeIdempotentRequest());
        if (it.Find<SendAttempt>()) ++sent;
      }
      Section("so that each has three of its hundred connections",
              [&] { CPPUNIT_ASSERT_EQUAL(6, sent); });
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiscoveryTest);

}  // namespace
}  // namespace ibisladder::callerpath
