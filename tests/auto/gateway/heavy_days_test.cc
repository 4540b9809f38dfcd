// Loads of the heaviest days, each named after its pattern: many servers that
// answer failures at once, and a whole service that declines part of its work.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "tests/auto/gateway/path.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

constexpr Duration kWork = Millis(300);
constexpr Duration kStep = Millis(25);

/// Plays servers: good ones answer after kWork, those in `failing` at once
/// with 500, and `declines` says which requests are declined.
struct Day {
  Path path;
  std::set<std::string> failing;
  std::function<bool(const SendAttempt&)> declines = [](const auto&) {
    return false;
  };
  std::vector<std::pair<TimePoint, SendAttempt>> running;
  std::size_t handled = 0;
  int failed = 0;

  void Handle() {
    while (handled < path.sent.size()) {
      const SendAttempt attempt = path.sent[handled++];
      if (declines(attempt)) {
        Decline(path, attempt);
      } else if (failing.contains(attempt.server_name)) {
        ++failed;
        Answer(path, attempt, 500);
      } else {
        running.emplace_back(path.now + kWork, attempt);
      }
    }
  }

  void Step() {
    Advance(path, kStep);
    std::vector<SendAttempt> due;
    std::erase_if(running, [&](const auto& it) {
      if (it.first > path.now) return false;
      due.push_back(it.second);
      return true;
    });
    for (const auto& it : due) Answer(path, it, 200);
    Handle();
  }

  /// One request of each kind every `each` steps.
  void Run(Duration time, int each) {
    int n = 0;
    for (Duration passed{}; passed < time; passed += kStep) {
      Step();
      if (++n % each != 0) continue;
      Arrive(path, "/work/1");
      Handle();
    }
  }

  int Count(int status) const {
    return static_cast<int>(std::ranges::count_if(
        path.answers,
        [&](const auto& it) { return it.second.status == status; }));
  }
};

class HeavyDaysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeavyDaysTest);
  CPPUNIT_TEST(FastFailuresOfThreeServersInTen);
  CPPUNIT_TEST(FastFailuresFromTheFirstRequestOn);
  CPPUNIT_TEST(PeersWordSavesTheFirstRequest);
  CPPUNIT_TEST(RouteWithLessTimeThanWorkTakes);
  CPPUNIT_TEST(RequestsWithoutWorkAtIdleInstances);
  CPPUNIT_TEST(MoreFailingServersThanTheFloorAllows);
  CPPUNIT_TEST(FailingLastResortsDrawNoOverflow);
  CPPUNIT_TEST(InstancesDoNotKeepRecoveredServersOut);
  CPPUNIT_TEST(WholeServiceDeclinesPart);
  CPPUNIT_TEST(SlowReadsLeaveBudgetForDeclines);
  CPPUNIT_TEST(StragglersAtManyIdleInstancesKeepTheBudget);
  CPPUNIT_TEST(MoreWorkThanSlots);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FastFailuresOfThreeServersInTen() {
    Day day{MakePath(10)};
    day.Run(Seconds(5), 2);
    Section("each of them costs a request or two", [&] {
      day.failing = {"s1", "s2", "s3"};
      day.Run(Seconds(3), 2);
      CPPUNIT_ASSERT(day.failed <= 6);
    });
    Section("and a trial now and then while they last", [&] {
      const int before = day.failed;
      day.Run(Seconds(12), 2);
      CPPUNIT_ASSERT(day.failed - before <= 3 * 5);
    });
    Section("they serve again soon after", [&] {
      day.failing.clear();
      day.Run(Seconds(12), 2);
      const std::size_t from = day.path.sent.size();
      day.Run(Seconds(3), 2);
      std::set<std::string> used;
      for (std::size_t i = from; i < day.path.sent.size(); ++i) {
        used.insert(day.path.sent[i].server_name);
      }
      CPPUNIT_ASSERT(used.contains("s1") && used.contains("s2") &&
                     used.contains("s3"));
    });
  }

  void FastFailuresFromTheFirstRequestOn() {
    Day day{MakePath(6)};
    day.failing = {"s1", "s2"};
    day.Run(Seconds(3), 2);
    CPPUNIT_ASSERT(day.failed <= 4);
  }

  void PeersWordSavesTheFirstRequest() {
    Path path = MakePath(4);
    const CallId call = Arrive(path, "/work/1");
    const SendAttempt failing = LastAttempt(path, call);
    Answer(path, failing, 500);
    Section("a fast failure is told at once", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, path.told.size());
      CPPUNIT_ASSERT(path.told[0].server == failing.server);
      CPPUNIT_ASSERT(path.told[0].is_answered);
    });
    Section("and believed at once", [&] {
      Path other = MakePath(4);
      MergeEvidence(*other.forwarder, InstanceId(7), path.told, other.now);
      for (int i = 0; i < 12; ++i) {
        const CallId next = Arrive(other, "/work/1");
        CPPUNIT_ASSERT(LastAttempt(other, next).server != failing.server);
      }
    });
  }

  /// A configuration gives a route less time than its work takes: servers give
  /// up at the deadline, and are sound.
  void RouteWithLessTimeThanWorkTakes() {
    Path path = MakePath(6);
    for (int i = 0; i < 6; ++i) {
      const CallId call = Arrive(path, "/work/1", Millis(250));
      Advance(path, Millis(250) - kStep);
      Answer(path, LastAttempt(path, call), 504);
    }
    CPPUNIT_ASSERT(path.told.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         CountersOf(*path.forwarder).ejections);
  }

  /// An instance that callers are not sent to sees only requests that check its
  /// configuration and ask for no work.
  void RequestsWithoutWorkAtIdleInstances() {
    Path path = MakePath(6);
    for (int i = 0; i < 40; ++i) {
      const CallId call = Arrive(path, "/work/1");
      path.now += Millis(1);
      Answer(path, LastAttempt(path, call), 200);
    }
    Section("work that takes as long as usual is not slow for it", [&] {
      const CallId call = Arrive(path, "/work/1", Millis(300));
      Advance(path, kWork - kStep);
      Answer(path, LastAttempt(path, call), 504);
      CPPUNIT_ASSERT(path.told.empty());
    });
    Section("and failures without trying are still told as such", [&] {
      const CallId call = Arrive(path, "/work/1");
      path.now += Millis(1);
      Answer(path, LastAttempt(path, call), 500);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, path.told.size());
      CPPUNIT_ASSERT(path.told[0].is_answered);
      CPPUNIT_ASSERT(path.told[0].score > 5 * 16);
    });
  }

  /// Half of the servers fail for some seconds and recover, under more work
  /// than the others have room for. One instance hears from another one.
  void MoreFailingServersThanTheFloorAllows() {
    Day day{MakePath(6)};
    Path other = MakePath(6);
    day.Run(Seconds(3), 1);
    day.failing = {"s1", "s2", "s3"};
    day.Run(Seconds(8), 1);
    MergeEvidence(*other.forwarder, InstanceId(7), day.path.told, other.now);
    day.path.told.clear();
    day.failing.clear();
    const auto used = [](const std::vector<SendAttempt>& sent,
                         std::size_t from) {
      std::set<std::string> names;
      for (std::size_t i = from; i < sent.size(); ++i) {
        names.insert(sent[i].server_name);
      }
      return names.size();
    };
    Section("they serve again within seconds", [&] {
      day.Run(Seconds(8), 1);
      const std::size_t from = day.path.sent.size();
      day.Run(Seconds(2), 1);
      CPPUNIT_ASSERT_EQUAL(std::size_t{6}, used(day.path.sent, from));
    });
    Section("and at the other instance by the first one's word", [&] {
      other.now += Seconds(1);
      MergeEvidence(*other.forwarder, InstanceId(7), day.path.told, other.now);
      Advance(other, kStep);
      for (int i = 0; i < 24; ++i) Arrive(other, "/work/1");
      CPPUNIT_ASSERT_EQUAL(std::size_t{6}, used(other.sent, 0));
    });
  }

  /// Half of the servers answer failures at once, as a peer has told, and more
  /// work comes than the others have room for: it waits for them.
  void FailingLastResortsDrawNoOverflow() {
    Path path = MakePath(6);
    Path peer = MakePath(6);
    for (int i = 0; i < 12 && peer.told.size() < 3; ++i) {
      const CallId call = Arrive(peer, "/work/1");
      Answer(peer, LastAttempt(peer, call), 500);
    }
    std::set<BackendServerId> failing;
    for (const auto& it : peer.told) failing.insert(it.server);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, failing.size());
    MergeEvidence(*path.forwarder, InstanceId(7), peer.told, path.now);
    Section("nor those whose failures show only later", [&] {
      // Timeouts of three peers make a last resort of a server here.
      Path late = MakePath(6);
      for (std::uint32_t n = 1; n <= 4; ++n) {
        std::vector<detection::Digest> words = peer.told;
        for (auto& it : words) it.is_answered = false;
        MergeEvidence(*late.forwarder, InstanceId(n), words, late.now);
      }
      std::vector<SendAttempt> drawn;
      for (int i = 0; i < 60; ++i) {
        const CallId call = Arrive(late, "/work/1");
        const auto it = std::ranges::find_if(late.sent, [&](const auto& sent) {
          return sent.request->call == call;
        });
        if (it == late.sent.end() || !failing.contains(it->server)) continue;
        drawn.push_back(*it);
        Answer(late, drawn.back(), 500);
      }
      // Each fails twice before the evidence suffices.
      CPPUNIT_ASSERT(!drawn.empty());
      CPPUNIT_ASSERT(drawn.size() <= 6);
    });
    Section("also when the peer's words are old", [&] {
      Advance(path, Seconds(3));
      for (int i = 0; i < 30; ++i) Arrive(path, "/work/1");
      const auto drawn = std::ranges::count_if(path.sent, [&](const auto& it) {
        return failing.contains(it.server);
      });
      // One trial of each.
      CPPUNIT_ASSERT(drawn <= 3);
    });
  }

  /// Half of the servers fail for some seconds; two instances meet them and
  /// tell each other.
  void InstancesDoNotKeepRecoveredServersOut() {
    Day first{MakePath(6)};
    Day second{MakePath(6)};
    const auto run = [&](Duration time) {
      for (Duration passed{}; passed < time; passed += kStep) {
        for (Day* it : {&first, &second}) it->Run(kStep, 1);
        const auto told = std::exchange(first.path.told, {});
        const auto answer = std::exchange(second.path.told, {});
        MergeEvidence(*second.path.forwarder, InstanceId(1), told,
                      second.path.now);
        MergeEvidence(*first.path.forwarder, InstanceId(2), answer,
                      first.path.now);
      }
    };
    run(Seconds(3));
    first.failing = second.failing = {"s1", "s2", "s3"};
    run(Seconds(4));
    Section("they hear nothing anew of what is known", [&] {
      first.failing.clear();
      second.failing.clear();
      std::set<std::string> used;
      run(Seconds(14));
      for (const Day* it : {&first, &second}) {
        const std::size_t from = it->path.sent.size() - 60;
        for (std::size_t i = from; i < it->path.sent.size(); ++i) {
          used.insert(it->path.sent[i].server_name);
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
    Day day{MakePath(10, settings)};
    day.Run(Seconds(3), 2);
    int n = 0;
    day.declines = [&](const auto&) { return ++n % 2 == 0; };
    const std::size_t calls = day.path.last_call;
    const std::size_t sent = day.path.sent.size();
    day.Run(Seconds(10), 2);
    const std::size_t requests = day.path.last_call - calls;
    const std::size_t again = day.path.sent.size() - sent - requests;
    Section("second attempts keep to the budget", [&] {
      CPPUNIT_ASSERT(again <= requests / 5 + settings.retry_slack + 1);
      CPPUNIT_ASSERT(again > requests / 10);
    });
    Section("no server is taken for sick", [&] {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                           CountersOf(*day.path.forwarder).ejections);
    });
  }

  /// Reads that take long are asked for twice; a request that a server declined
  /// has only its second attempt.
  void SlowReadsLeaveBudgetForDeclines() {
    ForwarderSettings settings;
    settings.retry_percent = 1;
    settings.retry_slack = 4;
    Path path = MakePath(8, settings);
    // Without a share of first attempts, what is there at the start is all.
    for (int i = 0; i < 6; ++i) Arrive(path, "/read/1");
    Advance(path, Millis(900));
    const CallId call = Arrive(path, "/work/1");
    Decline(path, LastAttempt(path, call));
    CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(path, call));
  }

  /// A few requests arrive at each of twenty instances that callers are not
  /// sent to, while the service declines everything.
  void StragglersAtManyIdleInstancesKeepTheBudget() {
    ForwarderSettings settings;
    settings.retry_percent = 18;
    settings.retry_slack = 50;
    std::size_t requests = 0;
    std::size_t again = 0;
    for (int i = 0; i < 20; ++i) {
      Day day{MakePath(8, settings)};
      SetDirectoryState(*day.path.forwarder, {12, false}, day.path.now);
      day.declines = [](const auto&) { return true; };
      day.Run(Seconds(10), 50);
      requests += day.path.last_call;
      again += day.path.sent.size() - day.path.last_call;
    }
    Section("each of them makes one second attempt, not its part of all", [&] {
      CPPUNIT_ASSERT(requests >= 100);
      CPPUNIT_ASSERT(again <= requests / 5 + 20);
    });
  }

  void MoreWorkThanSlots() {
    Day day{MakePath(2)};
    // Two servers of four slots do 26 requests a second; 40 come.
    day.Run(Seconds(10), 1);
    Section("what can be served is served",
            [&] { CPPUNIT_ASSERT(day.Count(200) >= 200); });
    Section("the rest hears so, with a time to come back", [&] {
      for (const auto& [call, answer] : day.path.answers) {
        if (answer.status == 200) continue;
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(answer.retry_after.has_value());
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeavyDaysTest);

}  // namespace
}  // namespace ibisladder::gateway
