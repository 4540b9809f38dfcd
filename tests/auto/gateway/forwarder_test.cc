#include "libs/gateway/forwarder.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>

#include "tests/auto/gateway/forwarder_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::CheckProperty;
using ibisladder::testing::Section;

constexpr unsigned kSeed = 81;
constexpr int kCases = 200;
/// Statuses that tell callers that their request has not run and never will.
constexpr std::array kPromises = {408, 421, 429, 503};

class ForwarderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwarderTest);
  CPPUNIT_TEST(AnswersAreDelivered);
  CPPUNIT_TEST(RequestsWaitForStartup);
  CPPUNIT_TEST(AtMostOnceRequestsAreRetriedOnlyIfNotExecuted);
  CPPUNIT_TEST(IdempotentRequestsAreRetried);
  CPPUNIT_TEST(DeadlinesEndRunningRequests);
  CPPUNIT_TEST(CallersLeaveBeforeTheAnswer);
  CPPUNIT_TEST(ListsAndVersionsAreApplied);
  CPPUNIT_TEST(AnswersMatchExecutions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnswersAreDelivered() {
    ForwarderFixture fixture = MakeFixture(2);
    Section("signed answer is delivered unchanged", [&] {
      const CallId call = Arrive(fixture, "/read/1");
      Answer(fixture, LastAttempt(fixture, call), 200);
      CPPUNIT_ASSERT_EQUAL(200, fixture.answers.at(call).status);
    });
    Section("success without a signature is answered with 502", [&] {
      const CallId call = Arrive(fixture, "/work/1");
      ServerAnswer answer;
      answer.status = 200;
      AttemptAnswered(*fixture.forwarder, LastAttempt(fixture, call).attempt,
                      answer, fixture.now);
      CollectActions(fixture);
      CPPUNIT_ASSERT_EQUAL(502, fixture.answers.at(call).status);
    });
    Section("404 without a matching route", [&] {
      const CallId call = Arrive(fixture, "/other/1");
      CPPUNIT_ASSERT_EQUAL(404, fixture.answers.at(call).status);
    });
    Section("503, not 404, without a configuration", [] {
      ForwarderFixture empty;
      empty.forwarder = MakeForwarder({}, empty.now);
      const CallId call = Arrive(empty, "/read/1");
      CPPUNIT_ASSERT_EQUAL(503, empty.answers.at(call).status);
    });
  }

  /// After all instances were killed and restarted, callers send requests
  /// before the store has answered.
  void RequestsWaitForStartup() {
    ForwarderSettings settings;
    settings.start_timeout = Millis(700);
    Section("served once configuration and servers are known", [&] {
      ForwarderFixture fixture = MakeFixture(0, settings);
      const CallId call = Arrive(fixture, "/work/1");
      CPPUNIT_ASSERT(fixture.answers.empty() && fixture.sent.empty());
      const std::vector<ServerEntry> entries{MakeServer("s1", "s")};
      SetServers(*fixture.forwarder, entries, fixture.now);
      CollectActions(fixture);
      Answer(fixture, LastAttempt(fixture, call), 200);
      CPPUNIT_ASSERT_EQUAL(200, fixture.answers.at(call).status);
    });
    Section("refused after the start timeout, later ones immediately", [&] {
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
    Section("refused at the caller's deadline if it is earlier", [&] {
      ForwarderFixture fixture;
      fixture.forwarder = MakeForwarder(settings, fixture.now);
      const CallId call = Arrive(fixture, "/work/1", Millis(200));
      Advance(fixture, Millis(200));
      CPPUNIT_ASSERT_EQUAL(503, fixture.answers.at(call).status);
    });
    Section("removed when the caller leaves", [&] {
      ForwarderFixture fixture;
      fixture.forwarder = MakeForwarder(settings, fixture.now);
      const CallId call = Arrive(fixture, "/work/1");
      CallerLeft(*fixture.forwarder, call, fixture.now);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, OpenCalls(*fixture.forwarder));
    });
  }

  void AtMostOnceRequestsAreRetriedOnlyIfNotExecuted() {
    ForwarderFixture fixture = MakeFixture(3);
    Section("502 after a lost connection: it may have been executed", [&] {
      const CallId call = Arrive(fixture, "/work/1");
      Fail(fixture, LastAttempt(fixture, call),
           AttemptFailure::kConnectionLost);
      CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT_EQUAL(502, fixture.answers.at(call).status);
      CPPUNIT_ASSERT(!fixture.answers.at(call).retry_after);
    });
    Section("server's error answer is delivered", [&] {
      const CallId call = Arrive(fixture, "/work/2");
      Answer(fixture, LastAttempt(fixture, call), 500);
      CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT_EQUAL(500, fixture.answers.at(call).status);
      CPPUNIT_ASSERT(fixture.answers.at(call).code == ResultCode::kDone);
    });
    Section("declined request is sent to another server", [] {
      ForwarderFixture fixture = MakeFixture(3);
      const CallId call = Arrive(fixture, "/work/3");
      const SendAttempt first = LastAttempt(fixture, call);
      Decline(fixture, first);
      CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT(LastAttempt(fixture, call).server != first.server);
      Section("second decline is answered with 503 and Retry-After", [&] {
        Decline(fixture, LastAttempt(fixture, call));
        CPPUNIT_ASSERT_EQUAL(503, fixture.answers.at(call).status);
        CPPUNIT_ASSERT(fixture.answers.at(call).retry_after.has_value());
      });
    });
    Section("request whose connect failed is sent again", [] {
      ForwarderFixture fixture = MakeFixture(3);
      const CallId call = Arrive(fixture, "/work/4");
      Fail(fixture, LastAttempt(fixture, call), AttemptFailure::kConnectFailed);
      CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
    });
  }

  void IdempotentRequestsAreRetried() {
    Section("after an error answer", [] {
      ForwarderFixture fixture = MakeFixture(3);
      const CallId call = Arrive(fixture, "/read/1");
      Answer(fixture, LastAttempt(fixture, call), 500);
      CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
      Answer(fixture, LastAttempt(fixture, call), 200);
      CPPUNIT_ASSERT_EQUAL(200, fixture.answers.at(call).status);
    });
    Section("hedged if the server does not answer", [] {
      ForwarderSettings settings;
      settings.retry_slack = 4;
      ForwarderFixture fixture = MakeFixture(3, settings);
      const CallId call = Arrive(fixture, "/read/1");
      const SendAttempt first = LastAttempt(fixture, call);
      Advance(fixture, Millis(700));
      CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
      Section("first answer is delivered, the other attempt cancelled", [&] {
        Answer(fixture, LastAttempt(fixture, call), 200);
        CPPUNIT_ASSERT_EQUAL(200, fixture.answers.at(call).status);
        CPPUNIT_ASSERT(fixture.cancelled == std::vector{first.attempt});
      });
    });
    Section("not more attempts than the route allows", [] {
      ForwarderFixture fixture = MakeFixture(5);
      const CallId call = Arrive(fixture, "/read/1");
      Answer(fixture, LastAttempt(fixture, call), 500);
      Answer(fixture, LastAttempt(fixture, call), 500);
      CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT_EQUAL(500, fixture.answers.at(call).status);
    });
  }

  void DeadlinesEndRunningRequests() {
    ForwarderFixture fixture = MakeFixture(1);
    Section("caller's deadline if it is earlier than the route's timeout", [&] {
      const CallId call = Arrive(fixture, "/work/1", Millis(500));
      CPPUNIT_ASSERT(LastAttempt(fixture, call).time_left == Millis(500));
      Advance(fixture, Millis(500));
      CPPUNIT_ASSERT_EQUAL(504, fixture.answers.at(call).status);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.cancelled.size());
    });
    Section("route's timeout otherwise", [&] {
      const CallId call = Arrive(fixture, "/work/2", Seconds(60));
      CPPUNIT_ASSERT(LastAttempt(fixture, call).time_left == Seconds(4));
    });
  }

  void CallersLeaveBeforeTheAnswer() {
    ForwarderFixture fixture = MakeFixture(2);
    Section("idempotent request is cancelled at its server", [&] {
      const CallId call = Arrive(fixture, "/read/1");
      CallerLeft(*fixture.forwarder, call, fixture.now);
      CollectActions(fixture);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.cancelled.size());
    });
    Section("at-most-once request runs to its end without an answer", [&] {
      const CallId call = Arrive(fixture, "/work/1");
      CallerLeft(*fixture.forwarder, call, fixture.now);
      Answer(fixture, LastAttempt(fixture, call), 200);
      CPPUNIT_ASSERT(!fixture.answers.contains(call));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, OpenCalls(*fixture.forwarder));
    });
    // Guards against servers that get requests of callers which have left.
    Section(
        "waiting request does not take the place of one that left with it", [] {
          ForwarderFixture fixture = MakeFixture(1);
          std::vector<CallId> calls;
          for (int i = 0; i < 40; ++i) {
            calls.push_back(Arrive(fixture, "/read/1"));
          }
          const std::size_t sent = fixture.sent.size();
          CPPUNIT_ASSERT(sent < calls.size());
          CallersLeft(*fixture.forwarder, calls, fixture.now);
          CollectActions(fixture);
          CPPUNIT_ASSERT_EQUAL(sent, fixture.sent.size());
          CPPUNIT_ASSERT_EQUAL(sent, fixture.cancelled.size());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, OpenCalls(*fixture.forwarder));
        });
  }

  void ListsAndVersionsAreApplied() {
    Section("draining server gets no new request", [] {
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
    Section("new incarnation counts as another server", [] {
      ForwarderFixture fixture = MakeFixture(1);
      const CallId call = Arrive(fixture, "/work/1");
      const BackendServerId before = LastAttempt(fixture, call).server;
      ServerEntry entry = MakeServer("s1", "s");
      entry.started_ms = 5;
      SetServers(*fixture.forwarder, std::vector{entry}, fixture.now);
      const CallId next = Arrive(fixture, "/work/2");
      CPPUNIT_ASSERT(LastAttempt(fixture, next).server != before);
    });
    Section("request that reached another server is sent again", [] {
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
      Section("and its entry gets no further request", [&] {
        for (int i = 0; i < 6; ++i) {
          const CallId next = Arrive(fixture, "/work/2");
          CPPUNIT_ASSERT(LastAttempt(fixture, next).server != first.server);
          Answer(fixture, LastAttempt(fixture, next), 200);
        }
      });
    });
    Section("older version of the configuration is ignored", [] {
      ForwarderFixture fixture = MakeFixture(1);
      auto older = std::make_shared<Configuration>();
      older->version = ConfigVersion(0);
      InstallConfiguration(*fixture.forwarder, older, fixture.now);
      CPPUNIT_ASSERT_EQUAL(
          std::uint64_t{1},
          CurrentConfiguration(*fixture.forwarder)->version.value());
    });
  }

  /// Random ends of attempts. Each call gets one answer, an at-most-once
  /// request is executed at most once, and a request whose answer has a status
  /// that promises so was not executed.
  void AnswersMatchExecutions() {
    CheckProperty(
        "any ends of attempts", kSeed, kCases,
        [](const std::vector<std::uint8_t>& dice) {
          ForwarderFixture fixture = MakeFixture(3);
          std::map<CallId, int> possible_executions;
          std::size_t handled = 0;
          for (const std::uint8_t it : dice) {
            Arrive(fixture, it % 2 == 0 ? "/read/1" : "/work/1", Seconds(1));
            while (handled < fixture.sent.size()) {
              const SendAttempt attempt = fixture.sent[handled++];
              const CallId call = attempt.request->call;
              const std::uint64_t end =
                  (it / 2U + attempt.attempt.value()) % 8U;
              if (end >= 2) ++possible_executions[call];
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
              if (end == 6) {
                Answer(fixture, attempt, kPromises.at(it % kPromises.size()));
              }
            }
            Advance(fixture, Millis(100));
          }
          Advance(fixture, Seconds(5));
          RC_ASSERT(fixture.answers.size() == fixture.last_call);
          for (const auto& [call, answer] : fixture.answers) {
            const bool promises_not_run =
                std::ranges::find(kPromises, answer.status) != kPromises.end();
            if (promises_not_run) RC_ASSERT(possible_executions[call] == 0);
          }
          for (const auto& sent : fixture.sent) {
            const bool is_at_most_once =
                sent.request->target.compare(0, 6, "/work/") == 0;
            if (is_at_most_once)
              RC_ASSERT(possible_executions[sent.request->call] <= 1);
          }
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderTest);

}  // namespace
}  // namespace ibisladder::gateway
