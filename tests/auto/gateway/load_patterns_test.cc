// Load patterns with failing, declining or overloaded servers. Each test is
// named after its pattern.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "tests/auto/gateway/forwarder_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

constexpr Duration kServiceTime = Millis(300);
constexpr Duration kStep = Millis(25);

/// Simulates servers. Healthy ones answer after kServiceTime, those in
/// `failing` immediately with 500. `declines` selects requests that are
/// declined.
struct LoadSimulation {
  ForwarderFixture fixture;
  std::set<std::string> failing;
  std::function<bool(const SendAttempt&)> declines = [](const auto&) {
    return false;
  };
  std::vector<std::pair<TimePoint, SendAttempt>> running;
  std::size_t handled = 0;
  int failed = 0;

  void Handle() {
    while (handled < fixture.sent.size()) {
      const SendAttempt attempt = fixture.sent[handled++];
      if (declines(attempt)) {
        Decline(fixture, attempt);
      } else if (failing.contains(attempt.server_name)) {
        ++failed;
        Answer(fixture, attempt, 500);
      } else {
        running.emplace_back(fixture.now + kServiceTime, attempt);
      }
    }
  }

  void Step() {
    Advance(fixture, kStep);
    std::vector<SendAttempt> due;
    std::erase_if(running, [&](const auto& it) {
      if (it.first > fixture.now) return false;
      due.push_back(it.second);
      return true;
    });
    for (const auto& it : due) Answer(fixture, it, 200);
    Handle();
  }

  /// Runs for `time`, with one at-most-once request every `each` steps.
  void Run(Duration time, int each) {
    int n = 0;
    for (Duration passed{}; passed < time; passed += kStep) {
      Step();
      if (++n % each != 0) continue;
      Arrive(fixture, "/work/1");
      Handle();
    }
  }

  int Count(int status) const {
    return static_cast<int>(std::ranges::count_if(
        fixture.answers,
        [&](const auto& it) { return it.second.status == status; }));
  }
};

class LoadPatternsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadPatternsTest);
  CPPUNIT_TEST(FastFailuresOfThreeServersInTen);
  CPPUNIT_TEST(FastFailuresFromTheFirstRequestOn);
  CPPUNIT_TEST(PeerEvidenceIsUsedFromTheFirstRequestOn);
  CPPUNIT_TEST(RouteTimeoutShorterThanRequests);
  CPPUNIT_TEST(TrivialRequestsAtUnadvertisedInstances);
  CPPUNIT_TEST(MoreFailingServersThanTheFloorAllows);
  CPPUNIT_TEST(FailingLastResortsGetNoOverflow);
  CPPUNIT_TEST(ExchangedEvidenceDoesNotBlockRecoveredServers);
  CPPUNIT_TEST(WholeServiceDeclinesPart);
  CPPUNIT_TEST(HedgesLeaveBudgetForDeclines);
  CPPUNIT_TEST(UnadvertisedInstancesStayWithinTheBudget);
  CPPUNIT_TEST(MoreRequestsThanSlots);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FastFailuresOfThreeServersInTen() {
    LoadSimulation load{MakeFixture(10)};
    load.Run(Seconds(5), 2);
    Section("at most two failed requests per failing server", [&] {
      load.failing = {"s1", "s2", "s3"};
      load.Run(Seconds(3), 2);
      CPPUNIT_ASSERT(load.failed <= 6);
    });
    Section("few trials while they fail", [&] {
      const int before = load.failed;
      load.Run(Seconds(12), 2);
      CPPUNIT_ASSERT(load.failed - before <= 3 * 5);
    });
    Section("used again after they recovered", [&] {
      load.failing.clear();
      load.Run(Seconds(12), 2);
      const std::size_t from = load.fixture.sent.size();
      load.Run(Seconds(3), 2);
      std::set<std::string> used;
      for (std::size_t i = from; i < load.fixture.sent.size(); ++i) {
        used.insert(load.fixture.sent[i].server_name);
      }
      CPPUNIT_ASSERT(used.contains("s1") && used.contains("s2") &&
                     used.contains("s3"));
    });
  }

  void FastFailuresFromTheFirstRequestOn() {
    LoadSimulation load{MakeFixture(6)};
    load.failing = {"s1", "s2"};
    load.Run(Seconds(3), 2);
    CPPUNIT_ASSERT(load.failed <= 4);
  }

  /// An instance must not send requests to a server whose fast failure a peer
  /// has reported, even before it has seen a failure itself.
  void PeerEvidenceIsUsedFromTheFirstRequestOn() {
    ForwarderFixture fixture = MakeFixture(4);
    const CallId call = Arrive(fixture, "/work/1");
    const SendAttempt failing = LastAttempt(fixture, call);
    Answer(fixture, failing, 500);
    Section("fast failure is reported immediately", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.evidence.size());
      CPPUNIT_ASSERT(fixture.evidence[0].server == failing.server);
      CPPUNIT_ASSERT(fixture.evidence[0].is_answered);
    });
    Section("receiver avoids the server immediately", [&] {
      ForwarderFixture other = MakeFixture(4);
      MergeEvidence(*other.forwarder, InstanceId(7), fixture.evidence,
                    other.now);
      for (int i = 0; i < 12; ++i) {
        const CallId next = Arrive(other, "/work/1");
        CPPUNIT_ASSERT(LastAttempt(other, next).server != failing.server);
      }
    });
  }

  /// A route's timeout is shorter than its requests take. Servers give up at
  /// the deadline; they are healthy and must not be ejected.
  void RouteTimeoutShorterThanRequests() {
    ForwarderFixture fixture = MakeFixture(6);
    for (int i = 0; i < 6; ++i) {
      const CallId call = Arrive(fixture, "/work/1", Millis(250));
      Advance(fixture, Millis(250) - kStep);
      Answer(fixture, LastAttempt(fixture, call), 504);
    }
    CPPUNIT_ASSERT(fixture.evidence.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         CountersOf(*fixture.forwarder).ejections);
  }

  /// An instance that is not advertised sees only requests that check its
  /// configuration and are answered at once. Requests that take the usual time
  /// must not look slow in comparison.
  void TrivialRequestsAtUnadvertisedInstances() {
    ForwarderFixture fixture = MakeFixture(6);
    for (int i = 0; i < 40; ++i) {
      const CallId call = Arrive(fixture, "/work/1");
      fixture.now += Millis(1);
      Answer(fixture, LastAttempt(fixture, call), 200);
    }
    Section("usual latency does not count as slow", [&] {
      const CallId call = Arrive(fixture, "/work/1", Millis(300));
      Advance(fixture, kServiceTime - kStep);
      Answer(fixture, LastAttempt(fixture, call), 504);
      CPPUNIT_ASSERT(fixture.evidence.empty());
    });
    Section("fast failure is still reported as answered", [&] {
      const CallId call = Arrive(fixture, "/work/1");
      fixture.now += Millis(1);
      Answer(fixture, LastAttempt(fixture, call), 500);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.evidence.size());
      CPPUNIT_ASSERT(fixture.evidence[0].is_answered);
      CPPUNIT_ASSERT(fixture.evidence[0].score > 5 * 16);
    });
  }

  /// Half of the servers fail for some seconds and recover, under more load
  /// than the others have capacity for. A second instance gets evidence only
  /// from the first one.
  void MoreFailingServersThanTheFloorAllows() {
    LoadSimulation load{MakeFixture(6)};
    ForwarderFixture other = MakeFixture(6);
    load.Run(Seconds(3), 1);
    load.failing = {"s1", "s2", "s3"};
    load.Run(Seconds(8), 1);
    MergeEvidence(*other.forwarder, InstanceId(7), load.fixture.evidence,
                  other.now);
    load.fixture.evidence.clear();
    load.failing.clear();
    const auto used = [](const std::vector<SendAttempt>& sent,
                         std::size_t from) {
      std::set<std::string> names;
      for (std::size_t i = from; i < sent.size(); ++i) {
        names.insert(sent[i].server_name);
      }
      return names.size();
    };
    Section("used again within seconds", [&] {
      load.Run(Seconds(8), 1);
      const std::size_t from = load.fixture.sent.size();
      load.Run(Seconds(2), 1);
      CPPUNIT_ASSERT_EQUAL(std::size_t{6}, used(load.fixture.sent, from));
    });
    Section("used again by the other instance after the first one's evidence",
            [&] {
              other.now += Seconds(1);
              MergeEvidence(*other.forwarder, InstanceId(7),
                            load.fixture.evidence, other.now);
              Advance(other, kStep);
              for (int i = 0; i < 24; ++i) Arrive(other, "/work/1");
              CPPUNIT_ASSERT_EQUAL(std::size_t{6}, used(other.sent, 0));
            });
  }

  /// Half of the servers fail fast, as a peer has reported, and the load
  /// exceeds the capacity of the others. Because of the floor, most of the
  /// failing ones are last resorts instead of ejected. The overflow must wait
  /// for a healthy server rather than go to a failing one.
  void FailingLastResortsGetNoOverflow() {
    ForwarderFixture fixture = MakeFixture(6);
    ForwarderFixture peer = MakeFixture(6);
    for (int i = 0; i < 12 && peer.evidence.size() < 3; ++i) {
      const CallId call = Arrive(peer, "/work/1");
      Answer(peer, LastAttempt(peer, call), 500);
    }
    std::set<BackendServerId> failing;
    for (const auto& it : peer.evidence) failing.insert(it.server);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, failing.size());
    MergeEvidence(*fixture.forwarder, InstanceId(7), peer.evidence,
                  fixture.now);
    Section("servers that turn out to fail fast only later", [&] {
      // Timeouts reported by peers make a server a last resort here.
      ForwarderFixture late = MakeFixture(6);
      for (std::uint32_t n = 1; n <= 4; ++n) {
        std::vector<detection::Digest> digests = peer.evidence;
        for (auto& it : digests) it.is_answered = false;
        MergeEvidence(*late.forwarder, InstanceId(n), digests, late.now);
      }
      std::vector<SendAttempt> attempts;
      for (int i = 0; i < 60; ++i) {
        const CallId call = Arrive(late, "/work/1");
        const auto it = std::ranges::find_if(late.sent, [&](const auto& sent) {
          return sent.request->call == call;
        });
        if (it == late.sent.end() || !failing.contains(it->server)) continue;
        attempts.push_back(*it);
        Answer(late, attempts.back(), 500);
      }
      // Each fails twice before the evidence suffices.
      CPPUNIT_ASSERT(!attempts.empty());
      CPPUNIT_ASSERT(attempts.size() <= 6);
    });
    Section("also when the peer's evidence has expired", [&] {
      Advance(fixture, Seconds(3));
      for (int i = 0; i < 30; ++i) Arrive(fixture, "/work/1");
      const auto attempts = std::ranges::count_if(
          fixture.sent,
          [&](const auto& it) { return failing.contains(it.server); });
      // One trial of each.
      CPPUNIT_ASSERT(attempts <= 3);
    });
  }

  /// Half of the servers fail for some seconds, and two instances exchange
  /// their evidence. Evidence that is sent again and again would delay the
  /// trials of servers that have recovered.
  void ExchangedEvidenceDoesNotBlockRecoveredServers() {
    LoadSimulation first{MakeFixture(6)};
    LoadSimulation second{MakeFixture(6)};
    const auto run = [&](Duration time) {
      for (Duration passed{}; passed < time; passed += kStep) {
        for (LoadSimulation* it : {&first, &second}) it->Run(kStep, 1);
        const auto from_first = std::exchange(first.fixture.evidence, {});
        const auto from_second = std::exchange(second.fixture.evidence, {});
        MergeEvidence(*second.fixture.forwarder, InstanceId(1), from_first,
                      second.fixture.now);
        MergeEvidence(*first.fixture.forwarder, InstanceId(2), from_second,
                      first.fixture.now);
      }
    };
    run(Seconds(3));
    first.failing = second.failing = {"s1", "s2", "s3"};
    run(Seconds(4));
    Section("both use all servers again after the recovery", [&] {
      first.failing.clear();
      second.failing.clear();
      std::set<std::string> used;
      run(Seconds(14));
      for (const LoadSimulation* it : {&first, &second}) {
        const std::size_t from = it->fixture.sent.size() - 60;
        for (std::size_t i = from; i < it->fixture.sent.size(); ++i) {
          used.insert(it->fixture.sent[i].server_name);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, used.size());
        used.clear();
      }
    });
  }

  void WholeServiceDeclinesPart() {
    ForwarderSettings settings;
    settings.retry_percent = 20;
    settings.retry_slack = 10;
    LoadSimulation load{MakeFixture(10, settings)};
    load.Run(Seconds(3), 2);
    int n = 0;
    load.declines = [&](const auto&) { return ++n % 2 == 0; };
    const std::size_t calls = load.fixture.last_call;
    const std::size_t sent = load.fixture.sent.size();
    load.Run(Seconds(10), 2);
    const std::size_t requests = load.fixture.last_call - calls;
    const std::size_t again = load.fixture.sent.size() - sent - requests;
    Section("second attempts stay within the budget", [&] {
      CPPUNIT_ASSERT(again <= requests / 5 + settings.retry_slack + 1);
      CPPUNIT_ASSERT(again > requests / 10);
    });
    Section("no server is ejected", [&] {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                           CountersOf(*load.fixture.forwarder).ejections);
    });
  }

  /// Hedges of slow requests must not use up the retry budget: a declined
  /// request has no other chance than its second attempt.
  void HedgesLeaveBudgetForDeclines() {
    ForwarderSettings settings;
    settings.retry_percent = 1;
    settings.retry_slack = 4;
    ForwarderFixture fixture = MakeFixture(8, settings);
    // So few first attempts add almost nothing to the initial retry budget.
    for (int i = 0; i < 6; ++i) Arrive(fixture, "/read/1");
    Advance(fixture, Millis(900));
    const CallId call = Arrive(fixture, "/work/1");
    Decline(fixture, LastAttempt(fixture, call));
    CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
  }

  /// A few requests arrive at each of twenty instances that are not advertised,
  /// while the service declines everything. With the burst of an advertised
  /// instance at each, the fleet would exceed its budget.
  void UnadvertisedInstancesStayWithinTheBudget() {
    ForwarderSettings settings;
    settings.retry_percent = 18;
    settings.retry_slack = 50;
    std::size_t requests = 0;
    std::size_t again = 0;
    for (int i = 0; i < 20; ++i) {
      LoadSimulation load{MakeFixture(8, settings)};
      SetDirectoryState(*load.fixture.forwarder, {12, false}, load.fixture.now);
      load.declines = [](const auto&) { return true; };
      load.Run(Seconds(10), 50);
      requests += load.fixture.last_call;
      again += load.fixture.sent.size() - load.fixture.last_call;
    }
    Section("each instance makes one second attempt", [&] {
      CPPUNIT_ASSERT(requests >= 100);
      CPPUNIT_ASSERT(again <= requests / 5 + 20);
    });
  }

  void MoreRequestsThanSlots() {
    LoadSimulation load{MakeFixture(2)};
    // Two servers with four slots serve 26 requests per second; 40 arrive.
    load.Run(Seconds(10), 1);
    Section("requests within the capacity are served",
            [&] { CPPUNIT_ASSERT(load.Count(200) >= 200); });
    Section("the others are answered with 503 and Retry-After", [&] {
      for (const auto& [call, answer] : load.fixture.answers) {
        if (answer.status == 200) continue;
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(answer.retry_after.has_value());
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPatternsTest);

}  // namespace
}  // namespace ibisladder::gateway
