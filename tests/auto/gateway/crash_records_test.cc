#include "libs/gateway/crash_records.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "libs/base/random.h"
#include "libs/gateway/request_key.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

const TimePoint kStart{Seconds(10000)};
const RequestKey kKey(7);

BackendServerId Server(std::uint64_t n) { return BackendServerId(n); }

CrashRecords WithLosses(int n) {
  CrashRecords records;
  for (int i = 1; i <= n; ++i) RecordLoss(records, kKey, Server(i), kStart);
  return records;
}

class CrashRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashRecordsTest);
  CPPUNIT_TEST(RequestIsRefusedAfterThreeServers);
  CPPUNIT_TEST(AnswersProveThatServersLive);
  CPPUNIT_TEST(RecordsAreBoundedInNumberAndAge);
  CPPUNIT_TEST(NewsOfOthersIsAddedUp);
  CPPUNIT_TEST(RandomNewsStayWithinTheBounds);
  CPPUNIT_TEST(KeysTellCallersAndBodiesApart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestIsRefusedAfterThreeServers() {
    CrashRecords records = WithLosses(2);
    CPPUNIT_ASSERT(VerdictOn(records, kKey, kStart) == CrashVerdict::kAllowed);
    Section("a second loss at the same server does not count", [&] {
      CPPUNIT_ASSERT(!RecordLoss(records, kKey, Server(2), kStart));
      CPPUNIT_ASSERT(VerdictOn(records, kKey, kStart) ==
                     CrashVerdict::kAllowed);
    });
    Section("the third server does", [&] {
      CPPUNIT_ASSERT(RecordLoss(records, kKey, Server(3), kStart));
      CPPUNIT_ASSERT(VerdictOn(records, kKey, kStart) ==
                     CrashVerdict::kRefused);
      CPPUNIT_ASSERT(VerdictOn(records, RequestKey(8), kStart) ==
                     CrashVerdict::kAllowed);
    });
    const TimePoint end = kStart + Seconds(60);
    Section("one attempt after a minute", [&] {
      CPPUNIT_ASSERT(VerdictOn(records, kKey, end) == CrashVerdict::kTrial);
      RecordTrial(records, kKey, end);
      CPPUNIT_ASSERT(VerdictOn(records, kKey, end) == CrashVerdict::kRefused);
    });
    Section("a crash then refuses it for twice as long", [&] {
      RecordLoss(records, kKey, Server(4), end + Seconds(1));
      const Duration left = RefusedFor(records, kKey, end + Seconds(1));
      CPPUNIT_ASSERT(left == Seconds(120));
    });
    Section("success ends it", [&] {
      const TimePoint served = end + Seconds(2);
      CPPUNIT_ASSERT(RecordServed(records, kKey, served));
      CPPUNIT_ASSERT(!IsSuspected(records, kKey));
      CPPUNIT_ASSERT(IsServiceNews(records, kKey, served + Seconds(6)));
      Section("losses soon after it have other causes", [&] {
        for (int i = 11; i < 20; ++i)
          RecordLoss(records, kKey, Server(i), served + Seconds(1));
        CPPUNIT_ASSERT(!IsSuspected(records, kKey));
        RecordLoss(records, kKey, Server(20), served + Seconds(11));
        CPPUNIT_ASSERT(IsSuspected(records, kKey));
      });
    });
  }

  void AnswersProveThatServersLive() {
    const auto is_cleared = [](Duration sent_after, Duration answered_after) {
      CrashRecords records = WithLosses(3);
      bool is_news = false;
      RecordContact(records, Server(1), kStart + sent_after,
                    kStart + answered_after, is_news);
      return VerdictOn(records, kKey, kStart + answered_after) ==
             CrashVerdict::kAllowed;
    };
    Section("an answer to a request that was sent after the loss", [&] {
      CPPUNIT_ASSERT(is_cleared(Millis(10), Millis(400)));
      CPPUNIT_ASSERT(is_cleared(Seconds(8), Seconds(9)));
    });
    Section("not one to a request that was sent before",
            [&] { CPPUNIT_ASSERT(!is_cleared(Millis(-10), Millis(5))); });
    Section("not one that may come from the next incarnation",
            [&] { CPPUNIT_ASSERT(!is_cleared(Seconds(2), Seconds(3))); });
  }

  void RecordsAreBoundedInNumberAndAge() {
    constexpr std::size_t kBound = 1000;
    CrashRecords records;
    for (std::uint64_t i = 0; i < 5000; ++i) {
      RecordLoss(records, RequestKey(i), Server(i),
                 kStart + Millis(static_cast<std::int64_t>(i)));
    }
    CPPUNIT_ASSERT_EQUAL(kBound, records.requests.size());
    CPPUNIT_ASSERT(IsSuspected(records, RequestKey(4999)));
    ForgetOld(records, kStart + Seconds(400));
    CPPUNIT_ASSERT(records.requests.empty());
    CPPUNIT_ASSERT(records.suspects.empty());
    Section("a refused request is remembered longer, but not for ever", [&] {
      CrashRecords refused = WithLosses(3);
      ForgetOld(refused, kStart + Seconds(400));
      CPPUNIT_ASSERT(IsSuspected(refused, kKey));
      ForgetOld(refused, kStart + Seconds(2000));
      CPPUNIT_ASSERT(!IsSuspected(refused, kKey));
    });
    Section("many other losses do not drive it out", [&] {
      CrashRecords refused = WithLosses(3);
      for (std::uint64_t i = 100; i < 5000; ++i)
        RecordLoss(refused, RequestKey(i), Server(i), kStart + Seconds(1));
      CPPUNIT_ASSERT_EQUAL(kBound, refused.requests.size());
      CPPUNIT_ASSERT(VerdictOn(refused, kKey, kStart + Seconds(2)) ==
                     CrashVerdict::kRefused);
    });
    Section("servers of one request are bounded, too", [&] {
      const CrashRecords many = WithLosses(200);
      CPPUNIT_ASSERT(many.requests.at(kKey).losses.size() <= 16);
    });
  }

  void NewsOfOthersIsAddedUp() {
    CrashRecords own = WithLosses(2);
    CrashRecords other;
    RecordLoss(other, kKey, Server(9), kStart);
    const TimePoint now = kStart + Millis(2);
    Section("losses at different instances", [&] {
      CPPUNIT_ASSERT(Merge(own, MakeCrashNews(other, kKey, now), now));
      CPPUNIT_ASSERT(VerdictOn(own, kKey, now) == CrashVerdict::kRefused);
    });
    Section("a restarted instance is told of repeated losses", [&] {
      CrashRecords restarted;
      for (const auto& it : RepeatedLosses(own, now)) Merge(restarted, it, now);
      CPPUNIT_ASSERT(VerdictOn(restarted, kKey, now) == CrashVerdict::kRefused);
    });
    Section("a trial elsewhere keeps this instance from another one", [&] {
      const TimePoint end = now + Seconds(61);
      CrashRecords trying = own;
      CPPUNIT_ASSERT(VerdictOn(own, kKey, end) == CrashVerdict::kTrial);
      RecordTrial(trying, kKey, end);
      Merge(own, MakeCrashNews(trying, kKey, end), end);
      CPPUNIT_ASSERT(VerdictOn(own, kKey, end) == CrashVerdict::kRefused);
    });
    Section("absurd ages", [&] {
      CrashNews news;
      news.key = RequestKey(11);
      news.losses = {{Server(1), Seconds(-1000)},
                     {Server(2), Duration::max()},
                     {Server(3), Duration::min()}};
      news.is_tried = true;
      news.tried_age = Duration::min();
      CrashRecords records;
      Merge(records, news, now);
      const Duration left = RefusedFor(records, news.key, now);
      CPPUNIT_ASSERT(left <= Seconds(900));
    });
  }

  /// Guards against a peer whose messages fill the memory, refuse a request for
  /// ever or end the process.
  void RandomNewsStayWithinTheBounds() {
    constexpr std::size_t kMaxRequests = 1000;
    constexpr std::size_t kMaxLosses = 16;
    Random random(27);
    CrashRecords records;
    const auto any_duration = [&] {
      return Duration(static_cast<std::int64_t>(random()));
    };
    for (int i = 0; i < 20000; ++i) {
      CrashNews news;
      news.key = RequestKey(UniformBelow(random, 3000));
      news.any_caller = RequestKey(UniformBelow(random, 3000));
      for (std::uint64_t n = UniformBelow(random, 30); n > 0; --n) {
        news.losses.push_back(
            {Server(UniformBelow(random, 5000)), any_duration()});
      }
      news.refusals = static_cast<std::uint32_t>(random());
      news.is_tried = UniformBelow(random, 2) == 0;
      news.tried_age = any_duration();
      const TimePoint now = kStart + Millis(i);
      Merge(records, news, now);
      CPPUNIT_ASSERT(records.requests.size() <= kMaxRequests);
      CPPUNIT_ASSERT(RefusedFor(records, news.key, now) <= Seconds(900));
      if (const auto it = records.requests.find(news.key);
          it != records.requests.end()) {
        CPPUNIT_ASSERT(it->second.losses.size() <= kMaxLosses);
      }
    }
    ForgetOld(records, kStart + Seconds(4000));
    CPPUNIT_ASSERT(records.requests.empty());
  }

  void KeysTellCallersAndBodiesApart() {
    CallerRequest request;
    request.method = "POST";
    request.host = "h.example";
    request.target = "/work/1";
    request.caller_address = "10.0.0.1";
    request.body = "a";
    request.request_id = "r1";
    const RequestKey key = KeysOf(request).request;
    const auto with = [&](auto change) {
      CallerRequest other = request;
      change(other);
      return KeysOf(other).request;
    };
    CPPUNIT_ASSERT(key == with([](auto& it) { it.request_id = "r2"; }));
    CPPUNIT_ASSERT(key == with([](auto& it) { it.target += "?page=2"; }));
    CPPUNIT_ASSERT(key == with([](auto& it) { it.host += ":8080"; }));
    CPPUNIT_ASSERT(key != with([](auto& it) { it.body = "b"; }));
    CPPUNIT_ASSERT(key != with([](auto& it) { it.target = "/work/2"; }));
    CPPUNIT_ASSERT(key !=
                   with([](auto& it) { it.caller_address = "10.0.0.2"; }));
    CPPUNIT_ASSERT(key != with([](auto& it) {
                     it.headers.emplace_back("Authorization", "x");
                   }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashRecordsTest);

}  // namespace
}  // namespace ibisladder::gateway
