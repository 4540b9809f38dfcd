// How the fleet task verifies that its configuration is the newest one.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>

#include "plugins/fleet/datagrams.h"
#include "plugins/fleet/fleet_task.h"
#include "tests/auto/fleet/whole_decoder.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::fleet {
namespace {

using ibisladder::testing::Section;
using storesync::Revision;

const ibisladder::testing::PortRange kPorts;
constexpr int kInstancePort = 1;
constexpr int kOtherPort = 2;
constexpr int kForgerPort = 3;
/// Of the watch by which the instance verifies its version by itself.
constexpr Duration kCheckWait = Millis(100);
/// Least time between two of these watches.
constexpr Duration kCheckInterval = Seconds(1);
/// Long enough for a machine whose cores are all busy.
constexpr Duration kTimeLimit = Seconds(30);
constexpr Duration kPollInterval = Millis(5);

Endpoint At(int port) { return {"127.0.0.1", kPorts.At(port)}; }

bool IsCheck(const storesync::Call& call) {
  const auto* watch = std::get_if<storesync::WatchCall>(&call);
  return watch != nullptr && watch->prefix == "op/" &&
         watch->wait == kCheckWait;
}

/// Lists one version of the configuration and the instances n0 and n1. Watches
/// stay open but for those by which the instance verifies its version.
class Store : public KvTransport {
 public:
  explicit Store(net::EventLoop& loop) : loop_(loop) {}

  void Send(std::uint64_t id, const storesync::Call& call) override {
    checks += IsCheck(call) ? 1 : 0;
    auto reply = ReplyTo(call);
    if (!reply) return;
    timers_[id] = std::make_unique<net::Timer>(
        loop_, net::Timer::Kind::kOnce, Millis(1),
        [this, id, it = std::move(*reply)] {
          signal_reply().emit(id, it, std::nullopt);
        });
  }
  void Cancel(std::uint64_t id) override { timers_.erase(id); }
  std::size_t ReceivedBytes(std::uint64_t /*id*/) const override { return 0; }

  std::string value() const {
    return is_readable ? std::to_string(version) : "unreadable";
  }

  int version = 1;
  bool is_readable = true;
  /// Writes besides one for each version.
  std::uint64_t writes = 0;
  bool answers_checks = true;
  int checks = 0;

 private:
  std::optional<storesync::Reply> ReplyTo(const storesync::Call& call) const {
    const storesync::LeaseReply lease{storesync::LeaseId(1), Seconds(3)};
    const Revision revision(static_cast<std::uint64_t>(version) + writes);
    if (const auto* it = std::get_if<storesync::RangeCall>(&call)) {
      storesync::RangeReply list{{}, false, revision};
      if (it->prefix == "op/") {
        list.items = {{"op/config", value(), revision}};
      } else if (it->prefix == "members/") {
        for (const int i : {0, 1}) {
          gateway::Member member;
          member.name = "n" + std::to_string(i);
          member.zone = ZoneName("a");
          member.peer_endpoint = At(i == 0 ? kOtherPort : kInstancePort);
          list.items.push_back({"members/" + member.name,
                                wire::EncodePortable(member), Revision(1)});
        }
      }
      return list;
    }
    if (std::holds_alternative<storesync::PutCall>(call))
      return storesync::Stored{};
    if (IsCheck(call) && answers_checks) {
      storesync::WatchReply reply{{}, revision};
      const auto& watch = std::get<storesync::WatchCall>(call);
      if (watch.after < revision) {
        reply.changes = {{"op/config", value(), revision}};
      }
      return reply;
    }
    if (std::holds_alternative<storesync::WatchCall>(call)) return std::nullopt;
    return lease;
  }

  net::EventLoop& loop_;
  std::map<std::uint64_t, std::unique_ptr<net::Timer>> timers_;
};

bool has_organisations = true;

Expected<gateway::Configuration> ParseConfiguration(std::string_view value) {
  if (value == "unreadable") {
    return Fail(ResultCode::kInternal, "op/config", "readable");
  }
  gateway::Configuration configuration;
  configuration.version = ConfigVersion(std::stoull(std::string(value)));
  if (has_organisations) configuration.organisations = {{"acme", {"k"}}};
  return configuration;
}

Expected<gateway::ServerEntry> ParseServer(std::string_view /*key*/,
                                           std::string_view /*value*/) {
  return gateway::ServerEntry{};
}

/// The instance n1, its store, and the other instance n0, which answers its
/// questions.
struct Fleet {
  explicit Fleet(bool is_strict) {
    FleetTask::Options options;
    options.self.name = "n1";
    options.self.zone = ZoneName("a");
    options.self.peer_endpoint = At(kInstancePort);
    options.schema = {&MakeWholeDecoder<ParseConfiguration>,
                      &ParseServer,
                      "op/",
                      "op/config",
                      "servers/",
                      "members/",
                      "era"};
    options.strict_revocation = is_strict;
    auto transport = std::make_unique<Store>(*loop);
    store = transport.get();
    task = std::move(*FleetTask::Create(*loop, options, std::move(transport)));
    task->signal_key_standing().connect(
        [this](const auto& it) { standing = it; });
    task->signal_configuration().connect([this](const auto& it) {
      // The forwarder installs no lower version.
      installed = std::max(installed, it->version);
      was_told_first = was_told_first && standing.accepted_until.has_value();
    });
    other->signal_received().connect([this](const net::Datagram& it) {
      if (static_cast<DatagramKind>(it.bytes.at(0)) !=
          DatagramKind::kFreshnessQuestion)
        return;
      ++questions;
      gateway::FreshnessQuestion question;
      CPPUNIT_ASSERT(wire::DecodeGrowing(it.bytes.substr(1), question));
      if (!answer) return;
      answer->number = question.number;
      (is_forged ? forger : other)
          ->Send(it.peer,
                 EncodeDatagram(DatagramKind::kFreshnessAnswer, *answer));
    });
  }

  void Run(Duration time) {
    const net::Timer end(*loop, net::Timer::Kind::kOnce, time,
                         [this] { loop->Stop(); });
    loop->Run();
  }
  /// Returns whether the condition held within the time limit.
  bool RunUntil(const std::function<bool()>& condition) {
    const TimePoint end = net::MonotonicNow() + kTimeLimit;
    const net::Timer poll(*loop, net::Timer::Kind::kPeriodic, kPollInterval,
                          [&] {
                            if (condition() || net::MonotonicNow() > end)
                              loop->Stop();
                          });
    loop->Run();
    return condition();
  }
  bool HasInstalled(std::uint64_t version) const {
    return installed.value() == version;
  }
  bool IsAccepting() const {
    return standing.accepted_until &&
           net::BootNow() <= *standing.accepted_until;
  }

  std::unique_ptr<net::EventLoop> loop = std::move(*net::EventLoop::Create());
  std::unique_ptr<net::UdpSocket> other =
      std::move(*net::UdpSocket::Bind(*loop, At(kOtherPort)));
  std::unique_ptr<net::UdpSocket> forger =
      std::move(*net::UdpSocket::Bind(*loop, At(kForgerPort)));
  Store* store = nullptr;
  std::unique_ptr<FleetTask> task;
  gateway::KeyStanding standing;
  ConfigVersion installed;
  bool was_told_first = true;
  int questions = 0;
  std::optional<gateway::FreshnessAnswer> answer;
  bool is_forged = false;
};

class FreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreshnessTest);
  CPPUNIT_TEST(DeploymentsWithoutTheBoundSendNothingMore);
  CPPUNIT_TEST(AnswersAndOwnWatchesVerifyTheVersion);
  CPPUNIT_TEST(StoredValuesThatMayHideARevocationVerifyNothing);
  CPPUNIT_TEST(StartsAreAnnouncedFromListedAddresses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override { has_organisations = true; }

  void DeploymentsWithoutTheBoundSendNothingMore() {
    for (const bool is_strict : {false, true}) {
      has_organisations = !is_strict;
      Fleet fleet(is_strict);
      fleet.answer = gateway::FreshnessAnswer{};
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.HasInstalled(1); }));
      fleet.Run(Seconds(3));
      CPPUNIT_ASSERT_EQUAL(0, fleet.questions);
      CPPUNIT_ASSERT_EQUAL(0, fleet.store->checks);
    }
  }

  void AnswersAndOwnWatchesVerifyTheVersion() {
    Fleet fleet(true);
    Section("the first list does, before the configuration is installed", [&] {
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.HasInstalled(1); }));
      CPPUNIT_ASSERT(fleet.was_told_first && fleet.IsAccepting());
    });
    Section("own watches go on doing so while nobody answers", [&] {
      const TimePoint first_end = *fleet.standing.accepted_until;
      const TimePoint start = net::MonotonicNow();
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.questions > 2; }));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.store->checks >= 4; }));
      const auto most =
          (net::MonotonicNow() - start).count() / kCheckInterval.count() + 1;
      CPPUNIT_ASSERT(fleet.store->checks <= most);
      // Three of the four watches have returned, each a second after the other.
      CPPUNIT_ASSERT(*fleet.standing.accepted_until >=
                     first_end + 3 * kCheckInterval);
    });
    Section("they find a version that the watch does not return", [&] {
      fleet.store->version = 2;
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.HasInstalled(2); }));
    });
    Section("answers of the same version do, while the store is silent", [&] {
      fleet.store->answers_checks = false;
      fleet.answer = gateway::FreshnessAnswer{};
      fleet.answer->version = ConfigVersion(2);
      // What the store verified has lapsed by then.
      fleet.Run(Seconds(5));
      CPPUNIT_ASSERT(fleet.RunUntil(
          [&] { return fleet.IsAccepting() && !fleet.standing.is_behind; }));
    });
    Section("forged ones don't", [&] {
      fleet.is_forged = true;
      fleet.Run(Millis(4700));
      CPPUNIT_ASSERT(!fleet.IsAccepting());
    });
    Section("one of a higher version makes it read the store", [&] {
      fleet.is_forged = false;
      fleet.store->version = 3;
      fleet.answer->version = ConfigVersion(3);
      CPPUNIT_ASSERT(fleet.RunUntil([&] {
        return fleet.HasInstalled(3) && fleet.IsAccepting() &&
               !fleet.standing.is_behind;
      }));
    });
  }

  // Guards against keys that are accepted on although the store's value, or one
  // that a restored store has lost, has revoked them.
  void StoredValuesThatMayHideARevocationVerifyNothing() {
    Fleet fleet(true);
    fleet.store->version = 5;
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.HasInstalled(5); }));
    const auto is_refusing = [&] { return !fleet.IsAccepting(); };
    const auto is_accepting = [&] { return fleet.IsAccepting(); };
    Section("an unreadable one", [&] {
      fleet.store->is_readable = false;
      ++fleet.store->writes;
      CPPUNIT_ASSERT(fleet.RunUntil(is_refusing));
      CPPUNIT_ASSERT(fleet.HasInstalled(5));
    });
    Section("the next readable one does", [&] {
      fleet.store->is_readable = true;
      ++fleet.store->writes;
      CPPUNIT_ASSERT(fleet.RunUntil(is_accepting));
    });
    Section("an older one", [&] {
      fleet.store->version = 4;
      fleet.store->writes += 2;
      CPPUNIT_ASSERT(fleet.RunUntil(is_refusing));
      CPPUNIT_ASSERT(fleet.HasInstalled(5));
    });
    Section("a newer one is installed", [&] {
      fleet.store->version = 6;
      CPPUNIT_ASSERT(fleet.RunUntil(
          [&] { return fleet.HasInstalled(6) && fleet.IsAccepting(); }));
    });
  }

  // Guards against keepers that grant the whole rate since anybody has told
  // them that the fleet has just started.
  void StartsAreAnnouncedFromListedAddresses() {
    Fleet fleet(false);
    std::vector<std::string> senders;
    fleet.task->signal_process_start().connect([&](const auto& it) {
      CPPUNIT_ASSERT(it.age == Micros(1500) && it.is_answer);
      senders.push_back(it.sender);
    });
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.task->members() == 2; }));
    limits::ProcessStart start;
    start.age = Micros(1500);
    start.is_answer = true;
    const auto send = [&](net::UdpSocket& socket, const std::string& sender) {
      start.sender = sender;
      // Later builds may add fields.
      socket.Send(At(kInstancePort),
                  EncodeDatagram(DatagramKind::kProcessStart, start) + "more");
    };
    send(*fleet.forger, "n0");
    send(*fleet.other, "n7");
    send(*fleet.other, "n0");
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return !senders.empty(); }));
    CPPUNIT_ASSERT(senders == std::vector<std::string>{"n0"});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreshnessTest);

}  // namespace
}  // namespace ibisladder::fleet
