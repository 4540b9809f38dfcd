#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

#include "tests/auto/support/story.h"
#include "tests/process/fleet.h"

namespace ibisladder::process {
namespace {

using nlohmann::json;
using testing::Section;

constexpr std::chrono::milliseconds kInstallTimeout(6000);

/// Guards against configuration changes that do not reach all instances,
/// overwrite another operator's change, or are reported wrongly when the
/// platform fails.
class ConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(AChangeIsInstalledEverywhereWithinSeconds);
  CPPUNIT_TEST(OfTwoChangesToOneVersionTheSecondIsRefused);
  CPPUNIT_TEST(DuringAnOutageChangesAreRefusedAndInstancesStart);
  CPPUNIT_TEST(ALostReplyIsResolvedByReading);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AChangeIsInstalledEverywhereWithinSeconds() {
    Fleet fleet(Options());
    fleet.Start();
    for (std::uint64_t version = 1; version < 4; ++version) {
      const json reply = fleet.Apply(1, Changed(fleet, version), version,
                                     "change-" + std::to_string(version));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.dump(), 1000, CodeOf(reply));
      CPPUNIT_ASSERT_MESSAGE(fleet.Logs(),
                             IsInstalledEverywhere(fleet, version + 1));
    }
  }

  void OfTwoChangesToOneVersionTheSecondIsRefused() {
    Fleet fleet(Options());
    fleet.Start();
    const json first = fleet.Apply(1, Changed(fleet, 1), 1, "first");
    const json second = fleet.Apply(2, Changed(fleet, 2), 1, "second");
    CPPUNIT_ASSERT_EQUAL(1000, CodeOf(first));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(second.dump(), 5001, CodeOf(second));
    Section("repeating the accepted change is no conflict", [&] {
      const json again = fleet.Apply(3, Changed(fleet, 1), 1, "first");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(again.dump(), 1000, CodeOf(again));
    });
  }

  void DuringAnOutageChangesAreRefusedAndInstancesStart() {
    Fleet fleet(Options());
    fleet.Start();
    CPPUNIT_ASSERT_EQUAL(1000,
                         CodeOf(fleet.Apply(1, Changed(fleet, 1), 1, "one")));
    CPPUNIT_ASSERT(IsInstalledEverywhere(fleet, 2));
    fleet.SetPlatformFaults({{"down", true}});
    Section("a change is not accepted", [&] {
      const json reply = fleet.Apply(2, Changed(fleet, 2), 2, "two");
      const int code = CodeOf(reply);
      CPPUNIT_ASSERT_MESSAGE(reply.dump(), code == 5003 || code == 5004);
    });
    Section("a starting instance gets the version from its peers", [&] {
      fleet.instance(3).Signal(SIGKILL);
      fleet.StartInstance(3);
      CPPUNIT_ASSERT_MESSAGE(fleet.Logs(), Await(kLongTimeout, [&] {
                               return fleet.VersionOf(3) == 2;
                             }));
      CPPUNIT_ASSERT(fleet.IsReady(3));
    });
    Section("changes are accepted after the outage", [&] {
      fleet.SetPlatformFaults(json::object());
      const bool accepted = Await(kLongTimeout, [&] {
        const json reply = fleet.Apply(2, Changed(fleet, 3), 2, "three");
        return reply.is_object() && CodeOf(reply) == 1000;
      });
      CPPUNIT_ASSERT_MESSAGE(fleet.Logs(), accepted);
      CPPUNIT_ASSERT(IsInstalledEverywhere(fleet, 3));
    });
  }

  void ALostReplyIsResolvedByReading() {
    Fleet fleet(Options());
    fleet.Start();
    for (int lost = 1; lost <= 2; ++lost) {
      const std::uint64_t version = fleet.VersionOf(1);
      fleet.SetPlatformFaults({{"lose_replies", lost}});
      const json reply =
          fleet.Apply(1, Changed(fleet, static_cast<int>(version) + 10),
                      version, "lost-" + std::to_string(lost));
      fleet.SetPlatformFaults(json::object());
      const int code = CodeOf(reply);
      if (code == 1000) {
        CPPUNIT_ASSERT(IsInstalledEverywhere(fleet, version + 1));
      } else {
        // The write may have taken effect, so only "unknown" is a correct
        // result.
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.dump(), 5004, code);
      }
    }
  }

 private:
  static FleetOptions Options() {
    FleetOptions options;
    options.settings = {{"store_timeout_ms", 500}};
    return options;
  }

  static json Changed(const Fleet& fleet, std::uint64_t n) {
    json result = fleet.Declarations();
    result["keep_addresses_ms"] = 2000 + n;
    return result;
  }

  static int CodeOf(const json& reply) {
    return reply.is_object() ? reply["result"].value("code", 0) : 0;
  }

  static bool IsInstalledEverywhere(const Fleet& fleet, std::uint64_t version) {
    return Await(kInstallTimeout, [&] {
      for (int i = 1; i <= 3; ++i) {
        if (fleet.VersionOf(i) != version) return false;
      }
      return true;
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

}  // namespace
}  // namespace ibisladder::process
