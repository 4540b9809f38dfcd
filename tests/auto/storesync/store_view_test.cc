#include "libs/storesync/store_view.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::storesync {
namespace {

using ibisladder::testing::Section;

constexpr CallFailed kNoReply{CallFailed::Reason::kNoReply};

struct Reader {
  StoreView view;
  Random random{1};
  TimePoint now{Seconds(100)};

  /// Takes the due call and handles `reply` to it.
  bool Reply(const storesync::Reply& reply) {
    const auto call = NextCall(view, now);
    CPPUNIT_ASSERT(call.has_value());
    return HandleReply(view, reply, now, random);
  }
  bool IsListing() { return view.is_listing; }
};

Item MakeItem(const std::string& key, std::uint64_t revision) {
  return {key, "v", Revision(revision)};
}

RangeReply Page(std::vector<Item> items, std::uint64_t revision,
                bool has_more = false) {
  return {std::move(items), has_more, Revision(revision)};
}

Reader MakeReader() {
  Reader reader{MakeStoreView({.prefix = "p/"})};
  reader.Reply(Page({MakeItem("p/a", 1), MakeItem("p/b", 2)}, 5));
  return reader;
}

class StoreViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreViewTest);
  CPPUNIT_TEST(ListsAreReadInPages);
  CPPUNIT_TEST(ChangesAreApplied);
  CPPUNIT_TEST(LostHistoryIsReplacedByAList);
  CPPUNIT_TEST(ForgottenRevisionsDoNotHideALowerOne);
  CPPUNIT_TEST(LapsedKeysAreKeptForAGraceTime);
  CPPUNIT_TEST(CallsWaitForABackoffOnlyAfterFailures);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ListsAreReadInPages() {
    Reader reader{MakeStoreView({.prefix = "p/"})};
    CPPUNIT_ASSERT(!reader.Reply(Page({MakeItem("p/a", 1)}, 5, true)));
    Section("next page starts after the last key", [&] {
      const auto call = NextCall(reader.view, reader.now);
      CPPUNIT_ASSERT_EQUAL(std::string("p/a"),
                           std::get<RangeCall>(*call).after_key);
      CPPUNIT_ASSERT(HandleReply(reader.view, Page({MakeItem("p/b", 7)}, 8),
                                 reader.now, reader.random));
    });
    Section("changes are watched from the revision of the first page", [&] {
      const auto call = NextCall(reader.view, reader.now);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                           std::get<WatchCall>(*call).after.value());
    });
  }

  void ChangesAreApplied() {
    Reader reader = MakeReader();
    Section("removed key is dropped immediately", [&] {
      CPPUNIT_ASSERT(reader.Reply(
          WatchReply{{{"p/a", std::nullopt, Revision(6)}}, Revision(6)}));
      CPPUNIT_ASSERT(!reader.view.items.contains("p/a"));
    });
    Section("change that is older than the known item is ignored", [&] {
      CPPUNIT_ASSERT(!reader.Reply(
          WatchReply{{{"p/b", "old", Revision(1)}}, Revision(7)}));
      CPPUNIT_ASSERT_EQUAL(std::string("v"), reader.view.items.at("p/b").value);
    });
  }

  void LostHistoryIsReplacedByAList() {
    Reader reader = MakeReader();
    reader.Reply(HistoryLost{});
    CPPUNIT_ASSERT(reader.IsListing());
    Section("keys missing from the new list are removed", [&] {
      CPPUNIT_ASSERT(reader.Reply(Page({MakeItem("p/b", 2)}, 9)));
      CPPUNIT_ASSERT(!reader.view.items.contains("p/a"));
    });
  }

  /// Guards against a copy that ignores all changes after the store has begun
  /// to count its revisions anew.
  void ForgottenRevisionsDoNotHideALowerOne() {
    Reader reader = MakeReader();
    reader.Reply(WatchReply{{{"p/a", "v", Revision(90)}}, Revision(90)});
    ForgetRevisions(reader.view);
    Relist(reader.view, reader.now);
    Section("the list replaces items with higher revisions", [&] {
      CPPUNIT_ASSERT(reader.Reply(
          Page({{"p/a", "old", Revision(3)}, MakeItem("p/b", 2)}, 7)));
      CPPUNIT_ASSERT_EQUAL(std::string("old"),
                           reader.view.items.at("p/a").value);
    });
    Section("changes are watched from its revision", [&] {
      reader.Reply(WatchReply{{{"p/a", "new", Revision(8)}}, Revision(8)});
      CPPUNIT_ASSERT_EQUAL(std::string("new"),
                           reader.view.items.at("p/a").value);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, reader.view.revision.value());
    });
    Section("a list that was being read is started again", [&] {
      Relist(reader.view, reader.now);
      reader.Reply(Page({MakeItem("p/x", 8)}, 8, true));
      ForgetRevisions(reader.view);
      reader.Reply(Page({MakeItem("p/b", 2)}, 4));
      CPPUNIT_ASSERT(!reader.view.items.contains("p/x"));
    });
  }

  void LapsedKeysAreKeptForAGraceTime() {
    Reader reader = MakeReader();
    for (int i = 0; i < 4; ++i) {
      reader.Reply(kNoReply);
      reader.now += Seconds(2);
    }
    Section("key missing after an outage is kept", [&] {
      reader.Reply(HistoryLost{});
      reader.Reply(Page({MakeItem("p/b", 2)}, 9));
      CPPUNIT_ASSERT(reader.view.items.contains("p/a"));
    });
    Section("copy is not current meanwhile", [&] {
      CPPUNIT_ASSERT(!IsCurrent(reader.view, reader.now, Seconds(9)));
    });
    Section("key that is registered again is kept", [&] {
      Reader other = reader;
      other.Reply(WatchReply{{{"p/a", "v", Revision(10)}}, Revision(10)});
      other.now += Seconds(3);
      CPPUNIT_ASSERT(!RemoveLapsedKeys(other.view, other.now));
    });
    Section("key is removed if the grace time was ended", [&] {
      Reader other = reader;
      EndLapseGrace(other.view);
      Relist(other.view, other.now);
      other.Reply(Page({MakeItem("p/b", 2)}, 9));
      CPPUNIT_ASSERT(!other.view.items.contains("p/a"));
    });
    Section("key that is not registered again is removed after two seconds",
            [&] {
              reader.now += Seconds(2);
              CPPUNIT_ASSERT(RemoveLapsedKeys(reader.view, reader.now));
              CPPUNIT_ASSERT(!reader.view.items.contains("p/a"));
              CPPUNIT_ASSERT(IsCurrent(reader.view, reader.now, Seconds(9)));
            });
  }

  void CallsWaitForABackoffOnlyAfterFailures() {
    Reader reader = MakeReader();
    Section("next call is due immediately after the end of an outage", [] {
      Reader other = MakeReader();
      other.Reply(kNoReply);
      EndOutage(other.view, other.now);
      CPPUNIT_ASSERT(NextCall(other.view, other.now));
    });
    Section("pause before a list does not count as an outage", [] {
      Reader other = MakeReader();
      other.now += Seconds(60);
      Relist(other.view, other.now);
      other.Reply(Page({MakeItem("p/b", 2)}, 9));
      CPPUNIT_ASSERT(!other.view.items.contains("p/a"));
    });
    Section("no call immediately after a failure", [&] {
      reader.Reply(kNoReply);
      CPPUNIT_ASSERT(!NextCall(reader.view, reader.now));
    });
    Section("call is repeated within 1.5 seconds", [&] {
      reader.now += Millis(1500);
      CPPUNIT_ASSERT(NextCall(reader.view, reader.now));
    });
    Section("new list does not wait for the open call's reply", [&] {
      Relist(reader.view, reader.now);
      CPPUNIT_ASSERT(NextCall(reader.view, reader.now));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreViewTest);

}  // namespace
}  // namespace ibisladder::storesync
