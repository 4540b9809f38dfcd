#include "plugins/fleet/fleet_task.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::fleet {
namespace {

using ibisladder::testing::Section;
using storesync::CallFailed;
using storesync::Revision;

const ibisladder::testing::PortRange kPorts;
constexpr char kConfigurationPrefix[] = "op/";

/// Replies to each call with the script's result; without one the call stays
/// open.
class ScriptedStore : public KvTransport {
 public:
  using Script =
      std::function<std::optional<storesync::Reply>(const storesync::Call&)>;

  ScriptedStore(net::EventLoop& loop, Script script)
      : loop_(loop), script_(std::move(script)) {}

  void Send(std::uint64_t id, const storesync::Call& call) override {
    const auto reply = script_(call);
    if (!reply) return;
    timers_.push_back(std::make_unique<net::Timer>(
        loop_, net::Timer::Kind::kOnce, Millis(1),
        [this, id, reply] { signal_reply().emit(id, *reply); }));
  }

 private:
  net::EventLoop& loop_;
  Script script_;
  std::vector<std::unique_ptr<net::Timer>> timers_;
};

Expected<gateway::Configuration> ParseConfiguration(std::string_view value) {
  gateway::Configuration configuration;
  configuration.version = ConfigVersion(std::stoull(std::string(value)));
  return configuration;
}

Expected<gateway::ServerEntry> ParseServer(std::string_view key,
                                           std::string_view /*value*/) {
  gateway::ServerEntry entry;
  entry.name = key;
  return entry;
}

FleetTask::Options MakeOptions(const std::string& name, int port) {
  FleetTask::Options options;
  options.self.name = name;
  options.self.zone = ZoneName("a");
  options.self.peer_endpoint = {"127.0.0.1", kPorts.At(port)};
  options.schema = {&ParseConfiguration, &ParseServer, kConfigurationPrefix,
                    "op/config",         "servers/",   "members/"};
  return options;
}

bool IsConfigurationList(const storesync::Call& call) {
  const auto* range = std::get_if<storesync::RangeCall>(&call);
  return range != nullptr && range->prefix == kConfigurationPrefix;
}

class FleetTaskTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetTaskTest);
  CPPUNIT_TEST(LostWatchIsReplacedAfterOutage);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// While the store is silent, the open watch on the configuration is lost and
  /// never returns. Without a new list, the instance would keep the old
  /// version.
  void LostWatchIsReplacedAfterOutage() {
    auto loop = std::move(*net::EventLoop::Create());
    int renewals = 0;
    int version = 1;
    const auto script =
        [&](const storesync::Call& call) -> std::optional<storesync::Reply> {
      if (IsConfigurationList(call)) {
        return storesync::RangeReply{
            {{"op/config", std::to_string(version), Revision(4 + version)}},
            false,
            Revision(5)};
      }
      if (std::holds_alternative<storesync::RangeCall>(call)) {
        return storesync::RangeReply{{}, false, Revision(5)};
      }
      if (std::holds_alternative<storesync::GrantLeaseCall>(call)) {
        return storesync::LeaseReply{storesync::LeaseId(1), Seconds(3)};
      }
      if (std::holds_alternative<storesync::PutCall>(call)) {
        return storesync::Stored{};
      }
      if (std::holds_alternative<storesync::RenewLeaseCall>(call)) {
        version = 2;
        if (++renewals == 1) return CallFailed{CallFailed::Reason::kNoReply};
        return storesync::LeaseReply{storesync::LeaseId(1), Seconds(3)};
      }
      return std::nullopt;
    };
    auto task = std::move(
        *FleetTask::Create(*loop, MakeOptions("n1", 1),
                           std::make_unique<ScriptedStore>(*loop, script)));
    std::uint64_t seen = 0;
    task->signal_configuration().connect(
        [&](const gateway::ConfigurationPtr& it) {
          seen = it->version.value();
          if (seen == 2) loop->Stop();
        });
    net::Timer guard(*loop, net::Timer::Kind::kOnce, Seconds(20),
                     [&] { loop->Stop(); });
    loop->Run();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, seen);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTaskTest);

}  // namespace
}  // namespace ibisladder::fleet
