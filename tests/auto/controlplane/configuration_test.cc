#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "tests/auto/controlplane/fleet.h"
#include "tests/auto/support/story.h"

namespace ibisladder::controlplane {
namespace {

using testing::Section;

declarations::Declarations Content(int n) {
  auto items = MakeDeclarations(3, 4, 20, 20);
  items.organisations[0].max_in_flight = static_cast<std::uint32_t>(n);
  return items;
}

void StartAll(Fleet& fleet) {
  for (std::uint32_t i = 0; i < fleet.size(); ++i) fleet.Start(i);
}

bool InForce(Fleet& fleet, std::uint64_t version) {
  return fleet.Count([&](Node& it) {
    return !it.installed.empty() && it.installed.back().value() == version;
  }) == fleet.Running();
}

void CheckReply(const OperatorReply& reply, ResultCode code) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.message, static_cast<int>(code),
                               static_cast<int>(reply.code));
}

/// Guards against configuration changes that are lost, accepted twice or
/// reverted when operators, lost replies and outages of the platform meet, and
/// against too many platform calls after an outage.
class ConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(ChangesAreInForceEverywhere);
  CPPUNIT_TEST(OneOfTwoOperatorsWins);
  CPPUNIT_TEST(LostRepliesAreResolved);
  CPPUNIT_TEST(OutagesChangeNothing);
  CPPUNIT_TEST(InstancesStartDuringAnOutage);
  CPPUNIT_TEST(RestoredStoresDoNotRevert);
  CPPUNIT_TEST(AcceptedChangesAreNotReportedAsConflicts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangesAreInForceEverywhere() {
    for (const std::uint32_t n : {8U, 40U, 540U}) {
      Section(std::to_string(n) + " instances", [&] { Measure(n); });
    }
    Section("even if the writer stops right after the write", [] {
      Fleet fleet(12, 4501);
      StartAll(fleet);
      fleet.Run(Seconds(10));
      fleet.Apply(2, "a", ConfigVersion(), Content(1));
      fleet.RunUntil(Seconds(5),
                     [&] { return !fleet.store().heads().empty(); });
      fleet.Kill(2);
      const auto took =
          fleet.RunUntil(Seconds(20), [&] { return InForce(fleet, 1); });
      CPPUNIT_ASSERT(took < Seconds(6));
    });
  }

  void OneOfTwoOperatorsWins() {
    Fleet fleet(8, 4502);
    StartAll(fleet);
    fleet.Run(Seconds(5));
    fleet.Apply(0, "a", ConfigVersion(), Content(1));
    fleet.Apply(5, "b", ConfigVersion(), Content(2));
    fleet.Run(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.operator_replies().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.store().heads().size());
    CheckReply(fleet.operator_replies()[0], ResultCode::kDone);
    CheckReply(fleet.operator_replies()[1], ResultCode::kConflict);
    const auto& message = fleet.operator_replies()[1].message;
    CPPUNIT_ASSERT(message.find("version 0") != std::string::npos);
    CPPUNIT_ASSERT(message.find("version 1") != std::string::npos);
    Section("a repeat of the winner's change is recognised", [&] {
      fleet.Apply(3, "a", ConfigVersion(), Content(1));
      fleet.Run(Seconds(2));
      CheckReply(fleet.operator_replies()[2], ResultCode::kDone);
      CPPUNIT_ASSERT(fleet.operator_replies()[2].version == ConfigVersion(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.store().heads().size());
    });
  }

  void LostRepliesAreResolved() {
    Fleet fleet(8, 4503);
    StartAll(fleet);
    fleet.Run(Seconds(5));
    fleet.faults().lost_reply = 1;
    fleet.Apply(0, "a", ConfigVersion(), MakeDeclarations(0, 0, 0, 0));
    fleet.Run(Seconds(8));
    CPPUNIT_ASSERT(fleet.faults().lost_replies > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.operator_replies().size());
    CheckReply(fleet.operator_replies()[0], ResultCode::kDone);
    Section("the outcome is unknown while the store cannot be read", [&] {
      fleet.Apply(0, "b", ConfigVersion(1), MakeDeclarations(0, 0, 0, 0));
      fleet.RunUntil(Seconds(5),
                     [&] { return fleet.store().heads().size() == 2; });
      fleet.faults().store_down = true;
      fleet.Run(Seconds(20));
      CheckReply(fleet.operator_replies()[1], ResultCode::kWriteUnknown);
    });
  }

  void OutagesChangeNothing() {
    constexpr std::uint32_t kMany = 540;
    Fleet fleet(kMany, 4504, 6);
    StartAll(fleet);
    fleet.Run(Seconds(15));
    const auto store_up = fleet.Count(
        [&](Node& it) { return StatusOf(*it.plane, fleet.now()).store_up; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMany}, store_up);
    fleet.Apply(0, "a", ConfigVersion(), Content(1));
    fleet.Run(Seconds(8));
    CPPUNIT_ASSERT(InForce(fleet, 1));
    fleet.faults().store_down = true;
    fleet.faults().list_down = true;
    fleet.Run(Seconds(15));
    auto calls = fleet.platform_calls();
    fleet.Apply(7, "b", ConfigVersion(1), Content(2));
    fleet.Run(Seconds(10));
    const double during =
        static_cast<double>(fleet.platform_calls() - calls) / 10;
    CheckReply(fleet.operator_replies().back(), ResultCode::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.store().heads().size());
    fleet.faults().store_down = false;
    fleet.faults().list_down = false;
    std::uint64_t max_calls = 0;
    for (int i = 0; i < 5; ++i) {
      calls = fleet.platform_calls();
      fleet.Run(Seconds(1));
      max_calls = std::max(max_calls, fleet.platform_calls() - calls);
    }
    std::cout << "  " << kMany << " instances in an outage: " << during
              << " platform calls/s; at its end at most " << max_calls
              << " in a second\n";
    CPPUNIT_ASSERT(max_calls < 60);
    CPPUNIT_ASSERT_EQUAL(0, fleet.regressions());
  }

  void InstancesStartDuringAnOutage() {
    Fleet fleet(8, 4505);
    for (std::uint32_t i = 0; i < 7; ++i) fleet.Start(i);
    fleet.Run(Seconds(5));
    fleet.Apply(0, "a", ConfigVersion(), Content(1));
    fleet.Run(Seconds(5));
    fleet.faults().store_down = true;
    fleet.faults().list_down = true;
    Section("with peers: the configuration comes from them", [&] {
      fleet.Start(7);
      const auto took =
          fleet.RunUntil(Seconds(20), [&] { return InForce(fleet, 1); });
      std::cout << "  an instance started in an outage is ready after "
                << ToSeconds(took) << " s\n";
      CPPUNIT_ASSERT(took < Seconds(6));
      CPPUNIT_ASSERT(!StatusOf(*fleet.node(7).plane, fleet.now()).store_up);
    });
    Section("without peers: not ready until the store is back", [&] {
      for (std::uint32_t i = 0; i < 8; ++i) fleet.Kill(i);
      fleet.Start(3);
      fleet.Run(Seconds(20));
      CPPUNIT_ASSERT(fleet.node(3).installed.empty());
      fleet.faults().store_down = false;
      const auto took =
          fleet.RunUntil(Seconds(20), [&] { return InForce(fleet, 1); });
      CPPUNIT_ASSERT(took < Seconds(6));
    });
  }

  void RestoredStoresDoNotRevert() {
    Fleet fleet(8, 4506);
    StartAll(fleet);
    fleet.Run(Seconds(5));
    fleet.Apply(0, "a", ConfigVersion(), Content(1));
    fleet.Run(Seconds(3));
    const FakeStore backup = fleet.store();
    fleet.Apply(0, "b", ConfigVersion(1), Content(2));
    fleet.Run(Seconds(5));
    fleet.store().Restore(backup);
    fleet.Run(Seconds(40));
    CPPUNIT_ASSERT(InForce(fleet, 2));
    Section("a restarted instance fetches the fleet's version", [&] {
      fleet.Kill(4);
      fleet.Start(4);
      fleet.Run(Seconds(10));
      CPPUNIT_ASSERT(InForce(fleet, 2));
    });
    Section("the next change repairs the store", [&] {
      fleet.Apply(1, "c", ConfigVersion(2), Content(3));
      fleet.Run(Seconds(6));
      CheckReply(fleet.operator_replies().back(), ResultCode::kDone);
      CPPUNIT_ASSERT(InForce(fleet, 3));
      CPPUNIT_ASSERT(fleet.store().HeadIsComplete());
      CPPUNIT_ASSERT_EQUAL(0, fleet.store().incomplete_heads());
      CPPUNIT_ASSERT_EQUAL(0, fleet.regressions());
    });
  }

  /// Guards against "not accepted" for an accepted change: an instance hears of
  /// the version that the change created before it can see who created it, and
  /// the store's head that it reads is older.
  void AcceptedChangesAreNotReportedAsConflicts() {
    Fleet fleet(8, 4507);
    StartAll(fleet);
    fleet.Run(Seconds(5));
    fleet.Apply(0, "a", ConfigVersion(), Content(1));
    fleet.Run(Seconds(3));
    const FakeStore older = fleet.store();
    fleet.Kill(5);
    fleet.Apply(0, "b", ConfigVersion(1), Content(2));
    fleet.Run(Seconds(5));
    CheckReply(fleet.operator_replies().back(), ResultCode::kDone);
    fleet.store().Restore(older);
    // Heartbeats reach instance 5; its fetches get no reply.
    for (std::uint32_t i = 0; i < fleet.size(); ++i) {
      if (i != 5) fleet.faults().cuts.insert({5, i});
    }
    fleet.Start(5);
    fleet.Run(Seconds(5));
    CPPUNIT_ASSERT(fleet.version(5) < ConfigVersion(2));
    Section("a repeat at an instance that can't tell is no conflict", [&] {
      fleet.Apply(5, "b", ConfigVersion(1), Content(2));
      fleet.Run(Seconds(8));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.operator_replies().size());
      CheckReply(fleet.operator_replies().back(), ResultCode::kUnavailable);
    });
    Section("a repeat after the instance has caught up is recognised", [&] {
      fleet.faults().cuts.clear();
      fleet.Run(Seconds(10));
      fleet.Apply(5, "b", ConfigVersion(1), Content(2));
      fleet.Run(Seconds(8));
      CheckReply(fleet.operator_replies().back(), ResultCode::kDone);
      CPPUNIT_ASSERT(fleet.operator_replies().back().version ==
                     ConfigVersion(2));
    });
    Section("another change on the old version is a conflict", [&] {
      fleet.Apply(5, "c", ConfigVersion(1), Content(3));
      fleet.Run(Seconds(8));
      CheckReply(fleet.operator_replies().back(), ResultCode::kConflict);
    });
  }

 private:
  static void Measure(std::uint32_t n) {
    Fleet fleet(n, 4500 + n, n > 100 ? 6 : 3);
    StartAll(fleet);
    fleet.Run(Seconds(n > 100 ? 18 : 10));
    fleet.faults().loss = 0.05;
    const auto bytes = fleet.fetched_bytes();
    const auto calls = fleet.platform_calls();
    fleet.Apply(1, "a", ConfigVersion(), Content(1));
    const auto took =
        fleet.RunUntil(Seconds(20), [&] { return InForce(fleet, 1); });
    std::cout << "  " << n << " instances: in force everywhere after "
              << ToSeconds(took) << " s, "
              << (fleet.fetched_bytes() - bytes) / n
              << " bytes fetched from peers each, "
              << fleet.platform_calls() - calls << " platform calls\n";
    CPPUNIT_ASSERT(took < Seconds(6));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

}  // namespace
}  // namespace ibisladder::controlplane
