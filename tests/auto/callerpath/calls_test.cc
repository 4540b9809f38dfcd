// Guards against a request that runs twice or whose caller gets a wrong
// outcome: calls are repeated, retried, queued, abandoned, settled or relayed
// while backend servers fail and the configuration changes.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "libs/callerpath/path_state.h"
#include "tests/auto/callerpath/path_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::callerpath {
namespace {

using testing::Section;

/// At-most-once requests sent to fill all servers, and the first queued one.
struct FilledServers {
  std::vector<SendAttempt> sent;
  CallId queued;
  std::string queued_id;
};

FilledServers FillServers(PathFixture& it) {
  FilledServers filled;
  do {
    filled.queued_id = it.MakeId(std::to_string(it.calls));
    filled.queued = it.SendCall(MakeAtMostOnceRequest(filled.queued_id));
    if (const auto attempt = it.Find<SendAttempt>()) {
      filled.sent.push_back(*attempt);
    }
  } while (it.Find<SendAttempt>());
  return filled;
}

class CallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallsTest);
  CPPUNIT_TEST(AtMostOnceRequestsRunOnce);
  CPPUNIT_TEST(IdempotentRequestsAreRetried);
  CPPUNIT_TEST(RequestsCertainlyNotRunAreRetried);
  CPPUNIT_TEST(RefusedIdsNeverRun);
  CPPUNIT_TEST(QueuedRequestsObserveDeadlines);
  CPPUNIT_TEST(AbandonedCalls);
  CPPUNIT_TEST(CallsAreRelayedToTheirHome);
  CPPUNIT_TEST(ConfigurationChangesKeepRequestsInFlight);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AtMostOnceRequestsRunOnce() {
    Section("an at-most-once request", [] {
      PathFixture it;
      const std::string id = it.MakeId("a");
      const CallId first = it.SendCall(MakeAtMostOnceRequest(id));
      const auto sent = it.Find<SendAttempt>();
      CPPUNIT_ASSERT(sent);
      Section("carries its id and its deadline to the server", [&] {
        CPPUNIT_ASSERT_EQUAL(id, SentId(*sent));
        CPPUNIT_ASSERT_EQUAL(std::string("1000"),
                             FieldValue(*sent, "Ibisladder-Timeout-Ms"));
      });
      const CallId second = it.SendCall(MakeAtMostOnceRequest(id));
      Section("is not sent again for a repeated call",
              [&] { CPPUNIT_ASSERT(!it.Find<SendAttempt>()); });
      it.Feed(MakeAnswer(*sent));
      Section("answers both calls", [&] {
        CPPUNIT_ASSERT(it.CodeFor(first) == ResultCode::kDone);
        CPPUNIT_ASSERT_EQUAL(std::string("charged"),
                             it.AnswerFor(second)->body);
      });
      Section("answers a later repeat from its record", [&] {
        const CallId third = it.SendCall(MakeAtMostOnceRequest(id));
        CPPUNIT_ASSERT(!it.Find<SendAttempt>());
        CPPUNIT_ASSERT(it.CodeFor(third) == ResultCode::kDone);
      });
      Section("refuses another request under the same id", [&] {
        CallRequest other = MakeAtMostOnceRequest(id);
        other.body = "amount=700";
        const CallId call = it.SendCall(other);
        CPPUNIT_ASSERT(it.CodeFor(call) == ResultCode::kRequestIdReused);
      });
    });
    Section(
        "an at-most-once request is unknown, not retried, when its connection "
        "is lost",
        [] {
          PathFixture it;
          const std::string id = it.MakeId("a");
          const CallId first = it.SendCall(MakeAtMostOnceRequest(id));
          it.Feed(AttemptFailed{it.Find<SendAttempt>()->attempt,
                                AttemptFailure::kConnectionLost});
          CPPUNIT_ASSERT(!it.Find<SendAttempt>());
          CPPUNIT_ASSERT(it.CodeFor(first) ==
                         ResultCode::kServerConnectionLost);
          const CallId second = it.SendCall(MakeAtMostOnceRequest(id));
          CPPUNIT_ASSERT(!it.Find<SendAttempt>());
          CPPUNIT_ASSERT(it.CodeFor(second) ==
                         ResultCode::kServerConnectionLost);
        });
    Section("a 503 without the not-run field leaves the outcome unknown", [] {
      PathFixture it;
      const CallId first = it.SendCall(MakeAtMostOnceRequest(it.MakeId("a")));
      it.Feed(MakeAnswer(*it.Find<SendAttempt>(), 503));
      CPPUNIT_ASSERT(!it.Find<SendAttempt>());
      CPPUNIT_ASSERT(it.CodeFor(first) == ResultCode::kOutcomeUncertain);
    });
  }

  void IdempotentRequestsAreRetried() {
    Section("an idempotent request is retried on another server", [] {
      Section("after a corrupt answer", [] {
        PathFixture it;
        const CallId call = it.SendCall(MakeIdempotentRequest());
        const auto first = it.Find<SendAttempt>();
        ServerAnswered corrupt = MakeAnswer(*first);
        corrupt.headers = {{"Ibisladder-Request-Id", "of another"}};
        it.Feed(corrupt);
        const auto second = it.Find<SendAttempt>();
        CPPUNIT_ASSERT(second && second->server != first->server);
        it.Feed(MakeAnswer(*second));
        CPPUNIT_ASSERT(it.CodeFor(call) == ResultCode::kDone);
      });
      Section("after an error; the last error answer is passed on", [] {
        PathFixture it;
        const CallId call = it.SendCall(MakeIdempotentRequest());
        for (int i = 0; i < 3; ++i) {
          it.Feed(MakeAnswer(*it.Find<SendAttempt>(), 500, "broken"));
        }
        CPPUNIT_ASSERT(it.CodeFor(call) == ResultCode::kDone);
        CPPUNIT_ASSERT_EQUAL(500, it.AnswerFor(call)->status);
      });
    });
    Section(
        "an idempotent request ends at its deadline, which closes the attempt",
        [] {
          PathFixture it;
          const CallId call = it.SendCall(MakeIdempotentRequest());
          const auto sent = it.Find<SendAttempt>();
          it.AdvanceTime(Seconds(1));
          CPPUNIT_ASSERT(it.CodeFor(call) ==
                         ResultCode::kDeadlineAfterDispatch);
          CPPUNIT_ASSERT(it.Find<CancelAttempt>()->attempt == sent->attempt);
          it.Feed(MakeAnswer(*sent));
          CPPUNIT_ASSERT(!it.Find<AnswerCall>());
        });
  }

  void RequestsCertainlyNotRunAreRetried() {
    Section("an at-most-once request is retried on a second server", [] {
      Section("after the first one declares it not run", [] {
        PathFixture it;
        const CallId call = it.SendCall(MakeAtMostOnceRequest(it.MakeId("a")));
        const auto first = it.Find<SendAttempt>();
        it.Feed(MakeNotRunAnswer(*first));
        const auto second = it.Find<SendAttempt>();
        CPPUNIT_ASSERT(second && second->server != first->server);
        it.Feed(MakeAnswer(*second));
        CPPUNIT_ASSERT(it.CodeFor(call) == ResultCode::kDone);
      });
      Section("when no connection could be opened", [] {
        PathFixture it;
        it.SendCall(MakeAtMostOnceRequest(it.MakeId("a")));
        it.Feed(AttemptFailed{it.Find<SendAttempt>()->attempt,
                              AttemptFailure::kConnectFailed});
        CPPUNIT_ASSERT(it.Find<SendAttempt>());
      });
    });
    Section("a not-run field with another id is rejected", [] {
      PathFixture it;
      const CallId call = it.SendCall(MakeAtMostOnceRequest(it.MakeId("a")));
      ServerAnswered shed = MakeNotRunAnswer(*it.Find<SendAttempt>());
      shed.headers.back().second = it.MakeId("b");
      it.Feed(shed);
      CPPUNIT_ASSERT(!it.Find<SendAttempt>());
      CPPUNIT_ASSERT(it.CodeFor(call) == ResultCode::kAnswerCorrupt);
    });
    Section("a request that every server sheds is never run", [] {
      PathFixture it;
      const std::string id = it.MakeId("a");
      const CallId call = it.SendCall(MakeAtMostOnceRequest(id));
      for (int i = 0; i < 3; ++i)
        it.Feed(MakeNotRunAnswer(*it.Find<SendAttempt>()));
      CPPUNIT_ASSERT(it.CodeFor(call) == ResultCode::kShedByServers);
      CPPUNIT_ASSERT(it.AnswerFor(call)->retry_after);
      const CallId late = it.SendCall(MakeAtMostOnceRequest(id));
      CPPUNIT_ASSERT(!it.Find<SendAttempt>());
      CPPUNIT_ASSERT(it.CodeFor(late) == ResultCode::kShedByServers);
    });
  }

  void RefusedIdsNeverRun() {
    Section("an at-most-once request without a ticket is refused", [] {
      PathFixture it;
      CPPUNIT_ASSERT(it.CodeFor(it.SendCall(MakeAtMostOnceRequest(""))) ==
                     ResultCode::kTicketMissing);
      CPPUNIT_ASSERT(it.CodeFor(it.SendCall(MakeAtMostOnceRequest("x"))) ==
                     ResultCode::kTicketInvalid);
    });
    Section("an id refused before the first configuration", [] {
      PathFixture it(/*is_ready=*/false);
      const std::string id = it.MakeId("a");
      CPPUNIT_ASSERT(it.CodeFor(it.SendCall(MakeAtMostOnceRequest(id))) ==
                     ResultCode::kNotReady);
      it.Configure(1, MakeDeclarations());
      Section("does not run when a late copy arrives", [&] {
        const CallId late = it.SendCall(MakeAtMostOnceRequest(id));
        CPPUNIT_ASSERT(!it.Find<SendAttempt>());
        CPPUNIT_ASSERT(it.CodeFor(late) == ResultCode::kNotReady);
      });
    });
    Section("a settled id", [] {
      PathFixture it;
      const std::string id = it.MakeId("a");
      CPPUNIT_ASSERT(it.CodeFor(it.AskOutcome(id, false)) ==
                     ResultCode::kOutcomeUncertain);
      CPPUNIT_ASSERT(it.CodeFor(it.AskOutcome(id, true)) ==
                     ResultCode::kSettledNotRun);
      Section("never runs", [&] {
        const CallId late = it.SendCall(MakeAtMostOnceRequest(id));
        CPPUNIT_ASSERT(!it.Find<SendAttempt>());
        CPPUNIT_ASSERT(it.CodeFor(late) == ResultCode::kSettledNotRun);
      });
    });
    Section("settling an id in flight changes nothing", [] {
      PathFixture it;
      const std::string id = it.MakeId("a");
      it.SendCall(MakeAtMostOnceRequest(id));
      const auto sent = it.Find<SendAttempt>();
      CPPUNIT_ASSERT(it.CodeFor(it.AskOutcome(id, true)) ==
                     ResultCode::kStillRunning);
      it.Feed(MakeAnswer(*sent));
      CPPUNIT_ASSERT(it.CodeFor(it.AskOutcome(id, true)) == ResultCode::kDone);
    });
  }

  void QueuedRequestsObserveDeadlines() {
    Section("a request that is queued while all servers are busy", [] {
      PathFixture it;
      const auto [sent, queued, id] = FillServers(it);
      Section("is not dispatched after its deadline",
              [&, &sent = sent, &id = id] {
                it.now += Seconds(2);
                it.Feed(MakeAnswer(sent[0]));
                CPPUNIT_ASSERT(!it.Find<SendAttempt>());
                it.Feed(Tick{});
                const ResultCode code = it.CodeFor(it.AskOutcome(id, false));
                CPPUNIT_ASSERT(OutcomeOf(code) == Outcome::kNotRun);
              });
    });
    Section("a request past its deadline is not sent to the chosen server", [] {
      PathFixture it;
      const FilledServers filled = FillServers(it);
      Internal::Context late{*it.path, it.now + Seconds(1), it.random, {}};
      Internal::ApplyPlacement(
          late, filled.queued,
          routing::Dispatch{filled.sent[0].server, "a free server"});
      it.last_actions = late.actions;
      CPPUNIT_ASSERT(!it.Find<SendAttempt>());
      CPPUNIT_ASSERT(it.CodeFor(filled.queued) ==
                     ResultCode::kDeadlineBeforeDispatch);
    });
    Section("a queued request that is settled is not dispatched", [] {
      PathFixture it;
      const auto [sent, queued, id] = FillServers(it);
      CPPUNIT_ASSERT(it.CodeFor(it.AskOutcome(id, true)) ==
                     ResultCode::kSettledNotRun);
      CPPUNIT_ASSERT(it.CodeFor(queued) == ResultCode::kSettledNotRun);
      it.Feed(MakeAnswer(sent[0]));
      CPPUNIT_ASSERT(!it.Find<SendAttempt>());
    });
  }

  void AbandonedCalls() {
    Section("a caller that leaves an at-most-once request in flight", [] {
      PathFixture it;
      const std::string id = it.MakeId("a");
      const CallId call = it.SendCall(MakeAtMostOnceRequest(id));
      const auto sent = it.Find<SendAttempt>();
      it.Feed(CallAbandoned{call});
      CPPUNIT_ASSERT(!it.Find<CancelAttempt>());
      Section("can ask for the outcome, even after the deadline", [&] {
        it.AdvanceTime(Seconds(2));
        it.Feed(MakeAnswer(*sent));
        CPPUNIT_ASSERT(it.CodeFor(it.AskOutcome(id, false)) ==
                       ResultCode::kDone);
      });
    });
    Section("the outcome of a request that is never answered stays unknown",
            [] {
              PathFixture it;
              const std::string id = it.MakeId("a");
              const CallId call = it.SendCall(MakeAtMostOnceRequest(id));
              it.AdvanceTime(Seconds(1));
              CPPUNIT_ASSERT(it.CodeFor(call) ==
                             ResultCode::kDeadlineAfterDispatch);
              it.AdvanceTime(Seconds(20));
              CPPUNIT_ASSERT(it.Find<CancelAttempt>());
              CPPUNIT_ASSERT(it.CodeFor(it.AskOutcome(id, true)) ==
                             ResultCode::kDeadlineAfterDispatch);
              CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                   StatusOf(*it.path, it.now).in_flight);
            });
    Section("a caller that leaves an idempotent request cancels it", [] {
      PathFixture it;
      const CallId call = it.SendCall(MakeIdempotentRequest());
      it.Feed(CallAbandoned{call});
      CPPUNIT_ASSERT(it.Find<CancelAttempt>());
    });
  }

  void CallsAreRelayedToTheirHome() {
    Section("an at-most-once request whose home is another instance", [] {
      PathFixture it;
      FleetMember home;
      home.instance = InstanceId(8);
      home.incarnation = Incarnation(0xcd);
      home.peer_endpoint = {"10.1.0.8", 7002};
      const std::string id = "t1.8.cd.1.a";
      Section("has an unknown outcome while the home is not in the fleet", [&] {
        CPPUNIT_ASSERT(it.CodeFor(it.SendCall(MakeAtMostOnceRequest(id))) ==
                       ResultCode::kHomeUnreachable);
      });
      it.Feed(FleetChanged{{home}});
      const CallId call = it.SendCall(MakeAtMostOnceRequest(id));
      Section("is relayed and not sent to a server", [&] {
        CPPUNIT_ASSERT(!it.Find<SendAttempt>());
        CPPUNIT_ASSERT(it.Find<RelayCall>()->endpoint == home.peer_endpoint);
      });
      Section("has an unknown outcome even when the relay was not sent", [&] {
        it.Feed(RelayFailed{call, false});
        CPPUNIT_ASSERT(it.CodeFor(call) == ResultCode::kHomeUnreachable);
      });
      Section("returns the home's answer", [&] {
        const CallId again = it.SendCall(MakeAtMostOnceRequest(id));
        CallerAnswer answer;
        answer.code = ResultCode::kDone;
        it.Feed(RelayAnswered{again, answer});
        CPPUNIT_ASSERT(it.CodeFor(again) == ResultCode::kDone);
      });
    });
  }

  void ConfigurationChangesKeepRequestsInFlight() {
    Section("a request in flight while its service is removed", [] {
      PathFixture it;
      const CallId call = it.SendCall(MakeAtMostOnceRequest(it.MakeId("a")));
      const auto sent = it.Find<SendAttempt>();
      declarations::Declarations fewer = MakeDeclarations();
      fewer.services.erase(fewer.services.begin());
      fewer.routes.erase(fewer.routes.begin());
      it.Configure(2, fewer);
      Section("is answered", [&] {
        it.Feed(MakeAnswer(*sent));
        CPPUNIT_ASSERT(it.CodeFor(call) == ResultCode::kDone);
      });
    });
    Section("an older version is not installed", [] {
      PathFixture it;
      it.Configure(3, MakeDeclarations());
      it.Configure(2, MakeDeclarations());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                           StatusOf(*it.path, it.now).version.value());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallsTest);

}  // namespace
}  // namespace ibisladder::callerpath
