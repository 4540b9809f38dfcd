// Tests the tuning for servers that are unhealthy for seconds only. With the
// defaults, which suit failures of minutes, they would be ejected too late.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/detection/pool.h"
#include "tests/auto/support/story.h"

namespace ibisladder::detection {
namespace {

using ibisladder::testing::Section;

constexpr double kRate = 10;
constexpr Answer kFastFailure{Millis(1), AttemptEnd::kError};

Pool MakeTunedPool(std::uint8_t floor_percent = 70) {
  declarations::Service service;
  service.floor_percent = floor_percent;
  service.false_ejections_per_server_day = 2000;
  Pool pool = MakePool(6, 1, service, false);
  DetectorTuning tuning;
  tuning.first_interval = Seconds(4);
  tuning.max_interval = Seconds(7);
  tuning.passes_to_restore = 2;
  tuning.min_threshold = 5;
  tuning.answered_peer_cap = 1.25F;
  tuning.peers_affect_probation = true;
  tuning.trials_allow_any_request = true;
  tuning.weighs_answered_failures = true;
  tuning.counts_warming_capacity = true;
  SetTuning(*pool.detector, tuning);
  RunTraffic(pool, Seconds(10), kRate,
             [&](auto) { return HealthyAnswer(pool.random); });
  return pool;
}

ServerState StateOfFirst(const Pool& pool) {
  return StateOf(*pool.detector, Id(1));
}

void Receive(Pool& pool, std::uint32_t peer, const Digest& digest) {
  MergePeerDigests(*pool.detector, InstanceId(peer), std::vector{digest},
                   pool.now);
  EvaluateNow(pool);
}

class ShortFailureTuningTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShortFailureTuningTest);
  CPPUNIT_TEST(OneFastFailureEjects);
  CPPUNIT_TEST(OnlyAnsweredPeerEvidenceCountsInFull);
  CPPUNIT_TEST(PassedProbationAtPeerRestores);
  CPPUNIT_TEST(LastResortGetsTrials);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneFastFailureEjects() {
    Pool pool = MakeTunedPool();
    Section("a failure that took as long as a normal answer does not eject",
            [&] {
              Send(pool, Id(2), {Millis(20), AttemptEnd::kError});
              CPPUNIT_ASSERT(StateOf(*pool.detector, Id(2)) ==
                             ServerState::kHealthy);
            });
    Section("a fast failure does", [&] {
      Send(pool, Id(1), kFastFailure);
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
    });
    Section("and its digest is marked as answered", [&] {
      const auto digest =
          OwnDigest(*pool.detector, ServiceId(1), Id(1), pool.now);
      CPPUNIT_ASSERT(digest && digest->is_answered);
    });
  }

  void OnlyAnsweredPeerEvidenceCountsInFull() {
    Section("evidence of a peer whose link may be at fault does not eject", [] {
      Pool pool = MakeTunedPool();
      Receive(pool, 7, {ServiceId(1), Id(1), 320, 20, false});
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
    });
    Section("evidence from answered failures does", [] {
      Pool pool = MakeTunedPool();
      Receive(pool, 7, {ServiceId(1), Id(1), 320, 20, true});
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
    });
  }

  void PassedProbationAtPeerRestores() {
    Pool pool = MakeTunedPool();
    Send(pool, Id(1), kFastFailure);
    CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
    pool.now += Millis(500);
    Section("ordinary good evidence does not restore", [&] {
      Receive(pool, 7, {ServiceId(1), Id(1), -100, 20, true});
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
    });
    Section("a passed probation does", [&] {
      Receive(pool, 8, MakeProbationPassedDigest(ServiceId(1), Id(1)));
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
    });
  }

  void LastResortGetsTrials() {
    Pool pool = MakeTunedPool(100);
    Send(pool, Id(1), kFastFailure);
    CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kLastResort);
    Section(
        "a trial starts soon, though the server gets no other requests", [&] {
          pool.now += Seconds(11);
          EvaluateNow(pool);
          CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kLastResortOnTrial);
        });
    Section("one failure ends the trial", [&] {
      Send(pool, Id(1), kFastFailure);
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kLastResort);
    });
    Section("good answers restore it", [&] {
      pool.now += Seconds(11);
      EvaluateNow(pool);
      Send(pool, Id(1), HealthyAnswer(pool.random));
      Send(pool, Id(1), HealthyAnswer(pool.random));
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
      CPPUNIT_ASSERT(IsOnTrial(pool.changes.back().from));
      CPPUNIT_ASSERT(pool.changes.back().is_own_evidence);
    });
    Section("a trial passed at a peer restores it, too", [&] {
      Send(pool, Id(1), kFastFailure);
      pool.now += Millis(500);
      Receive(pool, 8, MakeProbationPassedDigest(ServiceId(1), Id(1)));
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShortFailureTuningTest);

}  // namespace
}  // namespace ibisladder::detection
