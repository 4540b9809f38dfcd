// Guards against organisations that exceed their limits when requests arrive in
// bursts, and against state that grows with every organisation ever seen.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "libs/routing/router.h"
#include "tests/auto/support/story.h"

namespace ibisladder::routing {
namespace {

using testing::CheckProperty;
using testing::Section;

constexpr TimePoint kStart(Seconds(100));

class OrganisationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrganisationTest);
  CPPUNIT_TEST(LimitsHoldUnderAnySchedule);
  CPPUNIT_TEST(KeepsStateOfRecentOrganisationsOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LimitsHoldUnderAnySchedule() {
    CheckProperty("limits per organisation hold", 11, 300, [] {
      declarations::Organisation declared;
      declared.requests_per_second = *rc::gen::inRange<std::uint32_t>(1, 500);
      declared.max_in_flight = *rc::gen::inRange<std::uint32_t>(0, 20);
      const auto fleet = *rc::gen::inRange<std::size_t>(1, 50);
      Random random(*rc::gen::arbitrary<std::uint64_t>());
      const auto limits = MakeOrganisationLimits();
      const double whole = declared.requests_per_second;
      const double rate =
          std::max(whole / static_cast<double>(fleet), std::min(whole, 1.0));
      const double burst = std::max(2 * rate, std::min(whole, 5.0));
      const OrganisationId id(5);
      TimePoint now = kStart;
      double taken = 0;
      std::uint32_t in_flight = 0;
      for (int n = 0; n < 500; ++n) {
        now += Micros(static_cast<std::int64_t>(UniformBelow(random, 20000)));
        const auto refused =
            TakeRequest(*limits, declared, id, fleet, now, random);
        if (refused) {
          RC_ASSERT(refused->code == ResultCode::kOrganisationLimit);
          RC_ASSERT(refused->retry_after > Duration{});
        } else {
          ++taken;
          ++in_flight;
        }
        if (declared.max_in_flight > 0) {
          RC_ASSERT(in_flight <= declared.max_in_flight);
        }
        RC_ASSERT(taken <= burst + rate * ToSeconds(now - kStart) + 1e-6);
        if (in_flight > 0 && UniformBelow(random, 2) == 0) {
          ReleaseRequest(*limits, id);
          --in_flight;
        }
      }
    });
  }

  void KeepsStateOfRecentOrganisationsOnly() {
    const auto limits = MakeOrganisationLimits();
    declarations::Organisation declared;
    declared.requests_per_second = 100;
    Random random(1);
    Section("25,000 organisations, one request each", [&] {
      std::size_t most = 0;
      for (std::uint64_t n = 0; n < 25000; ++n) {
        const TimePoint now = kStart + Millis(static_cast<std::int64_t>(n));
        TakeRequest(*limits, declared, OrganisationId(n), 36, now, random);
        ReleaseRequest(*limits, OrganisationId(n));
        most = std::max(most, TrackedOrganisations(*limits));
      }
      Section("state is kept only for the latest",
              [&] { CPPUNIT_ASSERT(most <= 1024); });
    });
    Section("an organisation without limits has no state", [&] {
      const auto none = MakeOrganisationLimits();
      TakeRequest(*none, {}, OrganisationId(1), 36, kStart, random);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, TrackedOrganisations(*none));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationTest);

}  // namespace
}  // namespace ibisladder::routing
