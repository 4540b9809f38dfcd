// How long instances accept keys that the store may have removed: single
// decisions, and a zone of instances in virtual time whose links, store and
// processes fail.
#include "libs/gateway/configuration_freshness.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <limits>
#include <vector>

#include "libs/wire/bounded_archive.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

constexpr Duration kRevocation = Seconds(5);
const TimePoint kStart{Seconds(1000)};
const ConfigVersion kInstalled(7);
const Endpoint kWatcher{"10.0.0.1", 1};

ConfigurationFreshness Needed() {
  ConfigurationFreshness freshness;
  freshness.revocation_time = kRevocation;
  freshness.is_needed = true;
  return freshness;
}

FreshnessAnswer MakeAnswer(std::uint64_t number, Duration age,
                           ConfigVersion version = kInstalled) {
  FreshnessAnswer answer;
  answer.number = number;
  answer.version = version;
  answer.age_us = age.count();
  return answer;
}

constexpr int kInstances = 6;
constexpr int kWatchers = 2;
constexpr Duration kStep = Millis(10);
constexpr Duration kTick = Millis(100);

/// An instance with its open calls.
struct Instance {
  ConfigurationFreshness freshness = Needed();
  ConfigVersion version;
  bool reaches_store = true;
  bool reaches_peers = true;
  bool is_suspended = false;
  /// When its open watch was sent; nullopt without one.
  std::optional<TimePoint> watch_sent_at;
  std::optional<TimePoint> check_sent_at;
  TimePoint next_watch_at;
  TimePoint next_tick_at;
};

/// A zone of instances; the first two are its watchers.
struct Zone {
  explicit Zone(unsigned seed) : random(seed) {
    acknowledged_at.push_back(kStart);
    for (int i = 0; i < kInstances; ++i) Restart(i);
  }

  void Run(
      Duration time, const std::function<void()>& check = [] {}) {
    for (const TimePoint end = now + time; now < end;) {
      now += kStep;
      for (int i = 0; i < kInstances; ++i) Step(i);
      check();
    }
  }

  /// Starts the process again; it reads the configuration if it can.
  void Restart(int i) {
    Instance& it = instances[i];
    const Instance before = std::exchange(it, {});
    it.reaches_store = before.reaches_store;
    it.reaches_peers = before.reaches_peers;
    it.version = ConfigVersion(0);
    it.next_tick_at = now + Duration(UniformBelow(random, kTick.count()));
  }

  ConfigVersion Newest() const { return ConfigVersion(acknowledged_at.size()); }
  bool Accepts(int i) const {
    const auto until = AcceptedUntil(instances[i].freshness);
    return instances[i].version.value() > 0 && until && now <= *until;
  }

  Random random;
  TimePoint now = kStart;
  /// By version, beginning with 1.
  std::vector<TimePoint> acknowledged_at;
  bool is_store_up = true;
  std::uint64_t loss_percent = 5;
  std::vector<Instance> instances{kInstances};
  int checks = 0;
  std::uint64_t messages = 0;

 private:
  bool IsConnected(const Instance& it) const {
    return is_store_up && it.reaches_store;
  }

  /// Replies to a call of `it` that was sent at `sent_at`.
  void Reply(Instance& it, TimePoint sent_at) {
    it.version = Newest();
    RecordVerified(it.freshness, sent_at, random);
  }

  void FollowStore(int i) {
    Instance& it = instances[i];
    if (!IsConnected(it)) {
      it.watch_sent_at.reset();
      it.check_sent_at.reset();
      return;
    }
    if (it.version.value() == 0) Reply(it, now);
    const Duration wait =
        i < kWatchers ? WatcherWait(it.freshness) : Seconds(30);
    if (it.watch_sent_at &&
        (it.version < Newest() || now - *it.watch_sent_at >= wait)) {
      Reply(it, *std::exchange(it.watch_sent_at, std::nullopt));
      it.next_watch_at = now + Millis(50);
    }
    if (!it.watch_sent_at && now >= it.next_watch_at) it.watch_sent_at = now;
    if (it.check_sent_at && now - *it.check_sent_at >= Millis(100))
      Reply(it, *std::exchange(it.check_sent_at, std::nullopt));
  }

  bool IsLost(const Instance& a, const Instance& b) {
    ++messages;
    return !a.reaches_peers || !b.reaches_peers ||
           UniformBelow(random, 100) < loss_percent;
  }

  void Ask(int i, int watcher) {
    Instance& it = instances[i];
    Instance& other = instances[watcher];
    const Endpoint peer{"10.0.0." + std::to_string(watcher), 1};
    FreshnessQuestion question;
    question.number =
        OpenQuestion(it.freshness, std::to_string(watcher), peer, now, random);
    if (IsLost(it, other) || other.is_suspended) return;
    const auto answer =
        AnswerTo(other.freshness, question, other.version, other.version, now);
    if (!answer || IsLost(other, it)) return;
    HandleFreshnessAnswer(it.freshness, *answer, peer, it.version, now, random);
  }

  void Step(int i) {
    Instance& it = instances[i];
    if (it.is_suspended) return;
    PassTime(it.freshness, now);
    FollowStore(i);
    if (now < it.next_tick_at) return;
    it.next_tick_at += kTick;
    if (TakeDueQuestions(it.freshness, i < kWatchers, now)) {
      for (int k = 0; k < kWatchers; ++k) {
        if (k != i) Ask(i, k);
      }
    }
    if (!TakeDueCheck(it.freshness, now, random)) return;
    ++checks;
    if (IsConnected(it) && !it.check_sent_at) it.check_sent_at = now;
  }
};

/// Fails if an instance accepts keys of a version although a newer one was
/// acknowledged longer ago than allowed.
void ExpectBound(const Zone& zone) {
  for (int i = 0; i < kInstances; ++i) {
    const Instance& it = zone.instances[i];
    if (it.is_suspended || !zone.Accepts(i)) continue;
    const auto installed = it.version.value();
    if (installed >= zone.acknowledged_at.size()) continue;
    CPPUNIT_ASSERT(zone.now - zone.acknowledged_at[installed] <= kRevocation);
  }
}

class ConfigurationFreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationFreshnessTest);
  CPPUNIT_TEST(KeysAreAcceptedForAPartOfTheRevocationTime);
  CPPUNIT_TEST(LateAndForgedAnswersVerifyNothing);
  CPPUNIT_TEST(ClocksThatGoBackVerifyNothing);
  CPPUNIT_TEST(NothingIsSentUnlessItIsNeeded);
  CPPUNIT_TEST(MessagesMayGrow);
  CPPUNIT_TEST(KeysAreServedAsLongAsTheyMustBe);
  CPPUNIT_TEST(RemovedKeysAreRefusedInTime);
  CPPUNIT_TEST_SUITE_END();

  Random random_{5};

 public:
  void KeysAreAcceptedForAPartOfTheRevocationTime() {
    auto freshness = Needed();
    CPPUNIT_ASSERT(!AcceptedUntil(freshness));
    CPPUNIT_ASSERT(TakeOverdueChange(freshness, kStart) == true);
    RecordVerified(freshness, kStart, random_);
    CPPUNIT_ASSERT(AcceptedUntil(freshness) == kStart + Seconds(4));
    CPPUNIT_ASSERT(TakeOverdueChange(freshness, kStart) == false);
    CPPUNIT_ASSERT(!TakeOverdueChange(freshness, kStart + Seconds(4)));
    CPPUNIT_ASSERT(TakeOverdueChange(freshness, kStart + Seconds(5)) == true);
    Section("a reply to an earlier call takes nothing back", [&] {
      RecordVerified(freshness, kStart - Seconds(1), random_);
      CPPUNIT_ASSERT(AcceptedUntil(freshness) == kStart + Seconds(4));
    });
  }

  /// Guards against an instance that accepts a removed key since a datagram
  /// says so that nobody asked for, or that travelled for long.
  void LateAndForgedAnswersVerifyNothing() {
    auto freshness = Needed();
    const auto ask = [&] {
      return OpenQuestion(freshness, "w", kWatcher, kStart, random_);
    };
    const auto give = [&](const FreshnessAnswer& answer, Duration delay,
                          const Endpoint& peer = kWatcher) {
      return HandleFreshnessAnswer(freshness, answer, peer, kInstalled,
                                   kStart + delay, random_);
    };
    using Limits = std::numeric_limits<std::int64_t>;
    CPPUNIT_ASSERT(!give(MakeAnswer(ask() + 1, {}), {}));
    CPPUNIT_ASSERT(!give(MakeAnswer(ask(), {}), {}, {"10.0.0.2", 1}));
    CPPUNIT_ASSERT(!give(MakeAnswer(ask(), {}), Millis(2001)));
    for (const Duration age : {Duration(-1), Duration(Limits::min()),
                               Duration(Limits::max()), Seconds(3601)}) {
      CPPUNIT_ASSERT(!give(MakeAnswer(ask(), age), {}));
    }
    CPPUNIT_ASSERT(!freshness.verified_at);
    Section("answers of other versions only announce these", [&] {
      for (const int version : {6, 8}) {
        CPPUNIT_ASSERT(
            give(MakeAnswer(ask(), {}, ConfigVersion(version)), {}) == "w");
      }
      CPPUNIT_ASSERT(!freshness.verified_at);
    });
    Section("an answer counts from the question, and once", [&] {
      const auto answer = MakeAnswer(ask(), Millis(300));
      CPPUNIT_ASSERT(give(answer, Millis(1500)) == "w");
      CPPUNIT_ASSERT(freshness.verified_at == kStart - Millis(300));
      CPPUNIT_ASSERT(!give(answer, Millis(1500)));
    });
  }

  void ClocksThatGoBackVerifyNothing() {
    auto freshness = Needed();
    PassTime(freshness, kStart);
    RecordVerified(freshness, kStart, random_);
    const auto number = OpenQuestion(freshness, "w", kWatcher, kStart, random_);
    PassTime(freshness, kStart - Seconds(60));
    CPPUNIT_ASSERT(!AcceptedUntil(freshness));
    CPPUNIT_ASSERT(!HandleFreshnessAnswer(freshness, MakeAnswer(number, {}),
                                          kWatcher, kInstalled,
                                          kStart - Seconds(60), random_));
    CPPUNIT_ASSERT(!AnswerTo(freshness, {}, kInstalled, kInstalled, kStart));
    CPPUNIT_ASSERT(TakeDueQuestions(freshness, false, kStart - Seconds(60)));
    CPPUNIT_ASSERT(TakeDueCheck(freshness, kStart - Seconds(60), random_));
    Section("a clock that goes on far makes keys invalid", [&] {
      RecordVerified(freshness, kStart, random_);
      PassTime(freshness, kStart + Seconds(86400));
      CPPUNIT_ASSERT(*AcceptedUntil(freshness) < freshness.latest);
    });
  }

  void NothingIsSentUnlessItIsNeeded() {
    auto freshness = Needed();
    freshness.is_needed = false;
    RecordVerified(freshness, kStart, random_);
    const TimePoint later = kStart + Seconds(60);
    CPPUNIT_ASSERT(!TakeDueQuestions(freshness, false, later));
    CPPUNIT_ASSERT(!TakeDueCheck(freshness, later, random_));
    CPPUNIT_ASSERT(!AnswerTo(freshness, {}, kInstalled, kInstalled, later));
    CPPUNIT_ASSERT(!TakeOverdueChange(freshness, later));
  }

  /// Guards against messages of later builds that this one drops.
  void MessagesMayGrow() {
    const FreshnessAnswer answer = MakeAnswer(9, Millis(5));
    const std::string bytes = wire::EncodePortable(answer);
    FreshnessAnswer read;
    CPPUNIT_ASSERT(wire::DecodeGrowing(bytes + "more", read));
    CPPUNIT_ASSERT(read.number == 9 && read.age_us == answer.age_us);
    for (std::size_t n = 0; n < bytes.size(); ++n)
      CPPUNIT_ASSERT(!wire::DecodeGrowing(bytes.substr(0, n), read));
  }

  /// Guards against instances that refuse all keys at the first hiccup of the
  /// store: they must serve until they had no working connection to it for 60%
  /// of the revocation time.
  void KeysAreServedAsLongAsTheyMustBe() {
    for (unsigned seed = 1; seed <= 50; ++seed) {
      Zone zone(seed);
      zone.loss_percent = 0;
      const auto all_accept = [&] {
        for (int i = 0; i < kInstances; ++i) CPPUNIT_ASSERT(zone.Accepts(i));
      };
      zone.Run(kTick + kStep);
      zone.Run(Seconds(3) + Duration(UniformBelow(zone.random, 1000000)),
               all_accept);
      CPPUNIT_ASSERT_EQUAL(0, zone.checks);
      // The store ends for all, and one instance and one watcher lose all
      // links.
      zone.is_store_up = false;
      zone.instances[0].reaches_peers = zone.instances[5].reaches_peers = false;
      zone.Run(kRevocation * 6 / 10, all_accept);
      Section("no longer than the bound, and again when the store is back",
              [&] {
                zone.Run(kRevocation * 2 / 10);
                for (int i = 0; i < kInstances; ++i)
                  CPPUNIT_ASSERT(!zone.Accepts(i));
                zone.is_store_up = true;
                zone.Run(Millis(1600));
                all_accept();
              });
    }
  }

  void RemovedKeysAreRefusedInTime() {
    int late_versions = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
      Zone zone(seed);
      zone.loss_percent = 20;
      const auto check = [&] {
        ExpectBound(zone);
        for (const Instance& it : zone.instances)
          late_versions += it.version < zone.Newest() ? 1 : 0;
      };
      for (int n = 0; n < 60; ++n) {
        zone.Run(Duration(UniformBelow(zone.random, 1500000)), check);
        Instance& it = zone.instances[UniformBelow(zone.random, kInstances)];
        switch (UniformBelow(zone.random, 7)) {
          case 0:
            it.reaches_store = !it.reaches_store;
            break;
          case 1:
            it.reaches_peers = !it.reaches_peers;
            break;
          case 2:
            it.is_suspended = !it.is_suspended;
            break;
          case 3:
            zone.Restart(static_cast<int>(&it - zone.instances.data()));
            break;
          case 4:
            zone.is_store_up = !zone.is_store_up;
            break;
          default:
            if (zone.is_store_up) zone.acknowledged_at.push_back(zone.now);
        }
      }
    }
    // The failures left instances behind, so that the bound was tried.
    CPPUNIT_ASSERT(late_versions > 10000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationFreshnessTest);

}  // namespace
}  // namespace ibisladder::gateway
