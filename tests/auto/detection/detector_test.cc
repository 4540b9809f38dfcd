// Tests the detector for each kind of evidence. Guards against servers that
// fail without being ejected, such as silent ones, and against ejections for
// conditions that are no fault of the server: overload, warm-up, or a broken
// link of this instance.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/detection/pool.h"
#include "tests/auto/support/story.h"

namespace ibisladder::detection {
namespace {

using ibisladder::testing::Section;

constexpr double kRate = 10;

Pool MakePoolWithBaseline(const declarations::Service& service = {},
                          bool has_idempotent_routes = true) {
  Pool pool = MakePool(6, 1, service, has_idempotent_routes);
  RunTraffic(pool, Seconds(10), kRate,
             [&](auto) { return HealthyAnswer(pool.random); });
  CPPUNIT_ASSERT(!AnyEjection(pool));
  return pool;
}

void RunWithFirst(Pool& pool, Duration time, const Answer& answer) {
  RunTraffic(pool, time, kRate, [&](BackendServerId id) {
    return id == Id(1) ? answer : HealthyAnswer(pool.random);
  });
}

/// Runs traffic to the other servers only.
void RunWithoutFirst(Pool& pool, Duration time) {
  const Member first = pool.members.front();
  pool.members.erase(pool.members.begin());
  RunTraffic(pool, time, kRate,
             [&](auto) { return HealthyAnswer(pool.random); });
  pool.members.insert(pool.members.begin(), first);
}

ServerState StateOfFirst(const Pool& pool) {
  return StateOf(*pool.detector, Id(1));
}

void Receive(Pool& pool, std::uint32_t peer, std::int16_t score) {
  const std::vector<Digest> digests = {{ServiceId(1), Id(1), score, 20}};
  MergePeerDigests(*pool.detector, InstanceId(peer), digests, pool.now);
}

class DetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DetectorTest);
  CPPUNIT_TEST(UnansweredRequestsCountBeforeTheirDeadline);
  CPPUNIT_TEST(ShedsAreNoEvidence);
  CPPUNIT_TEST(FloorKeepsServerAsLastResort);
  CPPUNIT_TEST(EjectedServerReturnsThroughProbation);
  CPPUNIT_TEST(ServiceWithoutIdempotentRoutesIsProbed);
  CPPUNIT_TEST(SilentServerWithOneRequestAtATimeIsEjected);
  CPPUNIT_TEST(FirstRequestAfterIdleTimeCounts);
  CPPUNIT_TEST(PeerEvidenceCounts);
  CPPUNIT_TEST(EvidenceOfEjectedServerIsHeldForPeers);
  CPPUNIT_TEST(TimeoutsOfRepairedLinkAreNoEvidence);
  CPPUNIT_TEST(WarmingServerMayBeSlow);
  CPPUNIT_TEST(FirstServersCountAsWarm);
  CPPUNIT_TEST(ToleratedFalseEjectionsSetThreshold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnansweredRequestsCountBeforeTheirDeadline() {
    Section("a server that no longer answers", [] {
      Pool pool = MakePoolWithBaseline();
      for (std::uint64_t i = 0; i < 6; ++i) {
        AttemptStarted(*pool.detector, Id(1), AttemptId(1000000 + i), pool.now);
      }
      Section("is in service at first", [&] {
        RunWithFirst(pool, Millis(20), HealthyAnswer(pool.random));
        CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
      });
      Section("is ejected long before any deadline", [&] {
        RunWithFirst(pool, Millis(600), {Millis(0), AttemptEnd::kAbandoned});
        CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
      });
    });
  }

  void ShedsAreNoEvidence() {
    Section("a server that sheds every request stays in service", [] {
      Pool pool = MakePoolWithBaseline();
      RunWithFirst(pool, Seconds(20), {Millis(2), AttemptEnd::kShed});
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
    });
  }

  void FloorKeepsServerAsLastResort() {
    declarations::Service service;
    service.floor_percent = 90;
    Section("an unhealthy server that the floor needs", [&] {
      Pool pool = MakePoolWithBaseline(service);
      Section("is kept as the last resort", [&] {
        RunWithFirst(pool, Seconds(3), {Millis(20), AttemptEnd::kError});
        CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kLastResort);
      });
      Section("is healthy again when it has recovered", [&] {
        RunWithFirst(pool, Seconds(60), {Millis(20), AttemptEnd::kOk});
        CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
      });
    });
    Section("removed servers bring an ejected one back as last resort", [] {
      Pool pool = MakePoolWithBaseline();
      RunWithFirst(pool, Seconds(3), {Millis(20), AttemptEnd::kError});
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
      pool.members.resize(3);
      SetMembers(*pool.detector, pool.members, pool.now);
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kLastResort);
      pool.changes.clear();
      EvaluateNow(pool);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.changes.size());
    });
  }

  void EjectedServerReturnsThroughProbation() {
    Section("an ejected server", [] {
      Pool pool = MakePoolWithBaseline();
      RunWithFirst(pool, Seconds(3), {Millis(20), AttemptEnd::kError});
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
      Section("that still fails is ejected again after probation", [&] {
        RunWithFirst(pool, Seconds(15), {Millis(20), AttemptEnd::kError});
        CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
        CPPUNIT_ASSERT(pool.changes.back().from == ServerState::kProbation);
      });
      Section("that has recovered is restored", [&] {
        RunWithFirst(pool, Seconds(40), {Millis(20), AttemptEnd::kOk});
        CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
      });
    });
  }

  void ServiceWithoutIdempotentRoutesIsProbed() {
    Section("a service without idempotent routes", [] {
      Pool pool = MakePoolWithBaseline({}, false);
      RunWithFirst(pool, Seconds(3), {Millis(20), AttemptEnd::kError});
      Section("needs no probe during the ejection", [&] {
        CPPUNIT_ASSERT(ProbesDue(*pool.detector, pool.now).empty());
      });
      pool.now += Seconds(13);
      EvaluateNow(pool);
      Section("needs probes on probation", [&] {
        CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kProbation);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             ProbesDue(*pool.detector, pool.now).size());
      });
      Section("restores the server after consecutive good probes", [&] {
        for (int i = 0; i < 3; ++i) {
          ProbeEnded(*pool.detector, Id(1), true, pool.now);
          CPPUNIT_ASSERT(ProbesDue(*pool.detector, pool.now).empty());
          pool.now += Seconds(1);
        }
        EvaluateNow(pool);
        CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
      });
    });
    Section("good probes do not clear a failing server in service", [] {
      Pool pool = MakePoolWithBaseline();
      for (int i = 0; i < 300; ++i) {
        ProbeEnded(*pool.detector, Id(1), true, pool.now);
        RunWithFirst(pool, Millis(10), {Millis(20), AttemptEnd::kError});
      }
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
    });
  }

  /// An at-most-once request waits for an answer that never comes, while all
  /// other requests avoid the server. Without probes nothing would show that
  /// the server is unreachable.
  void SilentServerWithOneRequestAtATimeIsEjected() {
    Section("a request to a server gets no answer", [] {
      Pool pool = MakePoolWithBaseline();
      AttemptStarted(*pool.detector, Id(1), AttemptId(1000000), pool.now);
      RunWithoutFirst(pool, Seconds(1));
      Section("the server is probed", [&] {
        CPPUNIT_ASSERT(ProbesDue(*pool.detector, pool.now) ==
                       std::vector<BackendServerId>{Id(1)});
      });
      Section("an answered probe leaves it in service", [&] {
        ProbeEnded(*pool.detector, Id(1), true, pool.now);
        RunWithoutFirst(pool, Millis(500));
        CPPUNIT_ASSERT(ProbesDue(*pool.detector, pool.now).empty());
        CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
      });
      Section("unanswered probes end its healthy state within 12 s", [&] {
        for (int i = 0; i < 6; ++i) {
          RunWithoutFirst(pool, Seconds(2));
          if (!ProbesDue(*pool.detector, pool.now).empty()) {
            ProbeUnanswered(*pool.detector, Id(1), Seconds(1), pool.now);
          }
        }
        CPPUNIT_ASSERT(StateOfFirst(pool) != ServerState::kHealthy);
      });
    });
    Section("unanswered probes do not count while no server answers", [] {
      Pool pool = MakePoolWithBaseline();
      AttemptStarted(*pool.detector, Id(1), AttemptId(1000000), pool.now);
      for (int i = 0; i < 20; ++i) {
        pool.now += Seconds(1);
        EvaluateNow(pool);
        ProbeUnanswered(*pool.detector, Id(1), Seconds(1), pool.now);
      }
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
    });
  }

  /// Time without requests must not count as silence of the service, which
  /// would hide the first unanswered request after it.
  void FirstRequestAfterIdleTimeCounts() {
    Section("the first request after a minute without any", [] {
      Pool pool = MakePoolWithBaseline();
      RunTraffic(pool, Seconds(60), 0, [](auto) { return Answer{}; });
      Section("counts against its server if it gets no answer", [&] {
        AttemptStarted(*pool.detector, Id(1), AttemptId(1000000), pool.now);
        RunWithoutFirst(pool, Seconds(1));
        const auto digests =
            OwnDigests(*pool.detector, ServiceId(1), 1, pool.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, digests.size());
        CPPUNIT_ASSERT(digests[0].server == Id(1));
      });
    });
  }

  void PeerEvidenceCounts() {
    Section("evidence of several peers ejects without own traffic", [] {
      Pool pool = MakePoolWithBaseline();
      for (std::uint32_t peer = 1; peer <= 6; ++peer) Receive(pool, peer, 160);
      EvaluateNow(pool);
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
    });
    Section("old peer evidence expires", [] {
      Pool pool = MakePoolWithBaseline();
      for (std::uint32_t peer = 1; peer <= 6; ++peer) Receive(pool, peer, 160);
      pool.now += Seconds(3);
      EvaluateNow(pool);
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
    });
    Section("own digests list the unhealthy server first", [] {
      Pool pool = MakePoolWithBaseline();
      RunWithFirst(pool, Millis(300), {Millis(20), AttemptEnd::kError});
      const auto digests =
          OwnDigests(*pool.detector, ServiceId(1), 1, pool.now);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, digests.size());
      CPPUNIT_ASSERT(digests[0].server == Id(1));
      CPPUNIT_ASSERT(digests[0].score > 0);
    });
  }

  void EvidenceOfEjectedServerIsHeldForPeers() {
    Section("the digest of an ejected server", [] {
      Pool pool = MakePoolWithBaseline();
      RunWithFirst(pool, Seconds(2), {Millis(20), AttemptEnd::kError});
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
      const auto score_after = [&pool](Duration passed) {
        pool.now += passed;
        EvaluateNow(pool);
        const auto digests =
            OwnDigests(*pool.detector, ServiceId(1), 1, pool.now);
        return digests.empty() ? 0 : int{digests[0].score};
      };
      const int first = score_after(Millis(0));
      Section("keeps its score for some rounds of the exchange", [&] {
        CPPUNIT_ASSERT(first > 160);
        CPPUNIT_ASSERT(score_after(Seconds(2)) > first * 9 / 10);
      });
      Section("has no score left before probation", [&] {
        score_after(Millis(1500));  // The hold ends soon after.
        CPPUNIT_ASSERT(score_after(Millis(3500)) < 16);
        CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
      });
    });
  }

  void TimeoutsOfRepairedLinkAreNoEvidence() {
    Section("requests that time out after a link was repaired do not eject",
            [] {
              Pool pool = MakePoolWithBaseline();
              // Only the first server had requests in flight when the link
              // broke.
              for (std::uint64_t i = 0; i < 8; ++i) {
                const AttemptId attempt(1000000 + i);
                AttemptStarted(*pool.detector, Id(1), attempt, pool.now);
                pool.pending.push_back(
                    {attempt, pool.now + Seconds(4), AttemptEnd::kTimeout});
              }
              RunTraffic(pool, Seconds(1), 0, [](auto) { return Answer{}; });
              CPPUNIT_ASSERT(!AnyEjection(pool));
              RunTraffic(pool, Seconds(6), kRate,
                         [&](auto) { return HealthyAnswer(pool.random); });
              CPPUNIT_ASSERT(!AnyEjection(pool));
            });
  }

  void WarmingServerMayBeSlow() {
    Section("a new server that is slow while it warms up stays in service", [] {
      Pool pool = MakePoolWithBaseline();
      pool.members.push_back({Id(7)});
      SetMembers(*pool.detector, pool.members, pool.now);
      RunTraffic(pool, Seconds(8), kRate, [&](BackendServerId id) {
        Answer answer = HealthyAnswer(pool.random);
        if (id == Id(7)) answer.latency *= 4;
        return answer;
      });
      CPPUNIT_ASSERT(StateOf(*pool.detector, Id(7)) == ServerState::kHealthy);
      Section("is ejected if it stays slow", [&] {
        RunTraffic(pool, Seconds(10), kRate, [&](BackendServerId id) {
          Answer answer = HealthyAnswer(pool.random);
          if (id == Id(7)) answer.latency *= 6;
          return answer;
        });
        CPPUNIT_ASSERT(StateOf(*pool.detector, Id(7)) == ServerState::kEjected);
      });
    });
  }

  void FirstServersCountAsWarm() {
    Section("servers listed first after an empty list", [] {
      Pool pool = MakePool(0, 1);
      for (int i = 1; i <= 6; ++i) pool.members.push_back({Id(i)});
      SetMembers(*pool.detector, pool.members, pool.now);
      RunWithFirst(pool, Seconds(4), {Millis(20), AttemptEnd::kError});
      Section(
          "count for the floor, so that an unhealthy one can be ejected",
          [&] { CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected); });
    });
  }

  void ToleratedFalseEjectionsSetThreshold() {
    Section("fewer tolerated false ejections need more evidence", [] {
      const auto failures_to_eject = [](double tolerated) {
        declarations::Service service;
        service.false_ejections_per_server_day = tolerated;
        Pool pool = MakePoolWithBaseline(service);
        int n = 0;
        while (StateOfFirst(pool) == ServerState::kHealthy) {
          Send(pool, Id(1), {Millis(1), AttemptEnd::kError});
          Send(pool, Id(2), {Millis(20), AttemptEnd::kOk});
          ++n;
        }
        return n;
      };
      CPPUNIT_ASSERT(failures_to_eject(10) < failures_to_eject(0.001));
    });
    Section("a changed setting applies at once", [] {
      declarations::Service service;
      service.false_ejections_per_server_day = 1e-6;
      Pool pool = MakePoolWithBaseline(service);
      for (std::uint32_t peer = 1; peer <= 4; ++peer) Receive(pool, peer, 72);
      EvaluateNow(pool);
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kHealthy);
      service.false_ejections_per_server_day = 10;
      UpdateSettings(*pool.detector, service, true);
      EvaluateNow(pool);
      CPPUNIT_ASSERT(StateOfFirst(pool) == ServerState::kEjected);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DetectorTest);

}  // namespace
}  // namespace ibisladder::detection
