#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "tests/auto/controlplane/fleet.h"
#include "tests/auto/support/story.h"

namespace ibisladder::controlplane {
namespace {

using testing::Section;

constexpr std::uint32_t kInstances = 8;

void StartAll(Fleet& fleet) {
  for (std::uint32_t i = 0; i < fleet.size(); ++i) fleet.Start(i);
}

void CutAllTo(Fleet& fleet, std::uint32_t i) {
  for (std::uint32_t k = 0; k < kInstances; ++k)
    fleet.faults().cuts.insert({k, i});
}

void CutAllFrom(Fleet& fleet, std::uint32_t i) {
  for (std::uint32_t k = 0; k < kInstances; ++k)
    fleet.faults().cuts.insert({i, k});
}

std::size_t CountThatHandOut(Fleet& fleet, std::uint32_t i) {
  return fleet.Count([&](Node& it) { return it.handed_out.contains(i); });
}

bool AllReport(Fleet& fleet, BackendServerId server, bool leaving) {
  return fleet.Count([&](Node& it) {
    return it.leaving_servers.contains(server.value()) == leaving;
  }) == fleet.Running();
}

/// Guards against one-directional or cut links that take healthy instances out
/// of use or go unnoticed, against replayed datagrams, and against reports of
/// leaving servers that do not spread or never expire.
class LinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinksTest);
  CPPUNIT_TEST(OneDirectionalCutsAreDetected);
  CPPUNIT_TEST(ReplayedDatagramsAreDropped);
  CPPUNIT_TEST(ZonesRecoverAfterAPartition);
  CPPUNIT_TEST(LeavingServersSpreadAndExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneDirectionalCutsAreDetected() {
    Section("between two instances: both detect it and both stay in use", [] {
      Fleet fleet(kInstances, 4401);
      StartAll(fleet);
      fleet.Run(Seconds(10));
      fleet.faults().cuts = {{1, 2}};
      const auto seen = fleet.RunUntil(Seconds(40), [&] {
        return fleet.StateSeen(1, 2) == "one-way" &&
               fleet.StateSeen(2, 1) == "one-way";
      });
      std::cout
          << "  a cut between two instances is detected at both ends after "
          << ToSeconds(seen) << " s\n";
      CPPUNIT_ASSERT(seen < Seconds(20));
      CPPUNIT_ASSERT_EQUAL(std::string("up"), fleet.StateSeen(3, 1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{kInstances}, CountThatHandOut(fleet, 1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{kInstances}, CountThatHandOut(fleet, 2));
      fleet.faults().cuts.clear();
      const auto mended = fleet.RunUntil(Seconds(40), [&] {
        return fleet.StateSeen(1, 2) == "up" && fleet.StateSeen(2, 1) == "up";
      });
      CPPUNIT_ASSERT(mended < Seconds(20));
    });
    Section("towards one instance: it is not handed out, the others are", [] {
      Fleet fleet(kInstances, 4402);
      StartAll(fleet);
      fleet.Run(Seconds(10));
      CutAllTo(fleet, 3);
      const auto seen = fleet.RunUntil(Seconds(20), [&] {
        return CountThatHandOut(fleet, 3) == 1 &&
               CountThatHandOut(fleet, 4) == 7;
      });
      std::cout
          << "  an instance that receives nothing is not handed out after "
          << ToSeconds(seen) << " s\n";
      CPPUNIT_ASSERT(seen < Seconds(6));
      fleet.Run(Seconds(20));
      // It receives nothing, but does not get the others marked down.
      for (std::uint32_t i = 0; i < kInstances; ++i) {
        if (i != 3)
          CPPUNIT_ASSERT_EQUAL(std::size_t{7}, CountThatHandOut(fleet, i));
      }
    });
    Section(
        "away from one instance: it is not handed out until the cut ends", [] {
          Fleet fleet(kInstances, 4403);
          StartAll(fleet);
          fleet.Run(Seconds(10));
          CutAllFrom(fleet, 3);
          const auto seen = fleet.RunUntil(
              Seconds(20), [&] { return CountThatHandOut(fleet, 3) == 1; });
          CPPUNIT_ASSERT(seen < Seconds(6));
          fleet.faults().cuts.clear();
          const auto back = fleet.RunUntil(Seconds(20), [&] {
            return CountThatHandOut(fleet, 3) == kInstances;
          });
          std::cout
              << "  an instance that nobody receives is not handed out after "
              << ToSeconds(seen) << " s, and again after " << ToSeconds(back)
              << " s\n";
          CPPUNIT_ASSERT(back < Seconds(8));
        });
  }

  void ReplayedDatagramsAreDropped() {
    Fleet fleet(kInstances, 4404);
    StartAll(fleet);
    fleet.faults().duplicate = 1;
    fleet.Run(Seconds(10));
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0;
    fleet.Count([&](Node& it) {
      const auto counters = StatusOf(*it.plane, fleet.now()).counters;
      sent += counters.datagrams_sent;
      accepted += counters.datagrams_received - counters.datagrams_dropped;
      return true;
    });
    // No datagram is accepted twice. A few originals that arrive out of order
    // are dropped as well.
    CPPUNIT_ASSERT(fleet.faults().duplicated > 100);
    CPPUNIT_ASSERT(accepted <= sent);
    CPPUNIT_ASSERT(accepted * 100 >= sent * 98);
    Section("malformed datagrams are counted, and logged at a limited rate",
            [&] {
              const auto before = fleet.logs().size();
              for (int i = 0; i < 1000; ++i) {
                fleet.Feed(0, DatagramReceived{{"10.9.9.9", 1}, "garbage"});
              }
              const auto& counters =
                  StatusOf(*fleet.node(0).plane, fleet.now()).counters;
              CPPUNIT_ASSERT(counters.datagrams_dropped >= 1000);
              CPPUNIT_ASSERT(fleet.logs().size() <= before + 2);
            });
  }

  void ZonesRecoverAfterAPartition() {
    constexpr std::uint32_t kMany = 24;
    Fleet fleet(kMany, 4405);
    StartAll(fleet);
    fleet.Run(Seconds(10));
    for (std::uint32_t a = 0; a < kMany; ++a) {
      for (std::uint32_t b = 0; b < kMany; ++b) {
        if ((a % 3 == 0) != (b % 3 == 0)) fleet.faults().cuts.insert({a, b});
      }
    }
    const auto parted = fleet.RunUntil(Seconds(60), [&] {
      return fleet.Count([](Node& it) {
        return it.handed_out.size() == kMany / 3 ||
               it.handed_out.size() == kMany * 2 / 3;
      }) == kMany;
    });
    fleet.Run(Seconds(60));
    fleet.faults().cuts.clear();
    const auto healed = fleet.RunUntil(Seconds(60), [&] {
      return fleet.Count([](Node& it) {
        return it.handed_out.size() == kMany;
      }) == kMany;
    });
    std::cout << "  a cut-off zone is detected after " << ToSeconds(parted)
              << " s, its return after " << ToSeconds(healed) << " s\n";
    CPPUNIT_ASSERT(parted < Seconds(20));
    CPPUNIT_ASSERT(healed < Seconds(20));
  }

  void LeavingServersSpreadAndExpire() {
    constexpr std::uint32_t kMany = 40;
    Fleet fleet(kMany, 4406);
    StartAll(fleet);
    fleet.Run(Seconds(20));
    const auto listed = MakeBackendServerId("billing", "b1");
    const auto drained = MakeBackendServerId("billing", "b2");
    fleet.listed_servers() = {{"billing", "b1", true}};
    const auto by_list = fleet.RunUntil(
        Seconds(30), [&] { return AllReport(fleet, listed, true); });
    fleet.Feed(5, ServerUpdateReady{{}, {drained}});
    const auto by_drain = fleet.RunUntil(
        Seconds(30), [&] { return AllReport(fleet, drained, true); });
    fleet.Run(Seconds(60));
    CPPUNIT_ASSERT(AllReport(fleet, listed, true));
    CPPUNIT_ASSERT(AllReport(fleet, drained, false));
    fleet.listed_servers() = {{"billing", "b1", false}};
    const auto back = fleet.RunUntil(
        Seconds(60), [&] { return AllReport(fleet, listed, false); });
    std::cout << "  a leaving server is known everywhere after "
              << ToSeconds(by_list) << " s by the list, " << ToSeconds(by_drain)
              << " s by a drain answer; used again " << ToSeconds(back)
              << " s after the list says live\n";
    CPPUNIT_ASSERT(by_list < Seconds(10));
    CPPUNIT_ASSERT(by_drain < Seconds(4));
    CPPUNIT_ASSERT(back < Seconds(40));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinksTest);

}  // namespace
}  // namespace ibisladder::controlplane
