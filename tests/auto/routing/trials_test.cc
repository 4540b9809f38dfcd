// Tests which server on trial gets a request, and when. Guards against sound
// servers that stay without requests because others are tried instead.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>

#include "libs/routing/router.h"
#include "tests/auto/routing/support.h"
#include "tests/auto/support/story.h"

namespace ibisladder::routing {
namespace {

using detection::AttemptEnd;
using detection::ServerState;
using testing::Section;

constexpr TimePoint kStart(Seconds(100));
constexpr Duration kDelay = Seconds(5);

class TrialsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrialsTest);
  CPPUNIT_TEST(FailingServersDoNotDelayOthers);
  CPPUNIT_TEST(ServersThatAnswerAreTriedAgainFirst);
  CPPUNIT_TEST(UnservedElsewhereShowsALackOfServers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    service_.floor_percent = 70;
    router_ = MakeRouter(service_, Here(), kStart);
    ChoiceSettings choice;
    choice.trials_allow_any_request = true;
    choice.trial_spacing = 2;
    choice.at_most_once_trial_delay = kDelay;
    SetChoiceSettings(*router_, choice);
    random_.seed(1);
    now_ = kStart;
    servers_ = MakeServers(6, 0);
    for (int i = 0; i < 3; ++i) servers_[i].state = ServerState::kProbation;
    SetCandidates(*router_, servers_, 1, now_);
  }

  /// The last server of the list got no trial while those before it failed
  /// theirs, at all instances alike.
  void FailingServersDoNotDelayOthers() {
    now_ += kDelay;
    std::map<int, int> trials;
    for (int n = 0; n < 30; ++n) ++trials[TrialOf(AttemptEnd::kError)];
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, trials.size());
    for (const auto& [server, n] : trials) CPPUNIT_ASSERT(n >= 5);
  }

  /// Where requests are few, the answers that restore a server took many
  /// seconds, as each trial waited for its turn.
  void ServersThatAnswerAreTriedAgainFirst() {
    now_ += kDelay;
    for (int n = 0; n < 10; ++n) {
      const int server = TrialOf(AttemptEnd::kOk);
      Section("the one that answered gets the next request",
              [&] { CPPUNIT_ASSERT(NextTrial(AttemptEnd::kOk) == server); });
      // As if it had failed and its ejection were over.
      servers_[server].state = ServerState::kEjected;
      SetCandidates(*router_, servers_, 1, now_);
      now_ += Millis(1);
      servers_[server].state = ServerState::kProbation;
      SetCandidates(*router_, servers_, 1, now_);
      Section("none has answered on a new trial", [&] {
        CPPUNIT_ASSERT(!NextTrial(AttemptEnd::kOk));
        CPPUNIT_ASSERT(!NextTrial(AttemptEnd::kOk));
      });
      now_ += kDelay;
    }
  }

  /// Servers waited out the delay for at-most-once trials while the requests of
  /// their route went unserved at another service.
  void UnservedElsewhereShowsALackOfServers() {
    now_ += Seconds(1);
    Section("served elsewhere", [&] {
      for (int n = 0; n < 20; ++n) RecordCallOutcome(*router_, true);
      for (int n = 0; n < 10; ++n) CPPUNIT_ASSERT(!NextTrial(AttemptEnd::kOk));
    });
    Section("unserved elsewhere", [&] {
      for (int n = 0; n < 8; ++n) RecordCallOutcome(*router_, false);
      CPPUNIT_ASSERT(NextTrial(AttemptEnd::kOk));
    });
  }

 private:
  /// Sends an at-most-once request 100 ms after the one before. Ends it with
  /// `end` if it is a trial, and with a good answer otherwise. Returns the
  /// index of the server on trial that got it.
  std::optional<int> NextTrial(AttemptEnd end) {
    now_ += Millis(100);
    const auto placement = Place(
        *router_, MakeRequest(++last_call_, now_ + Seconds(5)), now_, random_);
    const BackendServerId id = std::get<Dispatch>(placement).server;
    for (int i = 0; i < 3; ++i) {
      const bool is_trial =
          servers_[i].id == id && servers_[i].state == ServerState::kProbation;
      if (!is_trial) continue;
      AttemptEnded(*router_, id, end, Millis(20), now_);
      return i;
    }
    AttemptEnded(*router_, id, AttemptEnd::kOk, Millis(20), now_);
    return std::nullopt;
  }
  /// Returns the server of the next trial, which ends with `end`.
  int TrialOf(AttemptEnd end) {
    constexpr int kMaxRequests = 20;
    for (int n = 0; n < kMaxRequests; ++n) {
      if (const auto it = NextTrial(end)) return *it;
    }
    CPPUNIT_FAIL("no trial");
    return -1;
  }

  declarations::Service service_;
  RouterPtr router_;
  std::uint64_t last_call_ = 0;
  std::vector<Candidate> servers_;
  Random random_;
  TimePoint now_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrialsTest);

}  // namespace
}  // namespace ibisladder::routing
