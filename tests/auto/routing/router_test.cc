// Tests single decisions of the router: queueing, server states, trials, zones
// and connections. Guards against requests sent to unsuitable servers and
// queued calls that never get a decision.
#include "libs/routing/router.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <utility>

#include "tests/auto/routing/support.h"
#include "tests/auto/support/story.h"

namespace ibisladder::routing {
namespace {

using declarations::Priority;
using declarations::RepeatRule;
using detection::AttemptEnd;
using detection::ServerState;
using testing::Section;

constexpr TimePoint kStart(Seconds(100));

class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(DispatchesQueuesAndRefuses);
  CPPUNIT_TEST(RespectsServerStates);
  CPPUNIT_TEST(PausesServerAfterShed);
  CPPUNIT_TEST(RefusesDisplacedCalls);
  CPPUNIT_TEST(PrefersItsZoneAndWarmServers);
  CPPUNIT_TEST(LeavesAZoneWhoseServersFail);
  CPPUNIT_TEST(KeepsUsingOneFailingServerOfItsZone);
  CPPUNIT_TEST(PrefersOpenConnections);
  CPPUNIT_TEST(RisksAtMostOnceRequestsOnlyWhenNeeded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    router_ = MakeRouter(service_, Here(), kStart);
    random_.seed(1);
  }

  void DispatchesQueuesAndRefuses() {
    Section("a service with one server of four slots", [&] {
      Use(MakeServers(1, 0));
      for (std::uint64_t n = 1; n <= 4; ++n) {
        CPPUNIT_ASSERT(IsDispatch(PlaceCall(n)));
      }
      Section("queues the fifth call", [&] {
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(PlaceCall(5)));
        CPPUNIT_ASSERT(Pump(*router_, kStart, random_).empty());
      });
      Section("dispatches it when a slot becomes free", [&] {
        End(servers_[0].id, AttemptEnd::kOk);
        const auto placed = Pump(*router_, kStart, random_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed.size());
        CPPUNIT_ASSERT(IsDispatch(placed[0].placement));
      });
      Section("removes a cancelled call from the queue", [&] {
        PlaceCall(6);
        RemoveQueued(*router_, CallId(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, QueueLength(*router_));
      });
      Section("refuses a call at once that cannot be served in time", [&] {
        const auto placement = Place(
            *router_, MakeRequest(7, kStart + Millis(24)), kStart, random_);
        CPPUNIT_ASSERT(CodeOf(placement) == ResultCode::kOverloaded);
      });
    });
  }

  void RespectsServerStates() {
    auto servers = MakeServers(3, 0);
    servers[0].state = ServerState::kLastResort;
    servers[1].state = ServerState::kEjected;
    Section("a last resort gets the calls that no other server can take", [&] {
      Use(servers);
      for (std::uint64_t n = 0; n < 4; ++n) {
        CPPUNIT_ASSERT(ServerOf(PlaceCall(n)) == servers[2].id);
      }
      CPPUNIT_ASSERT(ServerOf(PlaceCall(4)) == servers[0].id);
    });
    Section("a server on probation gets no at-most-once call", [&] {
      servers[0].state = ServerState::kProbation;
      servers[2].closed = true;
      Use(servers);
      CPPUNIT_ASSERT(CodeOf(PlaceCall(9)) == ResultCode::kNoServerAvailable);
    });
    Section("a server that reports draining gets no calls", [&] {
      servers[2].closed = false;
      Use(servers);
      ReportLoad(*router_, servers[2].id, {0, 4, true, false}, kStart);
      CPPUNIT_ASSERT(CodeOf(PlaceCall(9)) == ResultCode::kNoServerAvailable);
    });
  }

  /// At-most-once calls, such as charges, must not be lost to servers on trial
  /// that still fail, unless capacity is scarce.
  void RisksAtMostOnceRequestsOnlyWhenNeeded() {
    ChoiceSettings choice;
    choice.trials_allow_any_request = true;
    choice.trial_spacing = 1;
    choice.at_most_once_trial_delay = Seconds(5);
    auto servers = MakeServers(3, 0);
    servers[0].state = ServerState::kProbation;
    const auto tried = [&](RepeatRule repeat, Duration after) {
      RoutingRequest request = MakeRequest(++last_call_, kStart + Seconds(60));
      request.repeat = repeat;
      const auto placement = Place(*router_, request, kStart + after, random_);
      End(ServerOf(placement), AttemptEnd::kOk);
      return ServerOf(placement) == servers[0].id;
    };
    const auto begin = [&] {
      router_ = MakeRouter(service_, Here(), kStart);
      SetChoiceSettings(*router_, choice);
      Use(servers);
      // A trial is due only after some other requests.
      CPPUNIT_ASSERT(!tried(RepeatRule::kAtMostOnce, Millis(1)));
      CPPUNIT_ASSERT(!tried(RepeatRule::kAtMostOnce, Millis(2)));
    };
    Section("an at-most-once call is not risked before the delay", [&] {
      begin();
      CPPUNIT_ASSERT(!tried(RepeatRule::kAtMostOnce, Millis(4900)));
      CPPUNIT_ASSERT(tried(RepeatRule::kAtMostOnce, Millis(5100)));
    });
    Section("an idempotent call is risked: another server can answer it", [&] {
      begin();
      CPPUNIT_ASSERT(tried(RepeatRule::kIdempotent, Seconds(1)));
    });
    Section("an at-most-once call is risked when the others are busy", [&] {
      begin();
      for (int i = 1; i <= 2; ++i) {
        ReportLoad(*router_, servers[i].id, {6, 4}, kStart + Seconds(1));
      }
      CPPUNIT_ASSERT(tried(RepeatRule::kAtMostOnce, Millis(1001)));
    });
    Section("it is risked when many requests go unserved below the floor", [&] {
      service_.floor_percent = 70;
      begin();
      for (int i = 0; i < 8; ++i) End(servers[1].id, AttemptEnd::kError);
      CPPUNIT_ASSERT(tried(RepeatRule::kAtMostOnce, Seconds(1)));
    });
    Section("it is not risked above the floor", [&] {
      service_.floor_percent = 60;
      begin();
      for (int i = 0; i < 8; ++i) End(servers[1].id, AttemptEnd::kError);
      CPPUNIT_ASSERT(!tried(RepeatRule::kAtMostOnce, Seconds(1)));
    });
  }

  void RefusesDisplacedCalls() {
    Section("a full queue", [&] {
      service_.queue_limit = 8;
      UpdateSettings(*router_, service_);
      Use(MakeServers(1, 0));
      for (std::uint64_t n = 1; n <= 12; ++n) {
        Place(*router_, MakeRequest(n, kStart + Seconds(5), Priority::kLow),
              kStart, random_);
      }
      Section("displaces the youngest low call for a high one", [&] {
        Place(*router_, MakeRequest(13, kStart + Seconds(5), Priority::kHigh),
              kStart, random_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, QueueLength(*router_));
        const auto placed = Pump(*router_, kStart, random_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed.size());
        CPPUNIT_ASSERT(placed[0].call == CallId(12));
        CPPUNIT_ASSERT(CodeOf(placed[0].placement) == ResultCode::kOverloaded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, QueueLength(*router_));
      });
    });
  }

  void PrefersItsZoneAndWarmServers() {
    constexpr int kCalls = 1000;
    auto servers = MakeServers(2, 2);
    const auto share_of = [&](std::size_t index) {
      int count = 0;
      for (int n = 0; n < kCalls; ++n) {
        const auto server = ServerOf(PlaceCall(static_cast<std::uint64_t>(n)));
        if (server == servers[index].id) ++count;
        End(server, AttemptEnd::kOk);
      }
      return count;
    };
    Section("idle servers of the own zone get all calls", [&] {
      Use(servers);
      CPPUNIT_ASSERT_EQUAL(0, share_of(2) + share_of(3));
    });
    Section("a warming server gets few calls at first", [&] {
      servers[0].warm_since = kStart;
      Use(servers);
      const int share = share_of(0);
      CPPUNIT_ASSERT(share > kCalls / 50 && share < kCalls / 5);
    });
    Section("a warming server that is the only one of its zone does, too", [&] {
      servers[1].closed = true;
      Use(servers);
      const int share = share_of(0);
      CPPUNIT_ASSERT(share > kCalls / 50 && share < kCalls / 5);
      servers[1].closed = false;
    });
    Section("full servers leave the rest to other zones", [&] {
      servers[0].warm_since = servers[1].warm_since;
      Use(servers);
      for (std::size_t n = 0; n < 2; ++n) {
        ReportLoad(*router_, servers[n].id, {4, 4, false, false}, kStart);
      }
      CPPUNIT_ASSERT(share_of(2) > kCalls / 3);
    });
  }

  /// All servers of the own zone fail at once while their connections work. The
  /// instance must then use other zones, or nothing shows that those answer.
  void LeavesAZoneWhoseServersFail() {
    Use(MakeServers(2, 2));
    std::uint64_t call = 0;
    const auto goes_elsewhere = [&](AttemptEnd end_here) {
      const auto server = ServerOf(PlaceCall(++call));
      const bool is_here = server == servers_[0].id || server == servers_[1].id;
      End(server, is_here ? end_here : AttemptEnd::kOk);
      return !is_here;
    };
    const auto count_elsewhere = [&](AttemptEnd end_here) {
      int count = 0;
      for (int n = 0; n < 100; ++n) count += goes_elsewhere(end_here) ? 1 : 0;
      return count;
    };
    Section("while the own zone answers, it gets all calls",
            [&] { CPPUNIT_ASSERT_EQUAL(0, count_elsewhere(AttemptEnd::kOk)); });
    for (const AttemptEnd it :
         {AttemptEnd::kError, AttemptEnd::kCorrupt, AttemptEnd::kTimeout}) {
      Section("when all its servers fail, other zones get a part of the calls",
              [&] { CPPUNIT_ASSERT(count_elsewhere(it) >= 25); });
      Section("the own zone is preferred again once it answers", [&] {
        count_elsewhere(AttemptEnd::kOk);
        CPPUNIT_ASSERT_EQUAL(0, count_elsewhere(AttemptEnd::kOk));
      });
    }
  }

  /// One of two servers of the own zone fails while the other answers. It must
  /// stay in use, so that its failures are seen and lead to its ejection.
  void KeepsUsingOneFailingServerOfItsZone() {
    Use(MakeServers(2, 2));
    int failing = 0;
    for (std::uint64_t call = 1; call <= 100; ++call) {
      const auto server = ServerOf(PlaceCall(call));
      const bool is_failing = server == servers_[0].id;
      failing += is_failing ? 1 : 0;
      End(server, is_failing ? AttemptEnd::kError : AttemptEnd::kOk);
    }
    CPPUNIT_ASSERT(failing >= 25);
  }

  void PrefersOpenConnections() {
    Use(MakeServers(8, 0));
    TimePoint now = kStart;
    auto last = ServerOf(PlaceCall(0));
    End(last, AttemptEnd::kOk);
    std::uint64_t call = 0;
    const auto is_repeated = [&](Duration gap) {
      now += gap;
      const auto request = MakeRequest(++call, now + Seconds(5));
      const auto server = ServerOf(Place(*router_, request, now, random_));
      AttemptEnded(*router_, server, AttemptEnd::kOk, Millis(20), now);
      ReportLoad(*router_, server, {1, 4, false, false}, now);
      return std::exchange(last, server) == server;
    };
    const auto repeats = [&](Duration gap) {
      int count = 0;
      for (int n = 0; n < 200; ++n) count += is_repeated(gap) ? 1 : 0;
      return count;
    };
    Section("rare requests go to the server that answered last", [&] {
      CPPUNIT_ASSERT(repeats(Seconds(2)) > 150);
      Section("unless that server is more loaded than others", [&] {
        for (int n = 0; n < 20; ++n) {
          ReportLoad(*router_, last, {3, 4, false, false}, now + Seconds(2));
          CPPUNIT_ASSERT(!is_repeated(Seconds(2)));
        }
      });
    });
    Section("frequent requests are spread", [&] {
      repeats(Millis(10));
      CPPUNIT_ASSERT(repeats(Millis(10)) < 75);
    });
  }

  void PausesServerAfterShed() {
    Section("a server gets no calls for a short time after a shed", [&] {
      Use(MakeServers(1, 0));
      PlaceCall(1);
      End(servers_[0].id, AttemptEnd::kShed);
      CPPUNIT_ASSERT(std::holds_alternative<Queued>(PlaceCall(2)));
      CPPUNIT_ASSERT(Pump(*router_, kStart, random_).empty());
      const auto placed = Pump(*router_, kStart + Millis(20), random_);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed.size());
    });
  }

 private:
  void Use(const std::vector<Candidate>& servers) {
    servers_ = servers;
    SetCandidates(*router_, servers, 1, kStart);
  }
  Placement PlaceCall(std::uint64_t call) {
    return Place(*router_, MakeRequest(call, kStart + Seconds(5)), kStart,
                 random_);
  }
  void End(BackendServerId server, AttemptEnd end) {
    AttemptEnded(*router_, server, end, Millis(20), kStart);
  }
  static bool IsDispatch(const Placement& it) {
    return std::holds_alternative<Dispatch>(it);
  }
  static BackendServerId ServerOf(const Placement& it) {
    return std::get<Dispatch>(it).server;
  }
  static ResultCode CodeOf(const Placement& it) {
    return std::get<Refused>(it).code;
  }

  declarations::Service service_;
  RouterPtr router_;
  std::uint64_t last_call_ = 0;
  std::vector<Candidate> servers_;
  Random random_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace
}  // namespace ibisladder::routing
