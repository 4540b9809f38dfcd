// A pace for servers that are sick for seconds.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/detection/pool.h"
#include "tests/auto/support/story.h"

namespace ibisladder::detection {
namespace {

using ibisladder::testing::Section;

constexpr double kRate = 10;
constexpr Answer kFastFailure{Millis(1), AttemptEnd::kError};

Pool MakeQuickPool(std::uint8_t floor_percent = 70) {
  declarations::Service service;
  service.floor_percent = floor_percent;
  service.false_ejections_per_server_day = 2000;
  Pool pool = MakePool(6, 1, service, false);
  Pace pace;
  pace.first_interval = Seconds(4);
  pace.longest_interval = Seconds(7);
  pace.passes_to_restore = 2;
  pace.least_threshold = 5;
  pace.answered_word_share = 1.25F;
  pace.peers_judge_probation = true;
  pace.tries_any_work = true;
  pace.weighs_answered = true;
  pace.warming_serves = true;
  SetPace(*pool.detector, pace);
  RunTraffic(pool, Seconds(10), kRate,
             [&](auto) { return HealthyAnswer(pool.random); });
  return pool;
}

ServerState StateOfFirst(const Pool& pool) {
  return StateOf(*pool.detector, Id(1));
}

void Hear(Pool& pool, std::uint32_t peer, const Digest& digest) {
  MergePeerDigests(*pool.detector, InstanceId(peer), std::vector{digest},
                   pool.now);
  EvaluateNow(pool);
}

class QuickPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuickPaceTest);
  CPPUNIT_TEST(OneFastFailureIsEnough);
  CPPUNIT_TEST(OnlyAnsweredWordsCountInFull);
  CPPUNIT_TEST(GoodWordRestores);
  CPPUNIT_TEST(LastResortIsTried);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneFastFailureIsEnough() {
    Pool pool = MakeQuickPool();
    Section("one that took as long as work is not", [&] {
      Send(pool, Id(2), {Millis(20), AttemptEnd::kError});
      CPPUNIT_ASSERT(StateOf(*pool.detector, Id(2)) == ServerState::kHealthy);
    });
    Section("a fast one is", [&] {
      Send(pool, Id(1), kFastFailure);
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
    });
    Section("and told as answered", [&] {
      const auto digest =
          OwnDigest(*pool.detector, ServiceId(1), Id(1), pool.now);
      CPPUNIT_ASSERT(digest && digest->is_answered);
    });
  }

  void OnlyAnsweredWordsCountInFull() {
    Section("a peer whose link may be at fault is not enough", [] {
      Pool pool = MakeQuickPool();
      Hear(pool, 7, {ServiceId(1), Id(1), 320, 20, false});
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
    });
    Section("one that was answered is", [] {
      Pool pool = MakeQuickPool();
      Hear(pool, 7, {ServiceId(1), Id(1), 320, 20, true});
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
    });
  }

  void GoodWordRestores() {
    Pool pool = MakeQuickPool();
    Send(pool, Id(1), kFastFailure);
    CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
    pool.now += Millis(500);
    Section("an ordinary good word does not", [&] {
      Hear(pool, 7, {ServiceId(1), Id(1), -100, 20, true});
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
    });
    Section("that of a passed probation does", [&] {
      Hear(pool, 8, GoodWord(ServiceId(1), Id(1)));
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
    });
  }

  void LastResortIsTried() {
    Pool pool = MakeQuickPool(100);
    Send(pool, Id(1), kFastFailure);
    CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kLastResort);
    Section("soon, though it gets no other work", [&] {
      pool.now += Seconds(11);
      EvaluateNow(pool);
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kLastResortOnTrial);
    });
    Section("one failure ends the trial", [&] {
      Send(pool, Id(1), kFastFailure);
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kLastResort);
    });
    Section("good answers end its being the last resort", [&] {
      pool.now += Seconds(11);
      EvaluateNow(pool);
      Send(pool, Id(1), HealthyAnswer(pool.random));
      Send(pool, Id(1), HealthyAnswer(pool.random));
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
      CPPUNIT_ASSERT(IsOnTrial(pool.changes.back().from));
      CPPUNIT_ASSERT(pool.changes.back().is_own);
    });
    Section("a peer's word of a passed trial does so, too", [&] {
      Send(pool, Id(1), kFastFailure);
      pool.now += Millis(500);
      Hear(pool, 8, GoodWord(ServiceId(1), Id(1)));
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuickPaceTest);

}  // namespace
}  // namespace ibisladder::detection
