#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "tests/auto/controlplane/fleet.h"
#include "tests/auto/support/story.h"

namespace ibisladder::controlplane {
namespace {

using testing::Section;

void StartAll(Fleet& fleet) {
  for (std::uint32_t i = 0; i < fleet.size(); ++i) fleet.Start(i);
}

bool AllHandOut(Fleet& fleet, std::uint32_t i, bool expected) {
  return fleet.Count([&](Node& it) {
    return it.handed_out.contains(i) == expected;
  }) == fleet.Running();
}

/// Guards against slow or costly membership: starts, failures, planned stops
/// and the loss of an availability zone must be known to the whole fleet in
/// time, for fleets of 8 to 540 instances.
class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(ChangesReachEveryInstanceInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangesReachEveryInstanceInTime() {
    for (const std::uint32_t n : {8U, 40U, 540U}) {
      Section(std::to_string(n) + " instances", [&] { MeasureFleet(n); });
    }
  }

 private:
  static void MeasureFleet(std::uint32_t n) {
    Fleet fleet(n, 4300 + n, n > 100 ? 6 : 3);
    fleet.faults().loss = 0.01;
    StartAll(fleet);
    const auto met = fleet.RunUntil(Seconds(60), [&] {
      return fleet.Count([&](Node& it) { return it.handed_out.size() == n; }) ==
             n;
    });
    const double first =
        static_cast<double>(fleet.datagram_bytes()) / n / ToSeconds(met);
    fleet.Run(Seconds(15));
    const auto bytes = fleet.datagram_bytes();
    const auto calls = fleet.platform_calls();
    fleet.Run(Seconds(10));
    const double rate =
        static_cast<double>(fleet.datagram_bytes() - bytes) / n / 10;
    const double call_rate =
        static_cast<double>(fleet.platform_calls() - calls) / 10;
    std::size_t min_handed_out = n;
    fleet.Count([&](Node& it) {
      min_handed_out = std::min(min_handed_out, it.handed_out.size());
      return true;
    });
    fleet.Kill(1);
    const auto down = fleet.RunUntil(
        Seconds(30), [&] { return AllHandOut(fleet, 1, false); });
    fleet.Start(1);
    const auto up =
        fleet.RunUntil(Seconds(30), [&] { return AllHandOut(fleet, 1, true); });
    fleet.Feed(2, StopRequested{});
    const auto leaving = fleet.RunUntil(
        Seconds(30), [&] { return AllHandOut(fleet, 2, false); });
    const std::uint32_t zones = n > 100 ? 6 : 3;
    const auto before = fleet.datagram_bytes();
    for (std::uint32_t i = 3; i < n; i += zones) fleet.Kill(i);
    const auto zone_down = fleet.RunUntil(Seconds(60), [&] {
      return fleet.Count([&](Node& it) {
        return std::none_of(
            it.handed_out.begin(), it.handed_out.end(),
            [&](auto k) { return k % zones == 3 % zones && k >= 3; });
      }) == fleet.Running();
    });
    const double zone_loss_rate =
        static_cast<double>(fleet.datagram_bytes() - before) /
        static_cast<double>(fleet.Running()) / ToSeconds(zone_down);
    std::cout << "  " << n << " instances: all met in " << ToSeconds(met)
              << " s at " << first << " bytes/s each; up " << ToSeconds(up)
              << " s, down " << ToSeconds(down) << " s, leaving "
              << ToSeconds(leaving) << " s; " << rate
              << " datagram bytes/s each; " << call_rate
              << " platform calls/s of the fleet; at least " << min_handed_out
              << " handed out; a zone's loss is known after "
              << ToSeconds(zone_down) << " s at " << zone_loss_rate
              << " bytes/s each\n";
    CPPUNIT_ASSERT(down < Seconds(8));
    CPPUNIT_ASSERT(up < Seconds(6));
    CPPUNIT_ASSERT(leaving < Seconds(4));
    CPPUNIT_ASSERT(zone_down < Seconds(15));
    CPPUNIT_ASSERT(rate < 3000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace ibisladder::controlplane
