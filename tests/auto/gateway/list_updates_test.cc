#include "libs/gateway/list_updates.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/auto/gateway/forwarder_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

const TimePoint kStart{Seconds(100)};

SharedLists MakeLists(int members) {
  SharedLists lists;
  for (int i = 0; i < members; ++i) {
    Member member;
    member.name = "m" + std::to_string(i);
    member.zone = ZoneName("a");
    lists.members.emplace(member.name, member);
  }
  lists.servers.emplace("s1", MakeServer("s1", "s"));
  return lists;
}

WatchDuty DutyOf(const std::string& name) {
  return {name, ZoneName("a"), kStart, {}};
}

/// Returns the names of the members that must watch at `now`, given when the
/// last update of each sender arrived.
std::vector<std::string> Watchers(
    const SharedLists& lists, TimePoint now,
    const std::map<std::string, TimePoint>& last_updates) {
  std::vector<std::string> result;
  for (const auto& [name, member] : lists.members) {
    WatchDuty duty = DutyOf(name);
    for (const auto& [sender, time] : last_updates) {
      if (sender != name) RecordUpdate(duty, sender, time);
    }
    if (MustWatch(duty, lists, now)) result.push_back(name);
  }
  return result;
}

class ListUpdatesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListUpdatesTest);
  CPPUNIT_TEST(OthersWatchOnlyWithoutUpdates);
  CPPUNIT_TEST(NextInstanceTakesOverFromASilentOne);
  CPPUNIT_TEST(UpdatesContainChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OthersWatchOnlyWithoutUpdates() {
    const SharedLists lists = MakeLists(8);
    const TimePoint now = kStart + Seconds(5);
    const auto first = Watchers(lists, kStart + Millis(1500), {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
    Section("one watcher while its updates arrive", [&] {
      const auto later = Watchers(lists, now, {{first[0], now - Millis(300)}});
      CPPUNIT_ASSERT(later == first);
    });
    Section("all watch while nobody sends updates", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Watchers(lists, now, {}).size());
    });
  }

  void NextInstanceTakesOverFromASilentOne() {
    const SharedLists lists = MakeLists(8);
    const auto first = Watchers(lists, kStart + Millis(1500), {});
    const TimePoint silent = kStart + Seconds(5);
    const auto next =
        Watchers(lists, silent + Millis(750), {{first[0], silent}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, next.size());
    CPPUNIT_ASSERT(std::ranges::find(next, first[0]) != next.end());
  }

  void UpdatesContainChanges() {
    SharedLists sender = MakeLists(3);
    SharedLists receiver = sender;
    UpdateLog log;
    MakeUpdate(log, sender, kStart);
    Section("draining server", [&] {
      sender.servers.at("s1").draining = true;
      CPPUNIT_ASSERT(IsUpdateDue(log, sender, kStart));
      CPPUNIT_ASSERT(ApplyUpdate(receiver, MakeUpdate(log, sender, kStart)));
      CPPUNIT_ASSERT(receiver.servers.at("s1").draining);
    });
    Section("removed server, after the first datagram was lost", [&] {
      sender.servers.erase("s1");
      MakeUpdate(log, sender, kStart + Millis(100));
      CPPUNIT_ASSERT(
          ApplyUpdate(receiver, MakeUpdate(log, sender, kStart + Millis(400))));
      CPPUNIT_ASSERT(receiver.servers.empty());
    });
    Section("hash reveals a change missed for longer than it is repeated", [&] {
      sender.servers.emplace("s2", MakeServer("s2", "s"));
      MakeUpdate(log, sender, kStart + Seconds(2));
      CPPUNIT_ASSERT(
          !ApplyUpdate(receiver, MakeUpdate(log, sender, kStart + Seconds(5))));
    });
    Section("new sender does not announce entries that have left", [&] {
      SharedLists absent = sender;
      absent.servers.emplace("gone", MakeServer("gone", "s"));
      UpdateLog late = StartUpdateLog({}, absent);
      ApplyUpdate(receiver, MakeUpdate(late, absent, kStart + Seconds(5)));
      CPPUNIT_ASSERT(!receiver.servers.contains("gone"));
    });
    Section("new sender announces what ended since it last heard of it", [&] {
      SharedLists now = sender;
      now.servers.emplace("s3", MakeServer("s3", "s"));
      now.servers.emplace("s4", MakeServer("s4", "s"));
      const SharedLists known = now;
      now.servers.at("s3").draining = true;
      now.servers.erase("s4");
      SharedLists other = known;
      UpdateLog late = StartUpdateLog(known, now);
      CPPUNIT_ASSERT(
          ApplyUpdate(other, MakeUpdate(late, now, kStart + Seconds(5))));
      CPPUNIT_ASSERT(other.servers.at("s3").draining);
      CPPUNIT_ASSERT(!other.servers.contains("s4"));
    });
    Section("decreasing warm-up time is not a change", [&] {
      sender.servers.at("s2").warm_up_left = Seconds(1);
      CPPUNIT_ASSERT(!IsUpdateDue(log, sender, kStart + Seconds(5)));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListUpdatesTest);

}  // namespace
}  // namespace ibisladder::gateway
