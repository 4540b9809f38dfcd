#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>

#include "tests/auto/support/story.h"
#include "tests/process/fleet.h"

namespace ibisladder::process {
namespace {

using testing::Section;

const std::vector<std::string> kCharges = {
    "--path=/charge",    "--method=POST", "--at_most_once", "--rate=200",
    "--timeout_ms=1000", "--tries=4",     "--settle"};

/// Guards against requests that run twice, or that run although the caller was
/// told that they did not, when backend servers, entry instances or the
/// platform fail. The processes are real; the backend servers' execution log is
/// compared with the callers' records.
class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(AServerFailsInEachMode);
  CPPUNIT_TEST(AnEntryInstanceIsKilledAndReplaced);
  CPPUNIT_TEST(AnEntryInstanceIsFrozen);
  CPPUNIT_TEST(ThePlatformIsDown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AServerFailsInEachMode() {
    Fleet fleet(Options());
    fleet.Start();
    for (const char* mode : {"reset", "bare503", "truncate", "corrupt",
                             "foreign", "error", "stall", "slow"}) {
      Section(std::string("one of four servers is in mode ") + mode, [&] {
        fleet.SetServerMode(1, {{"mode", mode}});
        auto run = fleet.StartCaller({1, 2, 3}, Charges(100));
        const auto records = fleet.Finish(run, kLongTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, records.size());
        AssertAtMostOnce(fleet, records);
        const auto done = std::count_if(
            records.begin(), records.end(),
            [](const CallRecord& it) { return it.outcome == "done"; });
        CPPUNIT_ASSERT_MESSAGE(
            "calls done, expected more than 50: " + std::to_string(done),
            done > 50);
      });
    }
  }

  void AnEntryInstanceIsKilledAndReplaced() {
    Fleet fleet(Options());
    fleet.Start();
    auto direct = fleet.StartCaller({1}, Charges(400));
    auto flags = Charges(400);
    flags.emplace_back("--elsewhere");
    auto relayed = fleet.StartCaller({1, 2, 3}, flags);
    for (int i = 0; i < 3; ++i) {
      AwaitExecutions(fleet, 50 * (i + 1));
      fleet.instance(1).Signal(SIGKILL);
      fleet.StartInstance(1);
    }
    auto records = fleet.Finish(direct, 2 * kLongTimeout);
    const auto more = fleet.Finish(relayed, 2 * kLongTimeout);
    records.insert(records.end(), more.begin(), more.end());
    AssertAtMostOnce(fleet, records);
  }

  void AnEntryInstanceIsFrozen() {
    Fleet fleet(Options());
    fleet.Start();
    auto flags = Charges(300);
    flags.emplace_back("--elsewhere");
    auto run = fleet.StartCaller({1, 2, 3}, flags);
    for (int i = 0; i < 2; ++i) {
      AwaitExecutions(fleet, 40 * (i + 1));
      fleet.instance(2).Signal(SIGSTOP);
      AwaitExecutions(fleet, 40 * (i + 1) + 30);
      fleet.instance(2).Signal(SIGCONT);
    }
    AssertAtMostOnce(fleet, fleet.Finish(run, 2 * kLongTimeout));
  }

  void ThePlatformIsDown() {
    Fleet fleet(Options());
    fleet.Start();
    fleet.KillPlatform();
    auto run = fleet.StartCaller({1, 2, 3}, Charges(200));
    const auto records = fleet.Finish(run, kLongTimeout);
    AssertAtMostOnce(fleet, records);
    for (const auto& it : records) {
      CPPUNIT_ASSERT_EQUAL(std::string("done"), it.outcome);
    }
  }

 private:
  static FleetOptions Options() {
    FleetOptions options;
    return options;
  }

  static std::vector<std::string> Charges(int count) {
    auto flags = kCharges;
    flags.push_back("--count=" + std::to_string(count));
    return flags;
  }

  static void AssertAtMostOnce(const Fleet& fleet,
                               const std::vector<CallRecord>& records) {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         FindAtMostOnceViolations(records, fleet.Executions()));
  }

  static void AwaitExecutions(const Fleet& fleet, int n) {
    Await(kLongTimeout,
          [&] { return static_cast<int>(fleet.Executions().size()) >= n; });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

}  // namespace
}  // namespace ibisladder::process
