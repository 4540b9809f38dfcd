#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

#include "tests/auto/support/story.h"
#include "tests/process/fleet.h"

namespace ibisladder::process {
namespace {

using nlohmann::json;
using testing::Section;

/// Guards against calls that are lost when an instance or a backend server
/// stops as planned, or when all instances are replaced, under load in real
/// processes.
class StopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopTest);
  CPPUNIT_TEST(APlannedStopLosesNoCall);
  CPPUNIT_TEST(AllInstancesAreReplacedInTurn);
  CPPUNIT_TEST(ALeavingServerGetsNoNewRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void APlannedStopLosesNoCall() {
    Fleet fleet(Options());
    fleet.Start();
    auto browse = fleet.StartCaller({1, 2, 3}, Browses(600));
    auto charge = fleet.StartCaller({1, 2, 3}, Charges(600));
    Await(kLongTimeout, [&] { return fleet.Executions().size() > 100; });
    fleet.instance(1).Signal(SIGTERM);
    const auto status = fleet.instance(1).Wait(2 * kLongTimeout);
    CPPUNIT_ASSERT_MESSAGE(
        "the instance still runs after the stop signal\n" + fleet.Logs(),
        status.has_value());
    CPPUNIT_ASSERT_EQUAL(0, *status);
    AssertAllDoneAtFirstTry(fleet, browse);
    AssertAllDoneAtFirstTry(fleet, charge);
  }

  void AllInstancesAreReplacedInTurn() {
    Fleet fleet(Options());
    fleet.Start();
    auto browse = fleet.StartCaller({1, 2, 3}, Browses(2500));
    auto charge = fleet.StartCaller({3, 2, 1}, Charges(2500));
    for (int i = 1; i <= 3; ++i) {
      fleet.instance(i).Signal(SIGTERM);
      const auto status = fleet.instance(i).Wait(2 * kLongTimeout);
      CPPUNIT_ASSERT_MESSAGE(
          "the instance still runs after the stop signal\n" + fleet.Logs(),
          status.has_value());
      CPPUNIT_ASSERT_EQUAL(0, *status);
      fleet.StartInstance(i);
      CPPUNIT_ASSERT(Await(kLongTimeout, [&] { return fleet.IsReady(i); }));
    }
    AssertAllDoneAtFirstTry(fleet, browse);
    AssertAllDoneAtFirstTry(fleet, charge);
  }

  void ALeavingServerGetsNoNewRequests() {
    Fleet fleet(Options());
    fleet.Start();
    const auto receives_nothing = [&](int server) {
      const int before = fleet.ExecutionsOf(server);
      auto run = fleet.StartCaller({1, 2, 3}, Browses(100));
      fleet.Finish(run, kLongTimeout);
      return fleet.ExecutionsOf(server) == before;
    };
    Section("when the instance list says so", [&] {
      fleet.SetInstanceList({1, 2, 3}, {}, {"s1"});
      CPPUNIT_ASSERT(Await(kLongTimeout, [&] { return receives_nothing(1); }));
    });
    Section("when it reports draining in its answers", [&] {
      fleet.SetServerMode(2, {{"draining", true}});
      CPPUNIT_ASSERT(Await(kLongTimeout, [&] { return receives_nothing(2); }));
    });
    Section("when an operator drains it", [&] {
      const json reply = fleet.Call(2, "DrainServer",
                                    {{"service", "shop"},
                                     {"server", "s3"},
                                     {"drained", true},
                                     {"change_id", "drain-s3"}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.dump(), 1000,
                                   reply["result"]["code"].get<int>());
      CPPUNIT_ASSERT(Await(kLongTimeout, [&] { return receives_nothing(3); }));
    });
    Section("the remaining server serves all calls", [&] {
      auto run = fleet.StartCaller({1}, Browses(20));
      for (const auto& it : fleet.Finish(run, kLongTimeout)) {
        CPPUNIT_ASSERT_EQUAL(std::string("done"), it.outcome);
      }
    });
  }

 private:
  static FleetOptions Options() {
    FleetOptions options;
    options.settings = {{"stop_limit_ms", 25000}};
    return options;
  }

  static std::vector<std::string> Browses(int count) {
    return {"--path=/browse", "--rate=100", "--tries=1",
            "--count=" + std::to_string(count)};
  }

  static std::vector<std::string> Charges(int count) {
    auto flags = Browses(count);
    flags[0] = "--path=/charge";
    flags.emplace_back("--method=POST");
    flags.emplace_back("--at_most_once");
    return flags;
  }

  static void AssertAllDoneAtFirstTry(const Fleet& fleet, CallerRun& run) {
    const auto records = fleet.Finish(run, 4 * kLongTimeout);
    for (const auto& it : records) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          it.id + " code " + std::to_string(it.code) + "\n" + fleet.Logs(),
          std::string("done"), it.outcome);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         FindAtMostOnceViolations(records, fleet.Executions()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTest);

}  // namespace
}  // namespace ibisladder::process
