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

  /// Makes the call that is due and gives it a reply.
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
  CPPUNIT_TEST(ListsAreReadPageByPage);
  CPPUNIT_TEST(ChangesAreFollowed);
  CPPUNIT_TEST(LostHistoryIsMadeUpByAList);
  CPPUNIT_TEST(LapsedKeysHaveTimeToComeBack);
  CPPUNIT_TEST(FailuresAreSpaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ListsAreReadPageByPage() {
    Reader reader{MakeStoreView({.prefix = "p/"})};
    CPPUNIT_ASSERT(!reader.Reply(Page({MakeItem("p/a", 1)}, 5, true)));
    Section("the next page follows the last key", [&] {
      const auto call = NextCall(reader.view, reader.now);
      CPPUNIT_ASSERT_EQUAL(std::string("p/a"),
                           std::get<RangeCall>(*call).after_key);
      CPPUNIT_ASSERT(HandleReply(reader.view, Page({MakeItem("p/b", 7)}, 8),
                                 reader.now, reader.random));
    });
    Section("changes are read from the revision of the first page on", [&] {
      const auto call = NextCall(reader.view, reader.now);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                           std::get<WatchCall>(*call).after.value());
    });
  }

  void ChangesAreFollowed() {
    Reader reader = MakeReader();
    Section("a removed key is gone at once", [&] {
      CPPUNIT_ASSERT(reader.Reply(
          WatchReply{{{"p/a", std::nullopt, Revision(6)}}, Revision(6)}));
      CPPUNIT_ASSERT(!reader.view.items.contains("p/a"));
    });
    Section("an older change than what is known counts for nothing", [&] {
      CPPUNIT_ASSERT(!reader.Reply(
          WatchReply{{{"p/b", "old", Revision(1)}}, Revision(7)}));
      CPPUNIT_ASSERT_EQUAL(std::string("v"), reader.view.items.at("p/b").value);
    });
  }

  void LostHistoryIsMadeUpByAList() {
    Reader reader = MakeReader();
    reader.Reply(HistoryLost{});
    CPPUNIT_ASSERT(reader.IsListing());
    Section("what it lacks has left", [&] {
      CPPUNIT_ASSERT(reader.Reply(Page({MakeItem("p/b", 2)}, 9)));
      CPPUNIT_ASSERT(!reader.view.items.contains("p/a"));
    });
  }

  void LapsedKeysHaveTimeToComeBack() {
    Reader reader = MakeReader();
    for (int i = 0; i < 4; ++i) {
      reader.Reply(kNoReply);
      reader.now += Seconds(2);
    }
    Section("after an outage a missing key stays", [&] {
      reader.Reply(HistoryLost{});
      reader.Reply(Page({MakeItem("p/b", 2)}, 9));
      CPPUNIT_ASSERT(reader.view.items.contains("p/a"));
    });
    Section("and the copy is not told on as the store's word", [&] {
      CPPUNIT_ASSERT(!IsCurrent(reader.view, reader.now, Seconds(9)));
    });
    Section("one that comes back is kept", [&] {
      Reader other = reader;
      other.Reply(WatchReply{{{"p/a", "v", Revision(10)}}, Revision(10)});
      other.now += Seconds(3);
      CPPUNIT_ASSERT(!RemoveLapsedKeys(other.view, other.now));
    });
    Section("unless another instance has followed the store meanwhile", [&] {
      Reader other = reader;
      EndLapseGrace(other.view);
      Relist(other.view, other.now);
      other.Reply(Page({MakeItem("p/b", 2)}, 9));
      CPPUNIT_ASSERT(!other.view.items.contains("p/a"));
    });
    Section("one that does not is gone after two seconds", [&] {
      reader.now += Seconds(2);
      CPPUNIT_ASSERT(RemoveLapsedKeys(reader.view, reader.now));
      CPPUNIT_ASSERT(!reader.view.items.contains("p/a"));
      CPPUNIT_ASSERT(IsCurrent(reader.view, reader.now, Seconds(9)));
    });
  }

  void FailuresAreSpaced() {
    Reader reader = MakeReader();
    Section("a return that another call has shown is followed at once", [] {
      Reader other = MakeReader();
      other.Reply(kNoReply);
      EndOutage(other.view, other.now);
      CPPUNIT_ASSERT(NextCall(other.view, other.now));
    });
    Section("a list that is read after a pause follows no outage", [] {
      Reader other = MakeReader();
      other.now += Seconds(60);
      Relist(other.view, other.now);
      other.Reply(Page({MakeItem("p/b", 2)}, 9));
      CPPUNIT_ASSERT(!other.view.items.contains("p/a"));
    });
    Section("no call follows a failure at once", [&] {
      reader.Reply(kNoReply);
      CPPUNIT_ASSERT(!NextCall(reader.view, reader.now));
    });
    Section("nor later than one and a half seconds", [&] {
      reader.now += Millis(1500);
      CPPUNIT_ASSERT(NextCall(reader.view, reader.now));
    });
    Section("a reply that is given up is not waited for", [&] {
      Relist(reader.view, reader.now);
      CPPUNIT_ASSERT(NextCall(reader.view, reader.now));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreViewTest);

}  // namespace
}  // namespace ibisladder::storesync
