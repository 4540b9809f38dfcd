#include "platform/store_client.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/platform/store_standin.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::platform {
namespace {

using ibisladder::testing::Section;
using storesync::CallFailed;

const ibisladder::testing::PortRange kPorts;

struct Session {
  std::unique_ptr<net::EventLoop> loop = std::move(*net::EventLoop::Create());
  Endpoint endpoint{"127.0.0.1", kPorts.At(1)};
  StoreStandin store{*loop, endpoint};
  StoreClient client{*loop, endpoint};
  std::uint64_t last_call = 0;
  /// Of the last reply.
  std::optional<storesync::StoreEra> era;

  storesync::Reply SendAndWait(const storesync::Call& call) {
    std::optional<storesync::Reply> reply;
    const sigc::connection connection = client.signal_reply().connect(
        [&](std::uint64_t, const storesync::Reply& it,
            std::optional<storesync::StoreEra> store_era) {
          reply = it;
          era = store_era;
          loop->Stop();
        });
    client.Send(++last_call, call);
    loop->Run();
    sigc::connection(connection).disconnect();
    return *reply;
  }
};

class StoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(CallsAndRepliesAreConverted);
  CPPUNIT_TEST(FailureReasonsAreDistinguished);
  CPPUNIT_TEST(UnreadableItemsCostNoOtherItem);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CallsAndRepliesAreConverted() {
    Session it;
    it.store.Put("p/a", std::string("\0x", 2));
    Section("a list with a binary value", [&] {
      const auto reply = it.SendAndWait(storesync::RangeCall{"p/", ""});
      const auto& page = std::get<storesync::RangeReply>(reply);
      CPPUNIT_ASSERT_EQUAL(std::string("\0x", 2), page.items.at(0).value);
      CPPUNIT_ASSERT(!page.has_more);
    });
    Section("the era of the store, which changes with a restore", [&] {
      CPPUNIT_ASSERT(it.era == storesync::StoreEra(1));
      it.store.MakeCopy();
      it.store.Restore();
      it.SendAndWait(storesync::RangeCall{"p/", ""});
      CPPUNIT_ASSERT(it.era == storesync::StoreEra(2));
      CPPUNIT_ASSERT(!Internal::EraOf({1, 200, {}, ""}));
      CPPUNIT_ASSERT(!Internal::EraOf({1, 200, {{"Store-Era", "x"}}, ""}));
    });
    Section("a key under a lease", [&] {
      const auto granted = std::get<storesync::LeaseReply>(
          it.SendAndWait(storesync::GrantLeaseCall{Seconds(3)}));
      const auto stored =
          it.SendAndWait(storesync::PutCall{"p/b", "b", granted.lease});
      CPPUNIT_ASSERT(std::holds_alternative<storesync::Stored>(stored));
      const auto renewed = std::get<storesync::LeaseReply>(
          it.SendAndWait(storesync::RenewLeaseCall{granted.lease}));
      CPPUNIT_ASSERT(renewed.lease == granted.lease);
      Section("the key is removed when the lease ends", [&] {
        it.SendAndWait(storesync::EndLeaseCall{granted.lease});
        CPPUNIT_ASSERT(!it.store.Has("p/b"));
        CPPUNIT_ASSERT(std::holds_alternative<storesync::LeaseEnded>(
            it.SendAndWait(storesync::RenewLeaseCall{granted.lease})));
      });
    });
    Section("changes, including removed keys", [&] {
      it.store.Remove("p/a");
      const auto reply = std::get<storesync::WatchReply>(it.SendAndWait(
          storesync::WatchCall{"p/", storesync::Revision(11), Seconds(1)}));
      CPPUNIT_ASSERT(!reply.changes.empty());
      CPPUNIT_ASSERT(!reply.changes.back().value);
    });
  }

  /// Guards against one item of the store that makes all servers unknown.
  void UnreadableItemsCostNoOtherItem() {
    const storesync::RangeCall list{"p/", ""};
    const storesync::WatchCall watch{"p/", storesync::Revision(1), Seconds(1)};
    const std::string items =
        R"([{"key":"p/a","value":"YQ==","rev":5},)"
        R"({"key":"p/b","value":"not base64","rev":6},)"
        R"({"key":"p/c","value":7,"rev":"6"},{"key":8},9,null,)"
        R"({"key":"p/d","value":"ZA==","rev":7}])";
    Section("in a list", [&] {
      const auto reply = Internal::DecodeReply(
          list, {1, 200, {}, R"({"store_revision":9,"items":)" + items + "}"});
      const auto& page = std::get<storesync::RangeReply>(reply);
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, page.items.size());
      CPPUNIT_ASSERT_EQUAL(std::string("a"), page.items.at(0).value);
      CPPUNIT_ASSERT_EQUAL(std::string(), page.items.at(1).value);
      CPPUNIT_ASSERT_EQUAL(std::string("d"), page.items.at(3).value);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, page.unreadable_items);
    });
    Section("in changes", [&] {
      const auto reply = Internal::DecodeReply(
          watch,
          {1, 200, {}, R"({"store_revision":9,"events":)" + items + "}"});
      const auto& changes = std::get<storesync::WatchReply>(reply);
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, changes.changes.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes.unreadable_items);
    });
    Section("a page without any key cannot be continued", [&] {
      const auto reply = Internal::DecodeReply(
          list, {1, 200, {}, R"({"truncated":true,"items":[9]})"});
      CPPUNIT_ASSERT(std::holds_alternative<CallFailed>(reply));
    });
  }

  void FailureReasonsAreDistinguished() {
    Session it;
    const storesync::RangeCall call{"p/", ""};
    const auto reason = [&] {
      return std::get<CallFailed>(it.SendAndWait(call)).reason;
    };
    Section("the store is busy", [&] {
      it.store.set_mode(StoreStandin::Mode::kBusy);
      CPPUNIT_ASSERT(reason() == CallFailed::Reason::kRefused);
    });
    Section("too many calls", [&] {
      it.store.set_mode(StoreStandin::Mode::kOverQuota);
      CPPUNIT_ASSERT(reason() == CallFailed::Reason::kOverQuota);
    });
    Section("the store no longer has the changes", [&] {
      it.store.set_mode(StoreStandin::Mode::kHistoryLost);
      CPPUNIT_ASSERT(
          std::holds_alternative<storesync::HistoryLost>(it.SendAndWait(
              storesync::WatchCall{"p/", storesync::Revision(1), {}})));
    });
    Section("a reply that is not valid JSON", [&] {
      const auto reply =
          Internal::DecodeReply(call, {1, 200, {}, "{\"items\""});
      CPPUNIT_ASSERT(std::get<CallFailed>(reply).reason ==
                     CallFailed::Reason::kInvalid);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

}  // namespace
}  // namespace ibisladder::platform
