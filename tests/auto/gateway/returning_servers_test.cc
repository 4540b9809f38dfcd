// Servers that fail, leave and return while others start, before several
// instances. Guards against sound servers that stay without requests because
// instances still think ill of them.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/auto/gateway/server_history.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

constexpr int kInstances = 16;
constexpr Duration kStep = Millis(10);

/// 54 servers in four zones before 16 instances.
RecordedFleet MakeLargeFleet(double requests_per_second,
                             FleetSettings settings = {}) {
  settings.servers = {14, 14, 13, 13};
  settings.instances_per_zone = kInstances / 4;
  return MakeRecordedFleet(settings, requests_per_second);
}

/// Returns the names of the first `n` servers, by turns of each zone.
std::vector<std::string> FirstServers(const RecordedFleet& recorded, int n) {
  std::vector<std::string> names;
  for (int i = 0; static_cast<int>(names.size()) < n; ++i) {
    for (const char zone : {'a', 'b', 'c', 'd'}) {
      const std::string name = zone + std::to_string(i);
      const bool is_known = recorded.fleet.servers.contains(name);
      if (is_known && static_cast<int>(names.size()) < n) names.push_back(name);
    }
  }
  return names;
}

/// Sixteen instances before ten servers, at 20 requests a second. Six of the
/// servers lose requests, three at a time.
class SmallService {
 public:
  explicit SmallService(std::uint64_t seed) {
    FleetSettings settings;
    settings.servers = {3, 3, 2, 2};
    settings.instances_per_zone = kInstances / 4;
    settings.slots = 6;
    settings.seed = seed;
    recorded_ = MakeRecordedFleet(settings, 20);
    Run(recorded_, Seconds(5));
  }

  /// Runs for `time`, a multiple of three seconds.
  void RunWithFailures(Duration time) {
    for (Duration passed{}; passed < time; passed += Seconds(3)) {
      const auto& names = kByTurns[turn_++ % 2];
      for (const char* it : names) {
        SetMode(recorded_, it, ServerMode::kLosesRequests);
      }
      Run(recorded_, Seconds(3));
      for (const char* it : names) SetMode(recorded_, it, ServerMode::kHealthy);
    }
  }

  RecordedFleet& recorded() { return recorded_; }

 private:
  static constexpr const char* kByTurns[2][3] = {{"a2", "b2", "d1"},
                                                 {"c1", "d0", "b1"}};
  RecordedFleet recorded_;
  int turn_ = 0;
};

class ReturningServersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReturningServersTest);
  CPPUNIT_TEST(NewIncarnationsStartWithoutOldState);
  CPPUNIT_TEST(ListedAgainWithoutOldState);
  CPPUNIT_TEST(SmallServiceWhileOthersFail);
  CPPUNIT_TEST(ServersNeededByARouteThatFailsElsewhere);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A server that crashed and returned must not be out of service for what its
  /// old incarnation did.
  void NewIncarnationsStartWithoutOldState() {
    for (const double rate : {84.0, 240.0}) {
      RecordedFleet recorded = MakeLargeFleet(rate);
      const auto names = FirstServers(recorded, 20);
      Run(recorded, Seconds(5));
      std::vector<std::string> group;
      for (const auto& it : names) {
        group.push_back(it);
        if (group.size() == 5)
          CrashAndRestart(recorded, std::exchange(group, {}));
      }
      Section("at " + std::to_string(static_cast<int>(rate)) + " requests/s",
              [&] {
                Section("instances use them at once", [&] {
                  for (const auto& it : names)
                    ExpectHealthyAtOnce(recorded, it);
                });
                Section("and those that started meanwhile", [&] {
                  for (const int it : {0, 5, 10, 15}) {
                    ExpectHealthyAtOnce(recorded, "new-" + names[it]);
                  }
                });
              });
    }
  }

  /// The entry of a server that instances had ejected vanished from the lists
  /// and came back. What ended meanwhile must not count against the server.
  void ListedAgainWithoutOldState() {
    RecordedFleet recorded = MakeLargeFleet(240);
    const auto names = FirstServers(recorded, 5);
    Run(recorded, Seconds(5));
    for (const auto& it : names) {
      SetMode(recorded, it, ServerMode::kAnswersNothing);
    }
    Run(recorded, Seconds(3));
    Section("instances take them out of service", [&] {
      for (const auto& it : names) {
        CPPUNIT_ASSERT(CountInstances(recorded, it, KnownAs::kHealthy) <
                       kInstances);
      }
    });
    for (const auto& it : names) SetListed(recorded, it, false);
    Run(recorded, Millis(500));
    for (const auto& it : names) {
      SetMode(recorded, it, ServerMode::kHealthy);
      SetListed(recorded, it, true);
    }
    Section("and use them at once when they are listed again", [&] {
      Run(recorded, kStep);
      for (const auto& it : names) ExpectHealthyAtOnce(recorded, it);
    });
    Section("requests of before that time out later do not count", [&] {
      Run(recorded, Seconds(4));
      for (const auto& it : names) {
        CPPUNIT_ASSERT_EQUAL(kInstances,
                             CountInstances(recorded, it, KnownAs::kHealthy));
      }
    });
  }

  /// Servers whose links had failed stayed out of service for up to 20 s while
  /// six others failed by turns: trials of those came first.
  void SmallServiceWhileOthersFail() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      SmallService service(seed);
      RecordedFleet& recorded = service.recorded();
      const std::vector<std::string> names = {"a0", "b0", "c0"};
      for (const auto& it : names) SetMode(recorded, it, ServerMode::kRefuses);
      service.RunWithFailures(Seconds(6));
      for (const auto& it : names) SetMode(recorded, it, ServerMode::kHealthy);
      service.RunWithFailures(Seconds(24));
      Section("seed " + std::to_string(seed), [&] {
        for (const auto& it : names) {
          const ServerHistory& history = recorded.history.at(it);
          CPPUNIT_ASSERT_MESSAGE(it, history.until_request);
          CPPUNIT_ASSERT_MESSAGE(it, *history.until_request <= Seconds(8));
          CPPUNIT_ASSERT_MESSAGE(it, history.until_healthy);
          CPPUNIT_ASSERT_MESSAGE(it, *history.until_healthy <= Seconds(10));
        }
      });
    }
  }

  /// Sound servers that had answered errors got no requests for seconds while
  /// the route failed at its other service: instances saw nothing of that here,
  /// and waited with at-most-once trials.
  void ServersNeededByARouteThatFailsElsewhere() {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      FleetSettings settings;
      settings.unserved_percent = 15;
      settings.seed = seed;
      RecordedFleet recorded = MakeLargeFleet(280, settings);
      const auto names = FirstServers(recorded, 20);
      Run(recorded, Seconds(5));
      for (const auto& it : names) {
        SetMode(recorded, it, ServerMode::kAnswersErrors);
      }
      Run(recorded, Seconds(2));
      for (const auto& it : names) SetMode(recorded, it, ServerMode::kHealthy);
      Run(recorded, Seconds(10));
      Section("seed " + std::to_string(seed), [&] {
        for (const Window& it : WindowsFrom(recorded, 5)) {
          CPPUNIT_ASSERT_MESSAGE("second " + std::to_string(it.first_second) +
                                     ": " + std::to_string(it.used) + " of " +
                                     std::to_string(it.sound),
                                 !HasManyUnserved(it) || !IsBelowFloor(it));
        }
      });
    }
  }

 private:
  /// The servers are down for two seconds; a new one starts when they return.
  static void CrashAndRestart(RecordedFleet& recorded,
                              const std::vector<std::string>& names) {
    for (const auto& it : names) Crash(recorded, it);
    Run(recorded, Seconds(2));
    for (const auto& it : names) Restart(recorded, it);
    Start(recorded, "new-" + names[0]);
    Run(recorded, Seconds(1));
  }
  static void ExpectHealthyAtOnce(const RecordedFleet& recorded,
                                  const std::string& name) {
    const ServerHistory& history = recorded.history.at(name);
    CPPUNIT_ASSERT_MESSAGE(name, history.until_healthy.has_value());
    CPPUNIT_ASSERT_MESSAGE(name, *history.until_healthy <= kStep);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        name, kInstances, CountInstances(recorded, name, KnownAs::kHealthy));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturningServersTest);

}  // namespace
}  // namespace ibisladder::gateway
