#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/fleet/scripted_fleet.h"

namespace ibisladder::fleet {
namespace {

class RestoredStoreReadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredStoreReadsTest);
  CPPUNIT_TEST(LackingVersionIsReadAfterAPauseOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a store that has just been restored and is flooded with
  /// reads: it lacks a version that other instances announce.
  void LackingVersionIsReadAfterAPauseOnly() {
    auto loop = std::move(*net::EventLoop::Create());
    storesync::StoreEra era(1);
    int lists = 0;
    int version = 1;
    const auto script =
        [&](const storesync::Call& call) -> std::optional<ScriptedReply> {
      auto reply = IsConfigurationList(call)
                       ? std::optional(ConfigurationList(version))
                       : ReplyOfEmptyStore(call);
      lists += IsConfigurationList(call) ? 1 : 0;
      if (reply) reply->era = era;
      return reply;
    };
    Announcer announcer(*loop, "n0", Millis(100), Millis(2500));
    announcer.version = 5;
    const net::Timer restore(*loop, net::Timer::Kind::kOnce, Seconds(2), [&] {
      era = storesync::StoreEra(2);
      lists = 0;
    });
    int lists_until_written = 0;
    const net::Timer write(*loop, net::Timer::Kind::kOnce, Seconds(6), [&] {
      lists_until_written = lists;
      version = 5;
    });
    CPPUNIT_ASSERT(InstallsVersion(*loop, 5, script, Seconds(15)));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(lists_until_written),
                           lists_until_written >= 2);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(lists_until_written),
                           lists_until_written <= 12);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreReadsTest);

}  // namespace
}  // namespace ibisladder::fleet
