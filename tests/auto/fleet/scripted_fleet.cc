#include "tests/auto/fleet/scripted_fleet.h"

#include <utility>

#include "tests/auto/fleet/whole_decoder.h"
#include "tests/auto/support/port_range.h"

namespace ibisladder::fleet {
namespace {

using storesync::CallFailed;
using storesync::Revision;

const ibisladder::testing::PortRange kPorts;

Expected<gateway::ServerEntry> ParseServer(std::string_view key,
                                           std::string_view /*value*/) {
  gateway::ServerEntry entry;
  entry.name = key;
  return entry;
}

}  // namespace

std::uint16_t PortAt(int index) { return kPorts.At(index); }

Expected<gateway::Configuration> ParseConfiguration(std::string_view value) {
  gateway::Configuration configuration;
  configuration.version = ConfigVersion(std::stoull(std::string(value)));
  return configuration;
}

FleetTask::Options MakeOptions(const std::string& name, int port) {
  FleetTask::Options options;
  options.self.name = name;
  options.self.zone = ZoneName("a");
  options.self.peer_endpoint = {"127.0.0.1", PortAt(port)};
  options.schema = {&MakeWholeDecoder<ParseConfiguration>,
                    &ParseServer,
                    kConfigurationPrefix,
                    "op/config",
                    "servers/",
                    "members/",
                    "era"};
  return options;
}

bool IsConfigurationList(const storesync::Call& call) {
  const auto* range = std::get_if<storesync::RangeCall>(&call);
  return range != nullptr && range->prefix == kConfigurationPrefix;
}

bool IsConfigurationWatch(const storesync::Call& call) {
  const auto* watch = std::get_if<storesync::WatchCall>(&call);
  return watch != nullptr && watch->prefix == kConfigurationPrefix;
}

bool IsRenewal(const storesync::Call& call) {
  return std::holds_alternative<storesync::RenewLeaseCall>(call);
}

storesync::Reply NoReply() { return CallFailed{CallFailed::Reason::kNoReply}; }

ScriptedReply ConfigurationList(int version, Duration delay) {
  return {storesync::RangeReply{
              {{"op/config", std::to_string(version), Revision(4 + version)}},
              false,
              Revision(5)},
          delay};
}

ScriptedReply WatchedVersions(const std::vector<int>& versions) {
  storesync::WatchReply reply;
  for (const int it : versions) {
    reply.changes.push_back(
        {"op/config", std::to_string(it), Revision(4 + it)});
  }
  reply.store_revision = reply.changes.back().changed_at;
  return {reply};
}

std::optional<ScriptedReply> ReplyOfEmptyStore(const storesync::Call& call) {
  const storesync::LeaseReply lease{storesync::LeaseId(1), Seconds(3)};
  if (std::holds_alternative<storesync::RangeCall>(call))
    return ScriptedReply{storesync::RangeReply{{}, false, Revision(5)}};
  if (std::holds_alternative<storesync::GrantLeaseCall>(call))
    return ScriptedReply{lease};
  if (std::holds_alternative<storesync::PutCall>(call))
    return ScriptedReply{storesync::Stored{}};
  if (IsRenewal(call)) return ScriptedReply{lease};
  return std::nullopt;
}

void RunInstance(net::EventLoop& loop, Duration time,
                 const ScriptedStore::Script& script) {
  auto task = std::move(
      *FleetTask::Create(loop, MakeOptions("n1", kInstancePort),
                         std::make_unique<ScriptedStore>(loop, script)));
  const net::Timer guard(loop, net::Timer::Kind::kOnce, time,
                         [&] { loop.Stop(); });
  loop.Run();
}

bool InstallsVersion(net::EventLoop& loop, std::uint64_t version,
                     const ScriptedStore::Script& script, Duration time) {
  auto task = std::move(
      *FleetTask::Create(loop, MakeOptions("n1", kInstancePort),
                         std::make_unique<ScriptedStore>(loop, script)));
  bool is_installed = false;
  task->signal_configuration().connect(
      [&](const gateway::ConfigurationPtr& it) {
        is_installed = it->version.value() == version;
        if (is_installed) loop.Stop();
      });
  const net::Timer guard(loop, net::Timer::Kind::kOnce, time,
                         [&] { loop.Stop(); });
  loop.Run();
  return is_installed;
}

}  // namespace ibisladder::fleet
