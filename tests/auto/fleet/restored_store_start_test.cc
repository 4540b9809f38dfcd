// An instance that starts after the store was restored from an older copy, or
// that did not follow the store just before.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>

#include "tests/auto/fleet/scripted_fleet.h"
#include "tests/auto/fleet/whole_decoder.h"
#include "tests/auto/support/story.h"

namespace ibisladder::fleet {
namespace {

using ibisladder::testing::Section;
using storesync::Revision;

constexpr int kOtherPort = 0;
constexpr Duration kTimeLimit = Seconds(30);
/// Less than the time for which a restored store is doubted.
constexpr Duration kWhileDoubted = Seconds(6);

Expected<gateway::Configuration> ParseWithOrganisations(
    std::string_view value) {
  auto configuration = ParseConfiguration(value);
  configuration->organisations = {{"acme", {"k"}}};
  return configuration;
}

bool IsRecordList(const storesync::Call& call) {
  const auto* range = std::get_if<storesync::RangeCall>(&call);
  return range != nullptr && range->prefix == "era";
}

/// The instance n1 of zone a, a store in the era 2, and the instance n0 of
/// zone b, which answers questions if it knows a version.
struct Fleet {
  Fleet() {
    other->signal_received().connect(
        [this](const net::Datagram& it) { Answer(it); });
  }

  void Start() {
    auto options = MakeOptions("n1", kInstancePort);
    options.schema.make_configuration_decoder =
        &MakeWholeDecoder<ParseWithOrganisations>;
    options.strict_revocation = true;
    task = std::move(*FleetTask::Create(
        *loop, options,
        std::make_unique<ScriptedStore>(
            *loop, [this](const auto& it) { return ReplyTo(it); })));
    task->signal_key_standing().connect(
        [this](const auto& it) { standing = it; });
    task->signal_configuration().connect([this](const auto& it) {
      installed = std::max(installed, it->version);
      accepted_when_installed = IsAccepting();
    });
    task->signal_log().connect([this](const LogLine& it) {
      doubts += it.event == LogEvent::kStoreDoubted ? 1 : 0;
    });
  }

  std::optional<ScriptedReply> ReplyTo(const storesync::Call& call) {
    if (is_away) return ScriptedReply{NoReply()};
    std::optional<ScriptedReply> reply;
    if (IsConfigurationList(call)) {
      reply = ConfigurationList(version);
    } else if (IsRecordList(call)) {
      storesync::RangeReply list;
      if (!record.empty()) list.items = {{"era", record, Revision(3)}};
      reply = ScriptedReply{list};
    } else if (const auto* put = std::get_if<storesync::PutCall>(&call);
               put != nullptr && put->key == "era") {
      record = put->value;
      reply = ScriptedReply{storesync::Stored{}};
    } else if (const auto* range = std::get_if<storesync::RangeCall>(&call);
               range != nullptr && range->prefix == "members/" && has_other) {
      reply = ScriptedReply{Members()};
    } else if (const auto* watch = std::get_if<storesync::WatchCall>(&call);
               watch != nullptr && watch->wait <= Millis(100)) {
      reply = Checked(*watch);
    } else {
      reply = ReplyOfEmptyStore(call);
    }
    if (reply) reply->era = era;
    return reply;
  }

  ScriptedReply Checked(const storesync::WatchCall& call) const {
    const Revision revision(static_cast<std::uint64_t>(4 + version));
    storesync::WatchReply reply{{}, revision};
    if (call.after < revision)
      reply.changes = {{"op/config", std::to_string(version), revision}};
    return {reply};
  }

  static storesync::Reply Members() {
    gateway::Member member;
    member.name = "n0";
    member.zone = ZoneName("b");
    member.peer_endpoint = {"127.0.0.1", PortAt(kOtherPort)};
    return storesync::RangeReply{
        {{"members/n0", wire::EncodePortable(member), Revision(1)}},
        false,
        Revision(5)};
  }

  void Answer(const net::Datagram& it) {
    if (static_cast<DatagramKind>(it.bytes.at(0)) !=
        DatagramKind::kFreshnessQuestion)
      return;
    ++questions;
    gateway::FreshnessQuestion question;
    CPPUNIT_ASSERT(wire::DecodeGrowing(it.bytes.substr(1), question));
    if (!answer) return;
    answer->number = question.number;
    std::string bytes = EncodeDatagram(DatagramKind::kFreshnessAnswer, *answer);
    if (is_earlier_build) bytes.resize(bytes.size() - sizeof(std::uint64_t));
    other->Send(it.peer, bytes);
  }

  /// The other instance knows the version and no higher one.
  void Know(std::uint64_t known) {
    answer = gateway::FreshnessAnswer{};
    answer->version = ConfigVersion(known);
    answer->highest_known = ConfigVersion(known);
  }

  /// Runs until the condition holds, for the time at most.
  bool RunUntil(const std::function<bool()>& condition,
                Duration time = kTimeLimit) {
    const TimePoint end = net::MonotonicNow() + time;
    const net::Timer poll(*loop, net::Timer::Kind::kPeriodic, Millis(5), [&] {
      if (condition() || net::MonotonicNow() > end) loop->Stop();
    });
    loop->Run();
    return condition();
  }
  bool IsAccepting() const {
    return standing.accepted_until &&
           net::BootNow() <= *standing.accepted_until;
  }
  bool AcceptsWithin(Duration time) {
    return RunUntil([this] { return IsAccepting(); }, time);
  }

  std::unique_ptr<net::EventLoop> loop = std::move(*net::EventLoop::Create());
  std::unique_ptr<net::UdpSocket> other = std::move(
      *net::UdpSocket::Bind(*loop, {"127.0.0.1", PortAt(kOtherPort)}));
  std::unique_ptr<FleetTask> task;
  gateway::KeyStanding standing;
  ConfigVersion installed;
  bool accepted_when_installed = false;
  int doubts = 0;
  int questions = 0;
  std::optional<gateway::FreshnessAnswer> answer;
  bool is_earlier_build = false;

  /// Whether the store lists the other instance.
  bool has_other = true;
  bool is_away = false;
  storesync::StoreEra era{2};
  int version = 1;
  /// Of the era; empty: there is none.
  std::string record = "1";
};

class RestoredStoreStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredStoreStartTest);
  CPPUNIT_TEST(ConfirmedStoreIsTrustedAtOnce);
  CPPUNIT_TEST(InstancesOfOtherZonesTellWhetherAVersionIsLacking);
  CPPUNIT_TEST(WithoutAnAnswerKeysAreRefusedWhileTheStoreIsDoubted);
  CPPUNIT_TEST(InstanceThatHadLostTheStoreDoubtsItToo);
  CPPUNIT_TEST(LastInstanceLeavesWhileItDoubtsTheStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against calm starts that refuse keys or ask other instances.
  void ConfirmedStoreIsTrustedAtOnce() {
    for (const char* record : {"2", ""}) {
      Fleet fleet;
      fleet.record = record;
      fleet.Start();
      CPPUNIT_ASSERT(
          fleet.RunUntil([&] { return fleet.installed == ConfigVersion(1); }));
      CPPUNIT_ASSERT(fleet.accepted_when_installed);
      CPPUNIT_ASSERT_EQUAL(0, fleet.doubts);
      Section("the zone's watcher confirms it for later starts", [&] {
        CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.record == "2"; }));
      });
    }
  }

  /// Guards against keys that run although a version that the store has lost
  /// removed them, which only an instance of another zone knows.
  void InstancesOfOtherZonesTellWhetherAVersionIsLacking() {
    Section("none is lacking", [] {
      Fleet fleet;
      fleet.Know(1);
      fleet.Start();
      CPPUNIT_ASSERT(fleet.AcceptsWithin(kWhileDoubted));
      CPPUNIT_ASSERT_EQUAL(1, fleet.doubts);
    });
    Section("a version is lacking until it is written again", [] {
      Fleet fleet;
      fleet.Know(2);
      fleet.Start();
      CPPUNIT_ASSERT(!fleet.AcceptsWithin(Seconds(3)));
      CPPUNIT_ASSERT(fleet.standing.is_behind && fleet.questions > 0);
      fleet.answer.reset();
      fleet.version = 2;
      CPPUNIT_ASSERT(fleet.AcceptsWithin(kWhileDoubted));
      CPPUNIT_ASSERT(fleet.installed == ConfigVersion(2));
    });
    Section("one that the other instance itself has only heard of", [] {
      Fleet fleet;
      fleet.Know(1);
      fleet.answer->highest_known = ConfigVersion(2);
      fleet.answer->age_us = Seconds(5).count();
      fleet.Start();
      CPPUNIT_ASSERT(!fleet.AcceptsWithin(Seconds(3)));
    });
  }

  /// Guards against a process that takes a restored store's version for the
  /// newest because it reaches no instance that knows better.
  void WithoutAnAnswerKeysAreRefusedWhileTheStoreIsDoubted() {
    Fleet fleet;
    fleet.is_earlier_build = true;
    fleet.Know(1);
    fleet.answer->age_us = Seconds(5).count();
    fleet.is_away = true;
    fleet.Start();
    Section("the store is away at the start", [&] {
      CPPUNIT_ASSERT(!fleet.AcceptsWithin(Seconds(1)));
      fleet.is_away = false;
    });
    Section("nor does an instance tell which versions it has heard of", [&] {
      CPPUNIT_ASSERT(!fleet.AcceptsWithin(kWhileDoubted));
      CPPUNIT_ASSERT(fleet.questions > 0 && fleet.doubts == 1);
    });
    Section("in time, all has been written again", [&] {
      CPPUNIT_ASSERT(fleet.AcceptsWithin(kWhileDoubted));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.record == "2"; }));
    });
  }

  /// Guards against an instance that did not reach the store while a version
  /// was written that it lost soon after.
  void InstanceThatHadLostTheStoreDoubtsItToo() {
    Fleet fleet;
    fleet.record = "2";
    fleet.Start();
    CPPUNIT_ASSERT(fleet.AcceptsWithin(kTimeLimit));
    fleet.is_away = true;
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return !fleet.IsAccepting(); }));
    fleet.era = storesync::StoreEra(3);
    fleet.is_away = false;
    CPPUNIT_ASSERT(!fleet.AcceptsWithin(Seconds(3)));
    CPPUNIT_ASSERT_EQUAL(1, fleet.doubts);
    Section("until another one answers", [&] {
      fleet.Know(1);
      CPPUNIT_ASSERT(fleet.AcceptsWithin(Seconds(3)));
    });
  }

  /// Guards against a process that ends since it looks for another instance to
  /// ask and knows none, not even itself.
  void LastInstanceLeavesWhileItDoubtsTheStore() {
    Fleet fleet;
    fleet.has_other = false;
    fleet.Start();
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.doubts > 0; }));
    fleet.task->Leave();
    CPPUNIT_ASSERT(!fleet.AcceptsWithin(Seconds(2)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreStartTest);

}  // namespace
}  // namespace ibisladder::fleet
