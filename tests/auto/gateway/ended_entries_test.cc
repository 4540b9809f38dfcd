#include "libs/gateway/ended_entries.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

constexpr TimePoint kNow{Seconds(100)};
constexpr Duration kSoon = Seconds(3);
constexpr Duration kLate = Seconds(11);

ServerEntry MakeServer(const std::string& name, bool is_draining = false,
                       std::int64_t started_ms = 1) {
  ServerEntry entry;
  entry.name = name;
  entry.draining = is_draining;
  entry.started_ms = started_ms;
  return entry;
}

std::map<std::string, ServerEntry> ByName(
    const std::vector<ServerEntry>& entries) {
  std::map<std::string, ServerEntry> result;
  for (const auto& it : entries) result.emplace(it.name, it);
  return result;
}

Member MakeMember(const std::string& name, std::uint64_t incarnation) {
  Member member;
  member.name = name;
  member.incarnation = Incarnation(incarnation);
  return member;
}

/// What is left of a list of the store if `before` became `after` before the
/// store was restored.
std::map<std::string, ServerEntry> Keep(const std::vector<ServerEntry>& before,
                                        const std::vector<ServerEntry>& after,
                                        const std::vector<ServerEntry>& listed,
                                        Duration since_restore = kSoon) {
  EndedEntries ended;
  RecordServerEnds(ended, before, after, kNow);
  BeginDoubt(ended, kNow);
  auto result = ByName(listed);
  KeepServerEnds(ended, ByName(after), result, kNow + since_restore);
  return result;
}

class EndedEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndedEntriesTest);
  CPPUNIT_TEST(ServersThatHaveLeftStayAway);
  CPPUNIT_TEST(ServersThatRunAreKept);
  CPPUNIT_TEST(DoubtEnds);
  CPPUNIT_TEST(InstancesThatHaveLeftStayAway);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against requests to a server that an older copy lists as it was.
  void ServersThatHaveLeftStayAway() {
    const std::vector<ServerEntry> listed = {MakeServer("a")};
    Section("one that drains", [&] {
      const auto kept =
          Keep({MakeServer("a")}, {MakeServer("a", true)}, listed);
      CPPUNIT_ASSERT(kept.at("a").draining);
    });
    Section("one that drained and is gone", [&] {
      CPPUNIT_ASSERT(Keep({MakeServer("a", true)}, {}, listed).empty());
    });
    Section("one that is gone without a word", [&] {
      CPPUNIT_ASSERT(Keep({MakeServer("a")}, {}, listed).empty());
    });
    Section("an earlier start of one that runs", [&] {
      const auto kept =
          Keep({MakeServer("a")}, {MakeServer("a", false, 2)}, listed);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, kept.at("a").started_ms);
    });
  }

  /// Guards against sound servers without requests.
  void ServersThatRunAreKept() {
    Section("one that was listed all the time", [] {
      CPPUNIT_ASSERT_EQUAL(
          std::size_t{1},
          Keep({MakeServer("a")}, {MakeServer("a")}, {MakeServer("a")}).size());
    });
    Section("one that has started under the name of another one", [] {
      CPPUNIT_ASSERT_EQUAL(
          std::size_t{1},
          Keep({MakeServer("a")}, {}, {MakeServer("a", false, 2)}).size());
    });
    EndedEntries ended;
    const std::vector<ServerEntry> both = {MakeServer("a"), MakeServer("b")};
    RecordServerEnds(ended, both, std::vector{MakeServer("b", true)}, kNow);
    BeginDoubt(ended, kNow);
    for (const auto& it : both) RecordWritten(ended, it);
    auto listed = ByName(both);
    KeepServerEnds(ended, {}, listed, kNow + kSoon);
    Section("one whose entry was written since",
            [&] { CPPUNIT_ASSERT(listed.contains("a")); });
    Section("but not one that had said that it leaves",
            [&] { CPPUNIT_ASSERT(!listed.contains("b")); });
  }

  /// Guards against servers that stay away for good, and against lists that are
  /// changed although the store was not restored.
  void DoubtEnds() {
    const std::vector<ServerEntry> listed = {MakeServer("a")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Keep({MakeServer("a")}, {}, listed, kLate).size());
    EndedEntries ended;
    RecordServerEnds(ended, listed, {}, kNow);
    auto unchanged = ByName(listed);
    KeepServerEnds(ended, {}, unchanged, kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unchanged.size());
    BeginDoubt(ended, kNow);
    CPPUNIT_ASSERT(!TakeDoubtEnd(ended, kNow + kSoon));
    CPPUNIT_ASSERT(TakeDoubtEnd(ended, kNow + kLate));
    CPPUNIT_ASSERT(!TakeDoubtEnd(ended, kNow + kLate));
  }

  /// Guards against addresses of instances that have left.
  void InstancesThatHaveLeftStayAway() {
    EndedEntries ended;
    const std::vector<Member> before = {MakeMember("n1", 1),
                                        MakeMember("n2", 1)};
    const std::vector<Member> after = {MakeMember("n2", 2)};
    RecordMemberEnds(ended, before, after, kNow);
    BeginDoubt(ended, kNow);
    std::map<std::string, Member> listed = {{"n1", before[0]},
                                            {"n2", before[1]}};
    KeepMemberEnds(ended, {{"n2", after[0]}}, listed, kNow + kSoon);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listed.size());
    CPPUNIT_ASSERT(listed.at("n2") == after[0]);
    Section("unless they register again", [&] {
      RecordWritten(ended, before[0]);
      listed.emplace("n1", before[0]);
      KeepMemberEnds(ended, {}, listed, kNow + kSoon);
      CPPUNIT_ASSERT(listed.contains("n1"));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndedEntriesTest);

}  // namespace
}  // namespace ibisladder::gateway
