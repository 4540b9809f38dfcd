// Servers answer with a status that tells callers that their request has not
// run and never will, where the server does not state that it has not run it.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>

#include "tests/auto/gateway/forwarder_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

/// Callers take these for a promise and send their request once more.
constexpr std::array kPromises = {408, 421, 429, 503};
constexpr char kSignature[] = "X-Response-Signature";

ServerAnswer MakeAnswer(const SendAttempt& attempt, int status) {
  ServerAnswer answer;
  answer.status = status;
  answer.is_signed = true;
  answer.headers = {{kSignature, "s"}};
  answer.request_id = attempt.request->request_id;
  return answer;
}

void AnswerSigned(ForwarderFixture& fixture, const SendAttempt& attempt,
                  int status) {
  AttemptAnswered(*fixture.forwarder, attempt.attempt,
                  MakeAnswer(attempt, status), fixture.now);
  CollectActions(fixture);
}

/// Asserts a failure of the instance's own that promises nothing.
void AssertFailed(const CallerAnswer& answer) {
  CPPUNIT_ASSERT_EQUAL(502, answer.status);
  CPPUNIT_ASSERT(OutcomeOf(answer.code) == Outcome::kUnknown);
  CPPUNIT_ASSERT(answer.headers.empty());
  CPPUNIT_ASSERT(!answer.retry_after);
}

/// Returns an instance that passes requests to `kService` on to another one.
ForwarderFixture MakeCutOff() {
  ForwarderFixture fixture = MakeFixture(4);
  DirectoryState state;
  state.self = "self";
  state.members = {"self", "p"};
  state.advertised_instances = 2;
  state.peers = {{"p", ZoneName("a"), {"127.0.0.1", 1}, true}};
  SetDirectoryState(*fixture.forwarder, state, fixture.now);
  while (LostPaths(*fixture.forwarder).empty()) {
    const CallId call = Arrive(fixture, "/read/1");
    Fail(fixture, LastAttempt(fixture, call), AttemptFailure::kConnectFailed);
    for (const auto& it : std::exchange(fixture.path_tests, {})) {
      PathTested(*fixture.forwarder, it.server, false, fixture.now);
    }
    CollectActions(fixture);
  }
  return fixture;
}

class ServerStatusesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerStatusesTest);
  CPPUNIT_TEST(AtMostOnceRequestsAreNotSaidNotToHaveRun);
  CPPUNIT_TEST(IdempotentRequestsAreRepeated);
  CPPUNIT_TEST(HeadsOfLongAnswersAreNotStreamed);
  CPPUNIT_TEST(AnswersThroughAnotherInstancePromiseNoMore);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a charge that runs twice, since a server's 503 after it has
  /// run it reaches the caller as a promise.
  void AtMostOnceRequestsAreNotSaidNotToHaveRun() {
    for (const int status : kPromises) {
      Section(std::to_string(status).c_str(), [status] {
        ForwarderFixture fixture = MakeFixture(3);
        const CallId call = Arrive(fixture, "/work/1");
        AnswerSigned(fixture, LastAttempt(fixture, call), status);
        AssertFailed(fixture.answers.at(call));
        CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, call));
      });
    }
    Section("other failures of servers are passed on as they are", [] {
      ForwarderFixture fixture = MakeFixture(3);
      const CallId call = Arrive(fixture, "/work/1");
      AnswerSigned(fixture, LastAttempt(fixture, call), 500);
      CPPUNIT_ASSERT_EQUAL(500, fixture.answers.at(call).status);
      CPPUNIT_ASSERT_EQUAL(std::string(kSignature),
                           fixture.answers.at(call).headers.at(0).first);
    });
    Section("requests that servers state not to have run are refused", [] {
      ForwarderFixture fixture = MakeFixture(3);
      const CallId call = Arrive(fixture, "/work/1");
      Decline(fixture, LastAttempt(fixture, call));
      Decline(fixture, LastAttempt(fixture, call));
      CPPUNIT_ASSERT_EQUAL(503, fixture.answers.at(call).status);
    });
  }

  /// Guards against a refusal that costs a request another server could serve.
  void IdempotentRequestsAreRepeated() {
    for (const int status : kPromises) {
      Section(std::to_string(status).c_str(), [status] {
        ForwarderFixture fixture = MakeFixture(3);
        const CallId call = Arrive(fixture, "/read/1");
        AnswerSigned(fixture, LastAttempt(fixture, call), status);
        CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
        AnswerSigned(fixture, LastAttempt(fixture, call), status);
        AssertFailed(fixture.answers.at(call));
      });
    }
    Section("a failure that was answered before is passed on", [] {
      ForwarderFixture fixture = MakeFixture(3);
      const CallId call = Arrive(fixture, "/read/1");
      AnswerSigned(fixture, LastAttempt(fixture, call), 500);
      AnswerSigned(fixture, LastAttempt(fixture, call), 503);
      CPPUNIT_ASSERT_EQUAL(500, fixture.answers.at(call).status);
    });
  }

  /// Guards against the same promise in an answer that is passed on as it
  /// arrives.
  void HeadsOfLongAnswersAreNotStreamed() {
    for (const int status : kPromises) {
      ForwarderFixture fixture = MakeFixture(3);
      const CallId call = Arrive(fixture, "/work/1");
      const SendAttempt attempt = LastAttempt(fixture, call);
      AnswerStarted(*fixture.forwarder, attempt.attempt,
                    MakeAnswer(attempt, status), fixture.now);
      CollectActions(fixture);
      CPPUNIT_ASSERT(fixture.streams.empty());
      AnswerSigned(fixture, attempt, status);
      AssertFailed(fixture.answers.at(call));
    }
  }

  /// Guards against the same promise from an instance of an earlier build, and
  /// against one for a result that this build does not know.
  void AnswersThroughAnotherInstancePromiseNoMore() {
    for (const int status : kPromises) {
      Section(std::to_string(status).c_str(), [status] {
        ForwarderFixture fixture = MakeCutOff();
        const CallId call = Arrive(fixture, "/work/2");
        CPPUNIT_ASSERT(LastAttempt(fixture, call).relay);
        AnswerSigned(fixture, LastAttempt(fixture, call), status);
        AssertFailed(fixture.answers.at(call));
      });
    }
    for (const int code : {3002, 3014, 3999}) {
      Section(("result " + std::to_string(code)).c_str(), [code] {
        ForwarderFixture fixture = MakeCutOff();
        const CallId call = Arrive(fixture, "/work/2");
        ServerAnswer answer;
        answer.status = 503;
        answer.relay_result = static_cast<ResultCode>(code);
        AttemptAnswered(*fixture.forwarder, LastAttempt(fixture, call).attempt,
                        answer, fixture.now);
        CollectActions(fixture);
        CPPUNIT_ASSERT_EQUAL(502, fixture.answers.at(call).status);
      });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerStatusesTest);

}  // namespace
}  // namespace ibisladder::gateway
