// Guards against callers that are sent to a leaving instance or unevenly to the
// others, requests that a planned stop aborts, and leaving or overcommitted
// backend servers that still get requests.
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
      Section("start equally often with each instance of the own zone", [&] {
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.size());
        for (const auto& [address, n] : first) CPPUNIT_ASSERT(n > 250);
      });
    });
    Section("no addresses are returned without a configuration", [] {
      PathFixture it(/*is_ready=*/false);
      CPPUNIT_ASSERT(AskAddresses(it).code == ResultCode::kNotReady);
    });
    Section("no addresses are returned for an undeclared service", [] {
      PathFixture it;
      CPPUNIT_ASSERT(AskAddresses(it, "no").code == ResultCode::kNoRoute);
    });
  }

  void LeavingInstancesAreNotAdvertised() {
    Section("a leaving or drained instance is not advertised", [] {
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
    Section("an instance in a planned stop", [] {
      PathFixture it;
      it.Feed(StopRequested{});
      Section("is not advertised", [&] {
        CPPUNIT_ASSERT(AskAddresses(it).code == ResultCode::kStopping);
      });
      Section("serves callers that still have its address", [&] {
        // 200 ms before the serving time of the stop is over.
        it.AdvanceTime(Millis(49800));
        it.SendCall(MakeAtMostOnceRequest(it.MakeId("a")));
        CPPUNIT_ASSERT(it.Find<SendAttempt>());
      });
      const auto sent = it.Find<SendAttempt>();
      Section("ends only after its last request", [&] {
        it.AdvanceTime(Millis(500));
        CPPUNIT_ASSERT(!it.Find<StopCompleted>());
        it.Feed(MakeAnswer(*sent));
        CPPUNIT_ASSERT(it.CodeFor(CallId(it.calls)) == ResultCode::kDone);
        it.Feed(Tick{});
        CPPUNIT_ASSERT(it.Find<StopCompleted>());
      });
      Section("refuses later requests as not run", [&] {
        const CallId late = it.SendCall(MakeAtMostOnceRequest(it.MakeId("b")));
        CPPUNIT_ASSERT(it.CodeFor(late) == ResultCode::kStopping);
      });
      Section("reports its end once", [&] {
        it.Feed(Tick{});
        CPPUNIT_ASSERT(!it.Find<StopCompleted>());
      });
    });
  }

  void LeavingServersGetNoNewRequests() {
    const auto servers_used = [](PathFixture& it) {
      // Enough concurrent requests to use all slots of all servers.
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
    Section("a leaving server", [&] {
      const auto leaving = MakeBackendServerId("library", "l1");
      Section("reported by the list or a peer gets no new requests", [&] {
        PathFixture it;
        it.Feed(ServersLeaving{{leaving}});
        CPPUNIT_ASSERT(!servers_used(it).contains(leaving));
        Section("until it is no longer reported", [&] {
          it.Feed(ServersLeaving{{}});
          it.AdvanceTime(Seconds(30));
          CPPUNIT_ASSERT(servers_used(it).contains(leaving));
        });
      });
      Section("reported before the configuration is installed gets none", [&] {
        PathFixture it(/*is_ready=*/false);
        it.Feed(ServersLeaving{{leaving}});
        it.Configure(1, MakeDeclarations());
        CPPUNIT_ASSERT(!servers_used(it).contains(leaving));
      });
      Section(
          "that reports itself gets no new requests and is reported to peers",
          [&] {
            PathFixture it;
            it.Feed(ProbeEnded{leaving, true, true});
            CPPUNIT_ASSERT(!servers_used(it).contains(leaving));
            it.AdvanceTime(Seconds(1));
            CPPUNIT_ASSERT(it.Find<PublishServerUpdate>()->leaving ==
                           std::vector<BackendServerId>{leaving});
          });
      Section("is probed again, and returns when it no longer reports draining",
              [&] {
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
    // The mean is 20; 26 includes a margin, as subsets are only nearly even.
    Section("each of ten servers counts as used by 26 of 100 instances", [&] {
      int sent = 0;
      for (int i = 0; i < 10; ++i) {
        it.SendCall(MakeIdempotentRequest());
        if (it.Find<SendAttempt>()) ++sent;
      }
      Section(
          "so that an instance opens up to three of a server's 100 connections",
          [&] { CPPUNIT_ASSERT_EQUAL(6, sent); });
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiscoveryTest);

}  // namespace
}  // namespace ibisladder::callerpath
