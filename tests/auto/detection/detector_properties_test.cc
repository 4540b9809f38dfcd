// Property tests of the detector with random pools. Guards against ejections
// that leave less capacity than the floor, late ejections, and ejections for
// faults that all servers share or that a single peer reports.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "tests/auto/detection/pool.h"
#include "tests/auto/support/story.h"

namespace ibisladder::detection {
namespace {

using ibisladder::testing::CheckProperty;

constexpr double kRate = 10;
constexpr Duration kBaselineTime = Seconds(10);

Pool MakePoolWithBaseline(int servers, std::uint64_t seed) {
  Pool pool = MakePool(servers, seed);
  RunTraffic(pool, kBaselineTime, kRate,
             [&](auto) { return HealthyAnswer(pool.random); });
  return pool;
}

/// Returns the answer of a server with one of five kinds of gray failure.
Answer UnhealthyAnswer(int kind, Random& random) {
  const Answer healthy = HealthyAnswer(random);
  switch (kind) {
    case 0:
      return {healthy.latency, AttemptEnd::kAbandoned};  // Stays in flight.
    case 1:
      return {healthy.latency * 8, healthy.end};
    case 2:
      return {healthy.latency, AttemptEnd::kError};
    case 3:
      return {healthy.latency, AttemptEnd::kCorrupt};
    default:
      return {healthy.latency,
              UniformUnit(random) < 0.5 ? AttemptEnd::kLost : AttemptEnd::kOk};
  }
}

/// Tracks independently of the detector which servers have warmed up.
struct WarmUpTimes {
  std::map<BackendServerId, TimePoint> warm_from;

  void Update(const std::vector<StateChange>& changes, TimePoint now,
              Duration warm_up) {
    for (const auto& it : changes) {
      if (it.to == ServerState::kHealthy &&
          it.from == ServerState::kProbation) {
        warm_from[it.server] = now + warm_up;
      }
      if (it.to == ServerState::kLastResort) warm_from[it.server] = now;
    }
  }
};

/// Whether enough warmed-up capacity is in service, or no server is out.
bool HoldsFloor(const Pool& pool, const WarmUpTimes& warm_ups) {
  int live = 0;
  int serving = 0;
  bool any_out = false;
  for (const auto& it : pool.members) {
    if (it.leaving) continue;
    live += it.slots;
    const ServerState state = StateOf(*pool.detector, it.id);
    const bool is_out =
        state == ServerState::kEjected || state == ServerState::kProbation;
    any_out = any_out || is_out;
    const auto warm = warm_ups.warm_from.find(it.id);
    const bool is_warm =
        warm == warm_ups.warm_from.end() || warm->second <= pool.now;
    if (!is_out && is_warm) serving += it.slots;
  }
  return !any_out || serving * 100 >= live * pool.service.floor_percent;
}

class DetectorPropertiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DetectorPropertiesTest);
  CPPUNIT_TEST(EjectionKeepsFloor);
  CPPUNIT_TEST(UnhealthyServerIsEjectedInTime);
  CPPUNIT_TEST(SlowServiceCausesNoEjection);
  CPPUNIT_TEST(BrokenLinkCausesNoEjection);
  CPPUNIT_TEST(OneFalsePeerCausesNoEjection);
  CPPUNIT_TEST(IntervalsOfFlappingServerGrow);
  CPPUNIT_TEST(SameSeedGivesSameStates);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EjectionKeepsFloor() {
    int ejections = 0;
    int leaves = 0;
    CheckProperty("ejection keeps the floor", 11, 150, [&](std::uint64_t seed) {
      Random dice(seed);
      declarations::Service service;
      service.floor_percent =
          static_cast<std::uint8_t>(UniformBelow(dice, 101));
      service.warm_up = Seconds(static_cast<int>(UniformBelow(dice, 8)));
      Pool pool =
          MakePool(2 + static_cast<int>(UniformBelow(dice, 12)), seed, service);
      WarmUpTimes warm_ups;
      std::uint64_t next = 100;
      for (int round = 0; round < 40; ++round) {
        const std::uint64_t unhealthy = UniformBelow(dice, 4);
        RunTraffic(pool, Millis(500), kRate, [&](BackendServerId id) {
          return id.value() % 4 < unhealthy ? UnhealthyAnswer(2, pool.random)
                                            : HealthyAnswer(pool.random);
        });
        warm_ups.Update(pool.changes, pool.now, service.warm_up);
        for (const auto& it : pool.changes) {
          ejections += it.to == ServerState::kEjected ? 1 : 0;
        }
        pool.changes.clear();
        RC_ASSERT(HoldsFloor(pool, warm_ups));
        const std::uint64_t choice = UniformBelow(dice, 4);
        const std::size_t at = UniformBelow(dice, pool.members.size());
        if (choice == 0) {
          pool.members.push_back({Id(next), static_cast<std::uint16_t>(
                                                1 + UniformBelow(dice, 5))});
          warm_ups.warm_from[Id(next++)] = pool.now + service.warm_up;
        } else if (choice == 1 && pool.members.size() > 1) {
          pool.members.erase(pool.members.begin() +
                             static_cast<std::ptrdiff_t>(at));
          ++leaves;
        } else if (choice == 2) {
          pool.members[at].leaving = !pool.members[at].leaving;
        }
        SetMembers(*pool.detector, pool.members, pool.now);
        EvaluateNow(pool);
        warm_ups.Update(pool.changes, pool.now, service.warm_up);
        RC_ASSERT(HoldsFloor(pool, warm_ups));
      }
    });
    std::cout << "  contained: " << ejections << " ejections, " << leaves
              << " departures\n";
    CPPUNIT_ASSERT(ejections > 100);
    CPPUNIT_ASSERT(leaves > 100);
  }

  void UnhealthyServerIsEjectedInTime() {
    CheckProperty(
        "an unhealthy server is ejected in time", 12, 100,
        [](std::uint64_t seed) {
          const int servers = 4 + static_cast<int>(seed % 17);
          const int kind = static_cast<int>(seed / 17 % 5);
          Pool pool = MakePoolWithBaseline(servers, seed);
          RC_ASSERT(!AnyEjection(pool));
          RunTraffic(pool, Seconds(3), kRate, [&](BackendServerId id) {
            return id == Id(1) ? UnhealthyAnswer(kind, pool.random)
                               : HealthyAnswer(pool.random);
          });
          RC_ASSERT(!pool.changes.empty());
          for (const auto& it : pool.changes) {
            RC_ASSERT(it.server == Id(1));
          }
          RC_ASSERT(pool.changes[0].to == ServerState::kEjected);
        });
  }

  void SlowServiceCausesNoEjection() {
    CheckProperty("a slow service causes no ejection", 13, 100,
                  [](std::uint64_t seed) {
                    const int servers = 4 + static_cast<int>(seed % 17);
                    const int factor = 2 + static_cast<int>(seed / 17 % 9);
                    Pool pool = MakePoolWithBaseline(servers, seed);
                    RunTraffic(pool, Seconds(20), kRate, [&](auto) {
                      Answer answer = HealthyAnswer(pool.random);
                      answer.latency *= factor;
                      return answer;
                    });
                    RC_ASSERT(!AnyEjection(pool));
                  });
  }

  void BrokenLinkCausesNoEjection() {
    CheckProperty("a broken link causes no ejection", 14, 100,
                  [](std::uint64_t seed) {
                    constexpr AttemptEnd kEnds[] = {
                        AttemptEnd::kLost, AttemptEnd::kConnectFailed,
                        AttemptEnd::kAbandoned};  // The last stays in flight.
                    const int servers = 4 + static_cast<int>(seed % 17);
                    const AttemptEnd end = kEnds[seed / 17 % 3];
                    Pool pool = MakePoolWithBaseline(servers, seed);
                    RunTraffic(pool, Seconds(20), kRate, [&](auto) {
                      return Answer{Millis(20), end};
                    });
                    RC_ASSERT(!AnyEjection(pool));
                  });
  }

  void OneFalsePeerCausesNoEjection() {
    CheckProperty(
        "one peer with false evidence causes no ejection", 15, 100,
        [](std::uint64_t seed) {
          Pool pool =
              MakePoolWithBaseline(4 + static_cast<int>(seed % 17), seed);
          for (int round = 0; round < 20; ++round) {
            const std::vector<Digest> false_digests = {
                {ServiceId(1), Id(1 + seed % 4), 32767, 255}};
            MergePeerDigests(*pool.detector, InstanceId(9), false_digests,
                             pool.now);
            RunTraffic(pool, Millis(500), round % 2 == 0 ? 0 : kRate,
                       [&](auto) { return HealthyAnswer(pool.random); });
          }
          RC_ASSERT(!AnyEjection(pool));
        });
  }

  void IntervalsOfFlappingServerGrow() {
    CheckProperty(
        "ejection intervals of a flapping server grow", 16, 30,
        [](std::uint64_t seed) {
          Pool pool = MakePoolWithBaseline(6, seed);
          std::vector<TimePoint> out;
          std::vector<Duration> intervals;
          bool is_unhealthy = true;
          while (intervals.size() < 4 && pool.now < TimePoint(Seconds(1200))) {
            RunTraffic(pool, Millis(50), kRate, [&](BackendServerId id) {
              return id == Id(1) && is_unhealthy
                         ? UnhealthyAnswer(2, pool.random)
                         : HealthyAnswer(pool.random);
            });
            for (const auto& it : pool.changes) {
              if (it.to == ServerState::kEjected) out.push_back(pool.now);
              if (it.to == ServerState::kProbation) {
                intervals.push_back(pool.now - out.back());
              }
              // Healthy on probation, failing again as soon as it is restored.
              is_unhealthy = it.to == ServerState::kHealthy;
            }
            pool.changes.clear();
          }
          RC_ASSERT(intervals.size() >= 4U);
          for (std::size_t i = 1; i < intervals.size(); ++i) {
            RC_ASSERT(intervals[i] > intervals[i - 1]);
          }
        });
  }

  void SameSeedGivesSameStates() {
    CheckProperty(
        "the same seed gives the same states", 17, 20, [](std::uint64_t seed) {
          const auto run = [seed] {
            Pool pool = MakePoolWithBaseline(8, seed);
            RunTraffic(pool, Seconds(40), kRate, [&](BackendServerId id) {
              return id == Id(1) ? UnhealthyAnswer(4, pool.random)
                                 : HealthyAnswer(pool.random);
            });
            std::vector<double> scores;
            for (const auto& it : Report(*pool.detector)) {
              scores.push_back(it.score);
            }
            return std::make_pair(pool.changes.size(), scores);
          };
          RC_ASSERT(run() == run());
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DetectorPropertiesTest);

}  // namespace
}  // namespace ibisladder::detection
