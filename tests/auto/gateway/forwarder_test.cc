#include "libs/gateway/forwarder.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "tests/auto/gateway/forwarder_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::CheckProperty;
using ibisladder::testing::Section;

constexpr unsigned kSeed = 81;
constexpr int kCases = 200;

class ForwarderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwarderTest);
  CPPUNIT_TEST(AnswersReachTheirCallers);
  CPPUNIT_TEST(RequestsWaitForTheStart);
  CPPUNIT_TEST(AtMostOnceWorkIsNotRepeated);
  CPPUNIT_TEST(IdempotentWorkIsTriedElsewhere);
  CPPUNIT_TEST(DeadlinesEndWhatRuns);
  CPPUNIT_TEST(CallersThatLeaveTakeTheirWorkAlong);
  CPPUNIT_TEST(ListsAndVersionsAreFollowed);
  CPPUNIT_TEST(NoAnswerIsUntrue);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnswersReachTheirCallers() {
    ForwarderFixture fixture = MakeFixture(2);
    Section("whole and signed ones as they are", [&] {
      const CallId call = Arrive(fixture, "/read/1");
      Answer(fixture, LastAttempt(fixture, call), 200);
      CPPUNIT_ASSERT_EQUAL(200, fixture.answers.at(call).status);
    });
    Section("a success without signature is none", [&] {
      const CallId call = Arrive(fixture, "/work/1");
      ServerAnswer answer;
      answer.status = 200;
      AttemptAnswered(*fixture.forwarder, LastAttempt(fixture, call).attempt,
                      answer, fixture.now);
      CollectActions(fixture);
      CPPUNIT_ASSERT_EQUAL(502, fixture.answers.at(call).status);
    });
    Section("without a route there is no server", [&] {
      const CallId call = Arrive(fixture, "/other/1");
      CPPUNIT_ASSERT_EQUAL(404, fixture.answers.at(call).status);
    });
    Section("without a configuration nothing is denied", [] {
      ForwarderFixture empty;
      empty.forwarder = MakeForwarder({}, empty.now);
      const CallId call = Arrive(empty, "/read/1");
      CPPUNIT_ASSERT_EQUAL(503, empty.answers.at(call).status);
    });
  }

  /// All instances were killed: callers are back before the store has answered.
  void RequestsWaitForTheStart() {
    ForwarderSettings settings;
    settings.start_timeout = Millis(700);
    Section("and are served once configuration and servers are there", [&] {
      ForwarderFixture fixture = MakeFixture(0, settings);
      const CallId call = Arrive(fixture, "/work/1");
      CPPUNIT_ASSERT(fixture.answers.empty() && fixture.sent.empty());
      const std::vector<ServerEntry> entries{MakeServer("s1", "s")};
      SetServers(*fixture.forwarder, entries, fixture.now);
      CollectActions(fixture);
      Answer(fixture, LastAttempt(fixture, call), 200);
      CPPUNIT_ASSERT_EQUAL(200, fixture.answers.at(call).status);
    });
    Section("but not for long, and no longer afterwards", [&] {
      ForwarderFixture fixture;
      fixture.forwarder = MakeForwarder(settings, fixture.now);
      const CallId call = Arrive(fixture, "/work/1");
      Advance(fixture, Millis(650));
      CPPUNIT_ASSERT(fixture.answers.empty());
      Advance(fixture, Millis(75));
      CPPUNIT_ASSERT_EQUAL(503, fixture.answers.at(call).status);
      CPPUNIT_ASSERT(fixture.answers.at(call).retry_after.has_value());
      const CallId late = Arrive(fixture, "/work/1");
      CPPUNIT_ASSERT_EQUAL(503, fixture.answers.at(late).status);
    });
    Section("nor for longer than the caller does", [&] {
      ForwarderFixture fixture;
      fixture.forwarder = MakeForwarder(settings, fixture.now);
      const CallId call = Arrive(fixture, "/work/1", Millis(200));
      Advance(fixture, Millis(200));
      CPPUNIT_ASSERT_EQUAL(503, fixture.answers.at(call).status);
    });
    Section("one that leaves meanwhile is forgotten", [&] {
      ForwarderFixture fixture;
      fixture.forwarder = MakeForwarder(settings, fixture.now);
      const CallId call = Arrive(fixture, "/work/1");
      CallerLeft(*fixture.forwarder, call, fixture.now);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, OpenCalls(*fixture.forwarder));
    });
  }

  void AtMostOnceWorkIsNotRepeated() {
    ForwarderFixture fixture = MakeFixture(3);
    Section("after a lost connection it may have run", [&] {
      const CallId call = Arrive(fixture, "/work/1");
      Fail(fixture, LastAttempt(fixture, call),
           AttemptFailure::kConnectionLost);
      CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT_EQUAL(502, fixture.answers.at(call).status);
      CPPUNIT_ASSERT(!fixture.answers.at(call).retry_after);
    });
    Section("a server's own failure is passed on", [&] {
      const CallId call = Arrive(fixture, "/work/2");
      Answer(fixture, LastAttempt(fixture, call), 500);
      CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT_EQUAL(500, fixture.answers.at(call).status);
      CPPUNIT_ASSERT(fixture.answers.at(call).code == ResultCode::kDone);
    });
    Section("a definite decline lets another server run it", [] {
      ForwarderFixture fixture = MakeFixture(3);
      const CallId call = Arrive(fixture, "/work/3");
      const SendAttempt first = LastAttempt(fixture, call);
      Decline(fixture, first);
      CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT(LastAttempt(fixture, call).server != first.server);
      Section("and a second one is told, with a time to come back", [&] {
        Decline(fixture, LastAttempt(fixture, call));
        CPPUNIT_ASSERT_EQUAL(503, fixture.answers.at(call).status);
        CPPUNIT_ASSERT(fixture.answers.at(call).retry_after.has_value());
      });
    });
    Section("so does a connection that never opened", [] {
      ForwarderFixture fixture = MakeFixture(3);
      const CallId call = Arrive(fixture, "/work/4");
      Fail(fixture, LastAttempt(fixture, call), AttemptFailure::kConnectFailed);
      CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
    });
  }

  void IdempotentWorkIsTriedElsewhere() {
    Section("after a failure", [] {
      ForwarderFixture fixture = MakeFixture(3);
      const CallId call = Arrive(fixture, "/read/1");
      Answer(fixture, LastAttempt(fixture, call), 500);
      CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
      Answer(fixture, LastAttempt(fixture, call), 200);
      CPPUNIT_ASSERT_EQUAL(200, fixture.answers.at(call).status);
    });
    Section("beside a server that is silent", [] {
      ForwarderSettings settings;
      settings.retry_slack = 4;
      ForwarderFixture fixture = MakeFixture(3, settings);
      const CallId call = Arrive(fixture, "/read/1");
      const SendAttempt first = LastAttempt(fixture, call);
      Advance(fixture, Millis(700));
      CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
      Section("and the first answer wins", [&] {
        Answer(fixture, LastAttempt(fixture, call), 200);
        CPPUNIT_ASSERT_EQUAL(200, fixture.answers.at(call).status);
        CPPUNIT_ASSERT(fixture.cancelled == std::vector{first.attempt});
      });
    });
    Section("never on more servers than the route allows", [] {
      ForwarderFixture fixture = MakeFixture(5);
      const CallId call = Arrive(fixture, "/read/1");
      Answer(fixture, LastAttempt(fixture, call), 500);
      Answer(fixture, LastAttempt(fixture, call), 500);
      CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT_EQUAL(500, fixture.answers.at(call).status);
    });
  }

  void DeadlinesEndWhatRuns() {
    ForwarderFixture fixture = MakeFixture(1);
    Section("the caller's when it is earlier than the route's time-out", [&] {
      const CallId call = Arrive(fixture, "/work/1", Millis(500));
      CPPUNIT_ASSERT(LastAttempt(fixture, call).time_left == Millis(500));
      Advance(fixture, Millis(500));
      CPPUNIT_ASSERT_EQUAL(504, fixture.answers.at(call).status);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.cancelled.size());
    });
    Section("the route's otherwise", [&] {
      const CallId call = Arrive(fixture, "/work/2", Seconds(60));
      CPPUNIT_ASSERT(LastAttempt(fixture, call).time_left == Seconds(4));
    });
  }

  void CallersThatLeaveTakeTheirWorkAlong() {
    ForwarderFixture fixture = MakeFixture(2);
    Section("idempotent work is cancelled at its server", [&] {
      const CallId call = Arrive(fixture, "/read/1");
      CallerLeft(*fixture.forwarder, call, fixture.now);
      CollectActions(fixture);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.cancelled.size());
    });
    Section("other work ends by itself, and answers nobody", [&] {
      const CallId call = Arrive(fixture, "/work/1");
      CallerLeft(*fixture.forwarder, call, fixture.now);
      Answer(fixture, LastAttempt(fixture, call), 200);
      CPPUNIT_ASSERT(!fixture.answers.contains(call));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, OpenCalls(*fixture.forwarder));
    });
  }

  void ListsAndVersionsAreFollowed() {
    Section("a draining server gets no new request", [] {
      ForwarderFixture fixture = MakeFixture(2);
      std::vector<ServerEntry> entries = {MakeServer("s1", "s"),
                                          MakeServer("s2", "s")};
      entries[0].draining = true;
      SetServers(*fixture.forwarder, entries, fixture.now);
      for (int i = 0; i < 6; ++i) {
        const CallId call = Arrive(fixture, "/read/1");
        CPPUNIT_ASSERT_EQUAL(std::string("s2"),
                             LastAttempt(fixture, call).server_name);
        Answer(fixture, LastAttempt(fixture, call), 200);
      }
    });
    Section("a new incarnation starts without a past", [] {
      ForwarderFixture fixture = MakeFixture(1);
      const CallId call = Arrive(fixture, "/work/1");
      const BackendServerId before = LastAttempt(fixture, call).server;
      ServerEntry entry = MakeServer("s1", "s");
      entry.started_ms = 5;
      SetServers(*fixture.forwarder, std::vector{entry}, fixture.now);
      const CallId next = Arrive(fixture, "/work/2");
      CPPUNIT_ASSERT(LastAttempt(fixture, next).server != before);
    });
    Section("another server at the address has not run the request", [] {
      ForwarderFixture fixture = MakeFixture(2);
      const CallId call = Arrive(fixture, "/work/1");
      ServerAnswer answer;
      answer.status = 421;
      answer.not_run = true;
      answer.wrong_server = true;
      const SendAttempt first = LastAttempt(fixture, call);
      AttemptAnswered(*fixture.forwarder, first.attempt, answer, fixture.now);
      CollectActions(fixture);
      CPPUNIT_ASSERT(LastAttempt(fixture, call).server != first.server);
      Section("and is not asked again", [&] {
        for (int i = 0; i < 6; ++i) {
          const CallId next = Arrive(fixture, "/work/2");
          CPPUNIT_ASSERT(LastAttempt(fixture, next).server != first.server);
          Answer(fixture, LastAttempt(fixture, next), 200);
        }
      });
    });
    Section("an older version of the configuration changes nothing", [] {
      ForwarderFixture fixture = MakeFixture(1);
      auto older = std::make_shared<Configuration>();
      older->version = ConfigVersion(0);
      InstallConfiguration(*fixture.forwarder, older, fixture.now);
      CPPUNIT_ASSERT_EQUAL(
          std::uint64_t{1},
          CurrentConfiguration(*fixture.forwarder)->version.value());
    });
  }

  /// Random ends of attempts: each call has one answer, at-most-once work
  /// leaves once at the most unless declined, "not run" is true.
  void NoAnswerIsUntrue() {
    CheckProperty(
        "whatever servers do", kSeed, kCases,
        [](const std::vector<std::uint8_t>& dice) {
          ForwarderFixture fixture = MakeFixture(3);
          std::map<CallId, int> runs;
          std::size_t handled = 0;
          for (const std::uint8_t it : dice) {
            Arrive(fixture, it % 2 == 0 ? "/read/1" : "/work/1", Seconds(1));
            while (handled < fixture.sent.size()) {
              const SendAttempt attempt = fixture.sent[handled++];
              const CallId call = attempt.request->call;
              const std::uint64_t end =
                  (it / 2U + attempt.attempt.value()) % 7U;
              if (end >= 2) ++runs[call];
              if (end == 0) Decline(fixture, attempt);
              if (end == 1) {
                Fail(fixture, attempt, AttemptFailure::kConnectFailed);
              }
              if (end == 2) Answer(fixture, attempt, 500);
              if (end == 3) {
                Fail(fixture, attempt, AttemptFailure::kConnectionLost);
              }
              if (end == 4) Fail(fixture, attempt, AttemptFailure::kTruncated);
              if (end == 5) Answer(fixture, attempt, 200);
            }
            Advance(fixture, Millis(100));
          }
          Advance(fixture, Seconds(5));
          RC_ASSERT(fixture.answers.size() == fixture.last_call);
          for (const auto& [call, answer] : fixture.answers) {
            const bool promises_not_run =
                answer.status == 503 && answer.code != ResultCode::kDone;
            if (promises_not_run) RC_ASSERT(runs[call] == 0);
          }
          for (const auto& sent : fixture.sent) {
            const bool is_work =
                sent.request->target.compare(0, 6, "/work/") == 0;
            if (is_work) RC_ASSERT(runs[sent.request->call] <= 1);
          }
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderTest);

}  // namespace
}  // namespace ibisladder::gateway
