// Answers that are passed on while they arrive. Guards against requests that
// run again after a part of their answer has reached the caller, and against
// servers that are blamed for slow callers.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/auto/gateway/forwarder_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

ServerAnswer MakeHead(const SendAttempt& attempt) {
  ServerAnswer head;
  head.status = 200;
  head.is_signed = true;
  head.request_id = attempt.request->request_id;
  return head;
}

void StartAnswer(ForwarderFixture& fixture, const SendAttempt& attempt,
                 const ServerAnswer& head) {
  AnswerStarted(*fixture.forwarder, attempt.attempt, head, fixture.now);
  CollectActions(fixture);
}

/// Sends a request whose answer then starts to be streamed.
SendAttempt ArriveAndStart(ForwarderFixture& fixture,
                           const std::string& target) {
  const SendAttempt attempt = LastAttempt(fixture, Arrive(fixture, target));
  StartAnswer(fixture, attempt, MakeHead(attempt));
  return attempt;
}

CallId CallOfAttempt(const SendAttempt& attempt) {
  return attempt.request->call;
}

std::size_t CountEjections(const ForwarderFixture& fixture) {
  return CountersOf(*fixture.forwarder).ejections;
}

class StreamedAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamedAnswersTest);
  CPPUNIT_TEST(ValidAnswersArePassedOnAsTheyArrive);
  CPPUNIT_TEST(BrokenAnswersAreNotRequestedAgain);
  CPPUNIT_TEST(OtherAnswersAreKeptAsAWhole);
  CPPUNIT_TEST(HedgesEndWhenAnAnswerStarts);
  CPPUNIT_TEST(ServersAreNotBlamedForSlowCallers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ValidAnswersArePassedOnAsTheyArrive() {
    auto fixture = MakeFixture(2);
    const SendAttempt attempt = ArriveAndStart(fixture, "/read/1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.streams.size());
    CPPUNIT_ASSERT_EQUAL(200, fixture.streams.at(0).answer.status);
    Section("no further attempt is made meanwhile", [&] {
      Advance(fixture, Seconds(2));
      CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, CallOfAttempt(attempt)));
    });
    Section("the end follows", [&] {
      Answer(fixture, attempt, 200);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.ended_streams.size());
      CPPUNIT_ASSERT(fixture.answers.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, OpenCalls(*fixture.forwarder));
    });
  }

  void BrokenAnswersAreNotRequestedAgain() {
    for (const char* target : {"/read/1", "/work/1"}) {
      for (const auto failure :
           {AttemptFailure::kTruncated, AttemptFailure::kConnectionLost}) {
        auto fixture = MakeFixture(2);
        const SendAttempt attempt = ArriveAndStart(fixture, target);
        Fail(fixture, attempt, failure);
        Advance(fixture, Seconds(1));
        CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, CallOfAttempt(attempt)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.broken_streams.size());
        CPPUNIT_ASSERT(fixture.answers.empty());
      }
    }
    Section("at the deadline the answer breaks off, too", [] {
      auto fixture = MakeFixture(2);
      const SendAttempt attempt = ArriveAndStart(fixture, "/read/1");
      Advance(fixture, Seconds(5));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.broken_streams.size());
      CPPUNIT_ASSERT(fixture.cancelled.at(0) == attempt.attempt);
      CPPUNIT_ASSERT(fixture.answers.empty());
    });
    Section("at-most-once work runs on when the caller leaves", [] {
      auto fixture = MakeFixture(2);
      const SendAttempt attempt = ArriveAndStart(fixture, "/work/1");
      CallerLeft(*fixture.forwarder, CallOfAttempt(attempt), fixture.now);
      CollectActions(fixture);
      CPPUNIT_ASSERT(fixture.cancelled.empty());
      Answer(fixture, attempt, 200);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, OpenCalls(*fixture.forwarder));
    });
  }

  void OtherAnswersAreKeptAsAWhole() {
    const auto is_streamed = [](auto change) {
      auto fixture = MakeFixture(2);
      const SendAttempt attempt =
          LastAttempt(fixture, Arrive(fixture, "/read/1"));
      ServerAnswer head = MakeHead(attempt);
      change(head);
      StartAnswer(fixture, attempt, head);
      Fail(fixture, attempt, AttemptFailure::kTruncated);
      const bool is_repeated = AttemptsOf(fixture, CallOfAttempt(attempt)) == 2;
      CPPUNIT_ASSERT(is_repeated == fixture.streams.empty());
      return !fixture.streams.empty();
    };
    CPPUNIT_ASSERT(is_streamed([](ServerAnswer&) {}));
    CPPUNIT_ASSERT(!is_streamed([](ServerAnswer& it) { it.status = 500; }));
    CPPUNIT_ASSERT(!is_streamed([](ServerAnswer& it) { it.not_run = true; }));
    CPPUNIT_ASSERT(
        !is_streamed([](ServerAnswer& it) { it.is_signed = false; }));
    CPPUNIT_ASSERT(
        !is_streamed([](ServerAnswer& it) { it.is_encoded = true; }));
  }

  void HedgesEndWhenAnAnswerStarts() {
    ForwarderSettings settings;
    settings.retry_slack = 4;
    auto fixture = MakeFixture(3, settings);
    const CallId call = Arrive(fixture, "/read/1");
    const SendAttempt first = LastAttempt(fixture, call);
    Advance(fixture, Millis(700));
    CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
    const SendAttempt second = LastAttempt(fixture, call);
    StartAnswer(fixture, second, MakeHead(second));
    CPPUNIT_ASSERT(fixture.cancelled.at(0) == first.attempt);
    Section("an answer that starts later is not passed on", [&] {
      StartAnswer(fixture, first, MakeHead(first));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.streams.size());
    });
    Answer(fixture, second, 200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.ended_streams.size());
  }

  void ServersAreNotBlamedForSlowCallers() {
    constexpr int kRequests = 40;
    // Returns the number of ejections when answers of s1 do not end in time.
    const auto count_ejections = [](bool is_held_up) {
      auto fixture = MakeFixture(4);
      std::size_t n = 0;
      for (int i = 0; i < kRequests; ++i) {
        const SendAttempt attempt = ArriveAndStart(fixture, "/read/1");
        if (attempt.server_name == "s1") {
          ++n;
          HoldUpStream(*fixture.forwarder, CallOfAttempt(attempt), is_held_up,
                       fixture.now);
        } else {
          Answer(fixture, attempt, 200);
        }
        Advance(fixture, Millis(500));
      }
      Advance(fixture, Seconds(5));
      CPPUNIT_ASSERT(n > 0);
      CPPUNIT_ASSERT_EQUAL(n, fixture.broken_streams.size());
      return CountEjections(fixture);
    };
    Section("callers that take answers too slowly", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_ejections(true));
    });
    Section("servers that stop in the middle of their answers",
            [&] { CPPUNIT_ASSERT(count_ejections(false) > 0); });
    Section("slow answers that end are no slowness of the server", [] {
      auto fixture = MakeFixture(4);
      std::vector<SendAttempt> attempts;
      for (int i = 0; i < kRequests; ++i) {
        attempts.push_back(ArriveAndStart(fixture, "/read/1"));
        Advance(fixture, Millis(500));
        if (i < 6) continue;
        Answer(fixture, attempts.at(static_cast<std::size_t>(i) - 6), 200);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountEjections(fixture));
      CPPUNIT_ASSERT(fixture.broken_streams.empty());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamedAnswersTest);

}  // namespace
}  // namespace ibisladder::gateway
