// Servers that tell in their answers that they leave, or want no requests for a
// while. Guards against requests that such servers get all the same.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "tests/auto/gateway/forwarder_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

/// Answers with 200, or declines with 503 if the server asks for a pause.
void AnswerWith(ForwarderFixture& fixture, const SendAttempt& attempt,
                bool is_leaving, std::optional<Duration> pause) {
  ServerAnswer answer;
  answer.status = pause ? 503 : 200;
  answer.not_run = pause.has_value();
  answer.is_signed = !pause;
  answer.request_id = attempt.request->request_id;
  answer.is_leaving = is_leaving;
  answer.pause = pause;
  AttemptAnswered(*fixture.forwarder, attempt.attempt, answer, fixture.now);
  CollectActions(fixture);
}

/// Sends `n` requests, 25 ms apart, all of which are served. Returns how many
/// of them the server got.
int CountAt(ForwarderFixture& fixture, const std::string& server, int n) {
  int count = 0;
  for (int i = 0; i < n; ++i) {
    const SendAttempt attempt =
        LastAttempt(fixture, Arrive(fixture, "/work/1"));
    count += attempt.server_name == server ? 1 : 0;
    AnswerWith(fixture, attempt, false, std::nullopt);
    Advance(fixture, Millis(25));
  }
  return count;
}

/// Returns whether the server gets one of more requests at a time than the
/// other one has slots for.
bool IsUsedUnderLoad(ForwarderFixture& fixture, const std::string& server) {
  constexpr int kRequests = 6;
  const std::size_t first = fixture.sent.size();
  for (int i = 0; i < kRequests; ++i) Arrive(fixture, "/work/1");
  bool is_used = false;
  for (std::size_t i = first; i < fixture.sent.size(); ++i) {
    const SendAttempt attempt = fixture.sent[i];
    is_used = is_used || attempt.server_name == server;
    AnswerWith(fixture, attempt, false, std::nullopt);
  }
  Advance(fixture, Millis(25));
  return is_used;
}

/// Lists s1 and s2, s1 with this time of its start.
void ListServers(ForwarderFixture& fixture, std::int64_t started_ms) {
  std::vector<ServerEntry> entries = {MakeServer("s1", "s"),
                                      MakeServer("s2", "s")};
  entries[0].started_ms = started_ms;
  SetServers(*fixture.forwarder, entries, fixture.now);
  CollectActions(fixture);
}

/// Sends requests until s1 gets one, and lets it ask for this.
void AskFromFirst(ForwarderFixture& fixture, bool is_leaving,
                  std::optional<Duration> pause) {
  for (int i = 0; i < 100; ++i) {
    const SendAttempt attempt =
        LastAttempt(fixture, Arrive(fixture, "/work/1"));
    const bool is_first = attempt.server_name == "s1";
    AnswerWith(fixture, attempt, is_first && is_leaving,
               is_first ? pause : std::nullopt);
    // A declined request goes on to the other server.
    if (is_first && pause)
      AnswerWith(fixture, fixture.sent.back(), false, std::nullopt);
    Advance(fixture, Millis(25));
    if (is_first) return;
  }
  CPPUNIT_FAIL("the server got no request");
}

class ServerNoticesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerNoticesTest);
  CPPUNIT_TEST(LeavingServersGetNoNewRequests);
  CPPUNIT_TEST(PausedServersGetNoneForSoLong);
  CPPUNIT_TEST(LeavingAndPausedAtOnce);
  CPPUNIT_TEST(CallersDoNotWaitForPausedServers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeavingServersGetNoNewRequests() {
    ForwarderFixture fixture = MakeFixture(0);
    ListServers(fixture, 1);
    CPPUNIT_ASSERT(CountAt(fixture, "s1", 40) > 0);
    AskFromFirst(fixture, true, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(0, CountAt(fixture, "s1", 100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.leaving.size());
    Section("also when the list drops and repeats its entry", [&] {
      SetServers(*fixture.forwarder, {}, fixture.now);
      ListServers(fixture, 1);
      CPPUNIT_ASSERT_EQUAL(0, CountAt(fixture, "s1", 100));
    });
    Section("another instance is told, and one that starts asks", [&] {
      ForwarderFixture other = MakeFixture(0);
      ListServers(other, 1);
      MergeLeaving(*other.forwarder, KnownLeaving(*fixture.forwarder),
                   other.now);
      CollectActions(other);
      CPPUNIT_ASSERT_EQUAL(0, CountAt(other, "s1", 100));
      CPPUNIT_ASSERT(other.leaving.empty());
    });
    Section("a new start under the same name and address is used", [&] {
      ListServers(fixture, 2);
      CPPUNIT_ASSERT(CountAt(fixture, "s1", 100) > 0);
    });
  }

  void PausedServersGetNoneForSoLong() {
    ForwarderFixture fixture = MakeFixture(0);
    ListServers(fixture, 1);
    AskFromFirst(fixture, false, Seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, CountAt(fixture, "s1", 110));
    CPPUNIT_ASSERT(!IsUsedUnderLoad(fixture, "s1"));
    Advance(fixture, Millis(400));
    CPPUNIT_ASSERT(IsUsedUnderLoad(fixture, "s1"));
    Section("a new start at the same address is used at once", [&] {
      ForwarderFixture other = MakeFixture(0);
      ListServers(other, 1);
      AskFromFirst(other, false, Seconds(60));
      CPPUNIT_ASSERT(!IsUsedUnderLoad(other, "s1"));
      ListServers(other, 2);
      CPPUNIT_ASSERT(IsUsedUnderLoad(other, "s1"));
    });
  }

  void LeavingAndPausedAtOnce() {
    ForwarderFixture fixture = MakeFixture(0);
    ListServers(fixture, 1);
    AskFromFirst(fixture, true, Seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, CountAt(fixture, "s1", 100));
    CPPUNIT_ASSERT(!IsUsedUnderLoad(fixture, "s1"));
  }

  /// A pause may be longer than callers wait.
  void CallersDoNotWaitForPausedServers() {
    ForwarderFixture fixture = MakeFixture(1);
    AnswerWith(fixture, LastAttempt(fixture, Arrive(fixture, "/work/1")), false,
               Seconds(20));
    const CallId call = Arrive(fixture, "/work/1");
    Advance(fixture, Millis(50));
    CPPUNIT_ASSERT(fixture.answers.contains(call));
    CPPUNIT_ASSERT_EQUAL(503, fixture.answers.at(call).status);
    CPPUNIT_ASSERT(fixture.answers.at(call).retry_after.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerNoticesTest);

}  // namespace
}  // namespace ibisladder::gateway
