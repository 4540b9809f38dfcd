#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/gateway/forwarder_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

constexpr int kStatusUnavailable = 503;
constexpr Duration kLimit = Seconds(6);

class PlannedStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannedStopTest);
  CPPUNIT_TEST(RequestsThatTheStopWouldCutOffAreNotSent);
  CPPUNIT_TEST(LateRequestsEndBeforeTheProcessWithAnyLimit);
  CPPUNIT_TEST(RequestsAreNotPassedOnThatTheStopWouldCutOff);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against requests that a stopping instance passes on so late that
  /// its end cuts them off without an answer, at-most-once requests among them.
  void RequestsThatTheStopWouldCutOffAreNotSent() {
    Section("a request that has time enough is served", [] {
      Stopping it = MakeStopping(1);
      const CallId call = Arrive(it.fixture, "/work/x");
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.fixture.sent.size());
      CPPUNIT_ASSERT(!it.fixture.answers.contains(call));
    });
    Section("one that usually takes longer than what is left is refused", [] {
      Stopping it = MakeStopping(1);
      it.fixture.now = it.end - Millis(900);
      const CallId call = Arrive(it.fixture, "/work/x");
      CPPUNIT_ASSERT(it.fixture.sent.empty());
      AssertRefused(it.fixture, call);
    });
    Section("unless its caller gives it up before the end", [] {
      Stopping it = MakeStopping(1);
      it.fixture.now = it.end - Millis(900);
      Arrive(it.fixture, "/work/x", Millis(800));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.fixture.sent.size());
    });
    Section("one that waits for a server is refused as soon as it is late", [] {
      Stopping it = MakeStopping(1, Seconds(4));
      it.fixture.now = it.end - Millis(1500);
      for (int i = 0; i < kSlots; ++i) Arrive(it.fixture, "/work/x");
      const std::size_t sent = it.fixture.sent.size();
      const CallId call = Arrive(it.fixture, "/work/y");
      CPPUNIT_ASSERT_EQUAL(sent, it.fixture.sent.size());
      Advance(it.fixture, Millis(400));
      CPPUNIT_ASSERT(!it.fixture.answers.contains(call));
      Advance(it.fixture, Millis(200));
      AssertRefused(it.fixture, call);
      CPPUNIT_ASSERT_EQUAL(sent, it.fixture.sent.size());
    });
  }

  /// Guards against at-most-once requests that are cut off since the time that
  /// they usually take decides, and not the time that they may take.
  void LateRequestsEndBeforeTheProcessWithAnyLimit() {
    constexpr Duration kKnownToAll = Seconds(3);
    constexpr Duration kTimeout = Seconds(4);
    for (const Duration limit : {Seconds(1), Seconds(6), Seconds(10),
                                 Seconds(12), Seconds(30), Seconds(60)}) {
      Stopping it = MakeStopping(20, limit);
      const TimePoint began = it.fixture.now;
      int refused_in_vain = 0;
      for (Duration t = Millis(50); t < limit; t += Millis(150)) {
        it.fixture.now = began + t;
        const std::size_t sent = it.fixture.sent.size();
        const CallId call = Arrive(it.fixture, "/work/x", kTimeout);
        const bool is_in_time = it.fixture.now + kTimeout <= it.end;
        if (it.fixture.sent.size() > sent) {
          CPPUNIT_ASSERT_MESSAGE(std::to_string(ToMillis(t)),
                                 is_in_time || t <= kKnownToAll);
          Answer(it.fixture, LastAttempt(it.fixture, call), 200);
        } else {
          AssertRefused(it.fixture, call);
          refused_in_vain += is_in_time ? 1 : 0;
        }
      }
      CPPUNIT_ASSERT_EQUAL(0, refused_in_vain);
    }
  }

  /// Guards against a refused request that goes to another instance instead,
  /// whose answer the end of the process cuts off.
  void RequestsAreNotPassedOnThatTheStopWouldCutOff() {
    Stopping it = MakeStopping(4);
    DirectoryState state;
    state.self = "self";
    state.members = {"self", "p"};
    state.advertised_instances = 2;
    state.peers = {{"p", ZoneName("a"), {"127.0.0.1", 1}, true}};
    SetDirectoryState(*it.fixture.forwarder, state, it.fixture.now);
    it.fixture.now += Millis(2400);
    const CallId call = Arrive(it.fixture, "/work/x");
    it.fixture.now = it.end - Millis(200);
    Fail(it.fixture, LastAttempt(it.fixture, call),
         AttemptFailure::kConnectFailed);
    CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(it.fixture, call));
    AssertRefused(it.fixture, call);
  }

 private:
  static constexpr int kSlots = 4;

  struct Stopping {
    ForwarderFixture fixture;
    TimePoint end;
  };

  static Stopping MakeStopping(int servers, Duration limit = kLimit) {
    Stopping it{MakeFixture(servers), {}};
    const PlannedStop stop = PlanStop(it.fixture.now, limit);
    it.end = stop.ends_at;
    PrepareToStop(*it.fixture.forwarder, stop);
    return it;
  }

  static void AssertRefused(const ForwarderFixture& fixture, CallId call) {
    const CallerAnswer& answer = fixture.answers.at(call);
    CPPUNIT_ASSERT_EQUAL(kStatusUnavailable, answer.status);
    CPPUNIT_ASSERT(answer.code == ResultCode::kStopping);
    CPPUNIT_ASSERT(answer.retry_after.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

}  // namespace
}  // namespace ibisladder::gateway
