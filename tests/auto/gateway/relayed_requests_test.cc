#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/gateway/forwarder_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

constexpr int kStatusDone = 200;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;

const ServiceId kService = MakeServiceId("s");

DirectoryState MakeDirectory(int peers) {
  DirectoryState state;
  state.self = "self";
  state.members = {"self"};
  state.advertised_instances = static_cast<std::size_t>(peers) + 1;
  for (int i = 1; i <= peers; ++i) {
    Peer peer;
    peer.name = "p" + std::to_string(i);
    peer.zone = ZoneName("a");
    peer.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(i)};
    peer.is_advertised = true;
    state.members.push_back(peer.name);
    state.peers.push_back(peer);
  }
  return state;
}

/// Ends all tests of the path that have begun.
void EndTests(ForwarderFixture& fixture, bool is_open) {
  for (const auto& it : std::exchange(fixture.path_tests, {})) {
    PathTested(*fixture.forwarder, it.server, is_open, fixture.now);
  }
  CollectActions(fixture);
}

/// Returns an instance among `peers` others whose path to its four servers is
/// lost.
ForwarderFixture MakeCutOff(int peers) {
  ForwarderFixture fixture = MakeFixture(4);
  SetDirectoryState(*fixture.forwarder, MakeDirectory(peers), fixture.now);
  // Two requests whose connects fail at two servers.
  const CallId first = Arrive(fixture, "/work/1");
  Fail(fixture, LastAttempt(fixture, first), AttemptFailure::kConnectFailed);
  if (fixture.path_tests.empty()) {
    Fail(fixture, LastAttempt(fixture, first), AttemptFailure::kConnectFailed);
  }
  EndTests(fixture, false);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, LostPaths(*fixture.forwarder).size());
  Answer(fixture, LastAttempt(fixture, first), kStatusDone);
  fixture.sent.clear();
  return fixture;
}

/// Another instance refuses a request that was passed on to it, or fails.
void AnswerAsPeer(ForwarderFixture& fixture, const SendAttempt& attempt,
                  int status, ResultCode code) {
  ServerAnswer answer;
  answer.status = status;
  answer.relay_result = code;
  AttemptAnswered(*fixture.forwarder, attempt.attempt, answer, fixture.now);
  CollectActions(fixture);
}

/// A request that another instance passes on.
CallId ArriveRelayed(ForwarderFixture& fixture, const std::string& target,
                     RelayOrigin origin) {
  CallerRequest request;
  request.call = CallId(++fixture.last_call);
  request.request_id = "r" + std::to_string(fixture.last_call);
  request.method = "GET";
  request.host = kHost;
  request.target = target;
  request.timeout = Seconds(4);
  request.relayed = std::move(origin);
  const CallId call = request.call;
  RequestArrived(*fixture.forwarder, std::move(request), fixture.now);
  CollectActions(fixture);
  return call;
}

RelayOrigin MakeOrigin(std::uint32_t attempts_left = 2) {
  RelayOrigin origin;
  origin.service = kService;
  origin.version = ConfigVersion(1);
  origin.attempts_left = attempts_left;
  return origin;
}

class RelayedRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayedRequestsTest);
  CPPUNIT_TEST(RequestsGoToAnotherInstanceAtOnce);
  CPPUNIT_TEST(AtMostOnceRequestsAreNotPassedOnAgainIfTheyMayHaveRun);
  CPPUNIT_TEST(AttemptsAreCountedOverAllInstances);
  CPPUNIT_TEST(RefusedRequestsGoToFurtherInstancesAFewTimes);
  CPPUNIT_TEST(RequestsWithoutAnInstanceAreSentAsBefore);
  CPPUNIT_TEST(DeadlinesAndCallersThatLeave);
  CPPUNIT_TEST(RequestsAreNotPassedOnTwice);
  CPPUNIT_TEST(RequestsOfOthersAreBounded);
  CPPUNIT_TEST(RequestsOfOthersThatCannotBeTreatedAlikeAreRefused);
  CPPUNIT_TEST(StreamsThatBreakAtTheOtherInstanceBreakHere);
  CPPUNIT_TEST(FailuresOfTheOwnPathAreNotToldAsEvidence);
  CPPUNIT_TEST(AnswersThatBeginShowThatThePathIsSound);
  CPPUNIT_TEST(OriginsAreWrittenAndRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsGoToAnotherInstanceAtOnce() {
    auto fixture = MakeCutOff(3);
    const CallId call = Arrive(fixture, "/work/2");
    const SendAttempt sent = LastAttempt(fixture, call);
    CPPUNIT_ASSERT(sent.relay);
    CPPUNIT_ASSERT(sent.relay->service == kService);
    CPPUNIT_ASSERT(!sent.relay->is_retry);
    CPPUNIT_ASSERT_EQUAL(2U, sent.relay->attempts_left);
    CPPUNIT_ASSERT_EQUAL(fixture.caller_address, sent.relay->caller_address);
    Section("the answer of a server reaches the caller", [&] {
      Answer(fixture, sent, kStatusDone);
      CPPUNIT_ASSERT_EQUAL(kStatusDone, fixture.answers.at(call).status);
    });
    Section("so does a server's failure", [&] {
      const CallId other = Arrive(fixture, "/work/3");
      Answer(fixture, LastAttempt(fixture, other), 500);
      CPPUNIT_ASSERT_EQUAL(500, fixture.answers.at(other).status);
      CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, other));
    });
    Section("not to one that has no path either", [&] {
      for (const char* it : {"p1", "p2"}) {
        MergePaths(*fixture.forwarder, it, std::vector{kService}, fixture.now);
      }
      for (int i = 0; i < 20; ++i) {
        const CallId next = Arrive(fixture, "/work/4");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{3},
                             LastAttempt(fixture, next).endpoint.port);
      }
    });
    Section("to servers again once one is reached", [&] {
      Advance(fixture, Millis(300));
      EndTests(fixture, true);
      CPPUNIT_ASSERT(LostPaths(*fixture.forwarder).empty());
      const CallId next = Arrive(fixture, "/work/5");
      CPPUNIT_ASSERT(!LastAttempt(fixture, next).relay);
    });
  }

  void AtMostOnceRequestsAreNotPassedOnAgainIfTheyMayHaveRun() {
    for (const auto failure :
         {AttemptFailure::kConnectionLost, AttemptFailure::kTruncated}) {
      auto fixture = MakeCutOff(3);
      const CallId call = Arrive(fixture, "/work/2");
      Fail(fixture, LastAttempt(fixture, call), failure);
      CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT_EQUAL(kStatusBadGateway, fixture.answers.at(call).status);
    }
    Section("nor if the other instance does not know", [&] {
      auto fixture = MakeCutOff(3);
      const CallId call = Arrive(fixture, "/work/2");
      AnswerAsPeer(fixture, LastAttempt(fixture, call), kStatusBadGateway,
                   ResultCode::kServerConnectionLost);
      CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT_EQUAL(kStatusBadGateway, fixture.answers.at(call).status);
    });
    Section("but if no byte reached it", [&] {
      auto fixture = MakeCutOff(3);
      const CallId call = Arrive(fixture, "/work/2");
      Fail(fixture, LastAttempt(fixture, call), AttemptFailure::kConnectFailed);
      CPPUNIT_ASSERT_EQUAL(2, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT(!LastAttempt(fixture, call).relay->is_retry);
    });
    Section("nor one that was at a server before", [&] {
      auto fixture = MakeFixture(4);
      SetDirectoryState(*fixture.forwarder, MakeDirectory(3), fixture.now);
      const CallId call = Arrive(fixture, "/work/2");
      Fail(fixture, LastAttempt(fixture, call),
           AttemptFailure::kConnectionLost);
      CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, call));
    });
  }

  /// Guards against requests that reach more servers than their route allows:
  /// an instance whose connection is lost may have used all attempts.
  void AttemptsAreCountedOverAllInstances() {
    auto fixture = MakeCutOff(3);
    const CallId call = Arrive(fixture, "/read/2");
    Fail(fixture, LastAttempt(fixture, call), AttemptFailure::kConnectionLost);
    CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, call));
    CPPUNIT_ASSERT_EQUAL(kStatusBadGateway, fixture.answers.at(call).status);
    Section("one that was not reached has used none", [&] {
      const CallId other = Arrive(fixture, "/read/3");
      Fail(fixture, LastAttempt(fixture, other),
           AttemptFailure::kConnectFailed);
      CPPUNIT_ASSERT_EQUAL(2U,
                           LastAttempt(fixture, other).relay->attempts_left);
    });
    Section("a request that hangs at a server is passed on as a repetition",
            [&] {
              auto hung = MakeFixture(4);
              SetDirectoryState(*hung.forwarder, MakeDirectory(3), hung.now);
              const CallId read = Arrive(hung, "/read/1");
              const CallId work = Arrive(hung, "/work/1");
              const CallId failing = Arrive(hung, "/work/2");
              for (int i = 0; i < 2; ++i) {
                Fail(hung, LastAttempt(hung, failing),
                     AttemptFailure::kConnectFailed);
              }
              EndTests(hung, false);
              CPPUNIT_ASSERT(LastAttempt(hung, read).relay);
              CPPUNIT_ASSERT(LastAttempt(hung, read).relay->is_retry);
              CPPUNIT_ASSERT(!LastAttempt(hung, work).relay);
            });
  }

  void RefusedRequestsGoToFurtherInstancesAFewTimes() {
    auto fixture = MakeCutOff(9);
    const CallId call = Arrive(fixture, "/work/2");
    std::set<std::uint16_t> instances;
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(i + 1, AttemptsOf(fixture, call));
      const SendAttempt sent = LastAttempt(fixture, call);
      instances.insert(sent.endpoint.port);
      // The second one may have been declined by servers.
      CPPUNIT_ASSERT_EQUAL(i == 2, sent.relay->is_retry);
      AnswerAsPeer(
          fixture, sent, kStatusUnavailable,
          i == 0 ? ResultCode::kRequestTableFull : ResultCode::kShedByServers);
    }
    Section("each one is asked once",
            [&] { CPPUNIT_ASSERT_EQUAL(std::size_t{3}, instances.size()); });
    Section("then the caller learns that it has not run, and when to return",
            [&] {
              const CallerAnswer& answer = fixture.answers.at(call);
              CPPUNIT_ASSERT_EQUAL(kStatusUnavailable, answer.status);
              CPPUNIT_ASSERT(answer.retry_after > Duration::zero());
            });
  }

  void RequestsWithoutAnInstanceAreSentAsBefore() {
    auto fixture = MakeCutOff(0);
    const CallId call = Arrive(fixture, "/work/2");
    CPPUNIT_ASSERT(!LastAttempt(fixture, call).relay);
  }

  void DeadlinesAndCallersThatLeave() {
    auto fixture = MakeCutOff(3);
    Section("the other instance gets no more time than is left", [&] {
      const CallId call = Arrive(fixture, "/work/2", Millis(700));
      CPPUNIT_ASSERT(LastAttempt(fixture, call).time_left < Millis(700));
      Advance(fixture, Millis(750));
      CPPUNIT_ASSERT_EQUAL(kStatusTimeout, fixture.answers.at(call).status);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.cancelled.size());
    });
    fixture.cancelled.clear();
    Section("it learns that the caller has left, also of at-most-once requests",
            [&] {
              const CallId call = Arrive(fixture, "/work/3");
              CallerLeft(*fixture.forwarder, call, fixture.now);
              CollectActions(fixture);
              CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.cancelled.size());
              CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                   OpenCalls(*fixture.forwarder));
            });
  }

  /// Guards against requests that go round among instances without a path.
  void RequestsAreNotPassedOnTwice() {
    auto fixture = MakeCutOff(3);
    Section("without a path it is refused at once", [&] {
      const CallId call = ArriveRelayed(fixture, "/work/2", MakeOrigin());
      CPPUNIT_ASSERT_EQUAL(0, AttemptsOf(fixture, call));
      CPPUNIT_ASSERT(fixture.answers.at(call).code ==
                     ResultCode::kServerUnreachable);
      CPPUNIT_ASSERT_EQUAL(kStatusUnavailable, fixture.answers.at(call).status);
    });
    auto sound = MakeFixture(4);
    SetDirectoryState(*sound.forwarder, MakeDirectory(3), sound.now);
    Section("with one, failing connects do not send it further", [&] {
      const CallId call = ArriveRelayed(sound, "/work/2", MakeOrigin());
      while (!sound.answers.contains(call)) {
        CPPUNIT_ASSERT(!LastAttempt(sound, call).relay);
        Fail(sound, LastAttempt(sound, call), AttemptFailure::kConnectFailed);
      }
      CPPUNIT_ASSERT_EQUAL(kStatusUnavailable, sound.answers.at(call).status);
    });
  }

  void RequestsOfOthersAreBounded() {
    auto fixture = MakeFixture(4);
    SetDirectoryState(*fixture.forwarder, MakeDirectory(3), fixture.now);
    std::size_t refused = 0;
    for (int i = 0; i < 100; ++i) {
      const CallId call = ArriveRelayed(fixture, "/work/2", MakeOrigin());
      refused += fixture.answers.contains(call) ? 1 : 0;
    }
    // Four servers of four slots, among four instances, twice over.
    CPPUNIT_ASSERT_EQUAL(std::size_t{92}, refused);
    Section("the instance's own callers are not refused for it", [&] {
      const CallId own = Arrive(fixture, "/work/3");
      CPPUNIT_ASSERT(!fixture.answers.contains(own));
    });
    Section("fewer sound instances carry more each", [&] {
      auto alone = MakeFixture(4);
      SetDirectoryState(*alone.forwarder, MakeDirectory(3), alone.now);
      for (const char* it : {"p1", "p2", "p3"}) {
        MergePaths(*alone.forwarder, it, std::vector{kService}, alone.now);
      }
      std::size_t carried = 0;
      for (int i = 0; i < 100; ++i) {
        const CallId call = ArriveRelayed(alone, "/work/2", MakeOrigin());
        carried += alone.answers.contains(call) ? 0 : 1;
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{32}, carried);
    });
  }

  void RequestsOfOthersThatCannotBeTreatedAlikeAreRefused() {
    auto fixture = MakeFixture(4);
    const auto expect_refused = [&](const char* target, RelayOrigin origin) {
      const CallId call = ArriveRelayed(fixture, target, std::move(origin));
      CPPUNIT_ASSERT_EQUAL(kStatusUnavailable, fixture.answers.at(call).status);
      CPPUNIT_ASSERT_EQUAL(0, AttemptsOf(fixture, call));
    };
    Section("this instance has an older configuration", [&] {
      RelayOrigin newer = MakeOrigin();
      newer.version = ConfigVersion(2);
      expect_refused("/work/2", newer);
    });
    Section("it knows no such route",
            [&] { expect_refused("/other/2", MakeOrigin()); });
    Section("its route goes to other services", [&] {
      RelayOrigin other = MakeOrigin();
      other.service = MakeServiceId("t");
      expect_refused("/work/2", other);
    });
    Section("no attempt is left",
            [&] { expect_refused("/work/2", MakeOrigin(0)); });
    Section("it is stopping", [&] {
      StopAccepting(*fixture.forwarder);
      expect_refused("/work/2", MakeOrigin());
    });
    Section("it has no configuration yet", [&] {
      ForwarderFixture starting;
      starting.now = fixture.now;
      starting.forwarder = MakeForwarder({}, starting.now);
      const CallId call = ArriveRelayed(starting, "/work/2", MakeOrigin());
      CPPUNIT_ASSERT_EQUAL(kStatusUnavailable,
                           starting.answers.at(call).status);
    });
  }

  void StreamsThatBreakAtTheOtherInstanceBreakHere() {
    auto fixture = MakeCutOff(3);
    const CallId call = Arrive(fixture, "/read/2");
    const SendAttempt sent = LastAttempt(fixture, call);
    ServerAnswer head;
    head.status = kStatusDone;
    head.is_signed = true;
    AnswerStarted(*fixture.forwarder, sent.attempt, head, fixture.now);
    CollectActions(fixture);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.streams.size());
    Fail(fixture, sent, AttemptFailure::kTruncated);
    CPPUNIT_ASSERT(fixture.broken_streams == std::vector{call});
    CPPUNIT_ASSERT(fixture.ended_streams.empty());
    CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, call));
  }

  /// Guards against an instance whose link fails and that tells all others that
  /// each server does.
  void FailuresOfTheOwnPathAreNotToldAsEvidence() {
    auto fixture = MakeFixture(4);
    for (int i = 0; i < 20; ++i) {
      const CallId call = Arrive(fixture, "/work/" + std::to_string(i));
      if (AttemptsOf(fixture, call) == 0) continue;
      Fail(fixture, LastAttempt(fixture, call),
           AttemptFailure::kConnectionLost);
    }
    std::set<BackendServerId> servers;
    for (const auto& it : fixture.evidence) servers.insert(it.server);
    CPPUNIT_ASSERT(servers.size() <= 1);
  }

  /// Guards against tests of the path while servers send large answers, which
  /// take long to complete.
  void AnswersThatBeginShowThatThePathIsSound() {
    auto fixture = MakeFixture(1);
    const CallId call = Arrive(fixture, "/read/1");
    Advance(fixture, Millis(400));
    ServerAnswer head;
    head.status = kStatusDone;
    head.is_signed = true;
    AnswerStarted(*fixture.forwarder, LastAttempt(fixture, call).attempt, head,
                  fixture.now);
    Advance(fixture, Millis(100));
    const CallId other = Arrive(fixture, "/work/1");
    Advance(fixture, Millis(400));
    CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(fixture, other));
    CPPUNIT_ASSERT(fixture.path_tests.empty());
    Section("a request sent before it is not silent", [&] {
      auto late = MakeFixture(1);
      const CallId first = Arrive(late, "/read/1");
      const CallId second = Arrive(late, "/work/1");
      Advance(late, Millis(400));
      AnswerStarted(*late.forwarder, LastAttempt(late, first).attempt, head,
                    late.now);
      Advance(late, Millis(1500));
      CPPUNIT_ASSERT_EQUAL(1, AttemptsOf(late, second));
      CPPUNIT_ASSERT(late.path_tests.empty());
    });
  }

  void OriginsAreWrittenAndRead() {
    RelayOrigin origin = MakeOrigin(3);
    origin.version = ConfigVersion(~std::uint64_t{0});
    origin.is_retry = true;
    CPPUNIT_ASSERT(ParseRelayOrigin(FormatRelayOrigin(origin)) == origin);
    origin.caller_address = "10.0.0.7";
    CPPUNIT_ASSERT(ParseRelayOrigin(FormatRelayOrigin(origin)) == origin);
    for (const char* it :
         {"", "1", "1 2 3", "1 2 3 0", "1 2 3 2 -", "-1 2 3 0 - x", "a b c d e",
          "99999999999999999999999 1 1 0 -", "1 1 99999999999 0 -"}) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseRelayOrigin(it));
    }
    CPPUNIT_ASSERT(ParseRelayResult("2006") == ResultCode::kOverloaded);
    for (const char* it : {"", "x", "-1", "20060000000000000", "2006 "}) {
      CPPUNIT_ASSERT(ParseRelayResult(it) == ResultCode::kOutcomeUncertain);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedRequestsTest);

}  // namespace
}  // namespace ibisladder::gateway
