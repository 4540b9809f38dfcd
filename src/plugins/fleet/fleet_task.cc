#include "plugins/fleet/fleet_task.h"

#include <utility>

#include "libs/wire/bounded_archive.h"

namespace ibisladder::fleet {
namespace {

/// Due calls and lapsed keys are looked at so often.
constexpr Duration kStepInterval = Millis(100);
/// Members and configuration change seldom; a herd of changes is read at once.
constexpr Duration kMembersPace = Millis(500);
constexpr Duration kConfigurationPace = Millis(50);
constexpr Duration kServersWait = Seconds(2);
/// Failed calls in a row from which on the store counts as lost.
constexpr std::uint32_t kLostAfter = 3;

/// The one datagram between instances.
struct EvidenceDatagram {
  InstanceId sender;
  std::vector<detection::Digest> digests;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, digests);
  }
};

InstanceId IdOf(const gateway::Member& member) {
  return InstanceId(static_cast<std::uint32_t>(member.incarnation.value()));
}

storesync::ViewSettings ViewOf(const std::string& prefix, Duration pace) {
  storesync::ViewSettings settings;
  settings.prefix = prefix;
  settings.pace = pace;
  return settings;
}

}  // namespace

Expected<std::unique_ptr<FleetTask>> FleetTask::Create(
    net::EventLoop& loop, const Options& options,
    std::unique_ptr<KvTransport> transport) {
  auto peers = net::UdpSocket::Bind(loop, options.self.peers);
  if (!peers) return tl::unexpected<Error>(peers.error());
  std::unique_ptr<FleetTask> task(
      new FleetTask(loop, options, std::move(transport), std::move(*peers)));
  task->Connect();
  return task;
}

FleetTask::FleetTask(net::EventLoop& loop, Options options,
                     std::unique_ptr<KvTransport> transport,
                     std::unique_ptr<net::UdpSocket> peers)
    : options_(std::move(options)),
      transport_(std::move(transport)),
      peers_(std::move(peers)),
      random_(options_.seed),
      configuration_(storesync::MakeStoreView(
          ViewOf(options_.reader.configuration_prefix, kConfigurationPace))),
      servers_(storesync::MakeStoreView(
          ViewOf(options_.reader.servers_prefix, options_.servers_pace))),
      member_items_(storesync::MakeStoreView(
          ViewOf(options_.reader.members_prefix, kMembersPace))),
      members_{options_.self},
      step_(loop, net::Timer::Kind::kPeriodic, kStepInterval,
            [this] { Step(); }) {
  servers_.settings.watch_wait = kServersWait;
  registration_.key = options_.reader.members_prefix + options_.self.name;
  registration_.value = wire::EncodePortable(options_.self);
}

void FleetTask::Connect() {
  transport_->signal_reply().connect(
      [this](std::uint64_t id, const storesync::Reply& reply) {
        HandleReply(id, reply);
      });
  peers_->signal_received().connect(
      [this](const net::Datagram& it) { HandleDatagram(it); });
}

void FleetTask::Step() {
  const TimePoint now = net::MonotonicNow();
  SendDue(configuration_, Asker::kConfiguration);
  SendDue(servers_, Asker::kServers);
  SendDue(member_items_, Asker::kMembers);
  SendDueRegistration();
  if (storesync::DropMissing(servers_, now)) ApplyServers();
  if (storesync::DropMissing(member_items_, now)) ApplyMembers();
}

void FleetTask::SendDue(storesync::StoreView& view, Asker asker) {
  if (const auto call = storesync::NextCall(view, net::MonotonicNow())) {
    Send(asker, *call);
  }
}

void FleetTask::SendDueRegistration() {
  if (const auto call =
          storesync::NextCall(registration_, net::MonotonicNow())) {
    Send(Asker::kRegistration, *call);
  }
}

void FleetTask::Send(Asker asker, const storesync::Call& call) {
  open_calls_[++last_call_] = asker;
  transport_->Send(last_call_, call);
}

void FleetTask::HandleReply(std::uint64_t id, const storesync::Reply& reply) {
  const auto it = open_calls_.find(id);
  if (it == open_calls_.end()) return;
  const Asker asker = it->second;
  open_calls_.erase(it);
  NoteReach(reply);
  const TimePoint now = net::MonotonicNow();
  switch (asker) {
    case Asker::kConfiguration:
      if (storesync::HandleReply(configuration_, reply, now, random_)) {
        ApplyConfiguration();
      }
      SendDue(configuration_, asker);
      break;
    case Asker::kServers:
      if (storesync::HandleReply(servers_, reply, now, random_)) {
        ApplyServers();
      }
      SendDue(servers_, asker);
      break;
    case Asker::kMembers:
      if (storesync::HandleReply(member_items_, reply, now, random_)) {
        ApplyMembers();
      }
      SendDue(member_items_, asker);
      break;
    case Asker::kRegistration:
      storesync::HandleReply(registration_, reply, now, random_);
      SendDueRegistration();
      break;
  }
}

void FleetTask::NoteReach(const storesync::Reply& reply) {
  const auto* failed = std::get_if<storesync::CallFailed>(&reply);
  if (failed == nullptr) {
    failures_in_row_ = 0;
    if (std::exchange(is_store_lost_, false)) {
      Log(LogEvent::kStoreBack, {{"calls", std::to_string(last_call_)}});
    }
    return;
  }
  ++failures_;
  if (++failures_in_row_ < kLostAfter || is_store_lost_) return;
  is_store_lost_ = true;
  Log(LogEvent::kStoreLost, {{"reason", storesync::ReasonName(failed->reason)},
                             {"failures", std::to_string(failures_in_row_)}});
}

void FleetTask::ApplyConfiguration() {
  const auto it = configuration_.items.find(options_.reader.configuration_key);
  if (it == configuration_.items.end()) return;
  auto read = options_.reader.read_configuration(it->second.value);
  if (!read) {
    Log(LogEvent::kConfigurationFetchFailed,
        {{"place", read.error().place}, {"reason", read.error().message}});
    return;
  }
  configuration_changed_.emit(
      std::make_shared<const gateway::Configuration>(std::move(*read)));
}

void FleetTask::ApplyServers() {
  std::vector<gateway::ServerEntry> entries;
  for (const auto& [key, item] : servers_.items) {
    auto entry = options_.reader.read_server(key, item.value);
    if (entry) {
      entries.push_back(std::move(*entry));
      unreadable_.erase(key);
      continue;
    }
    const bool is_known = unreadable_.contains(key);
    unreadable_[key] = item.changed_at;
    if (is_known) continue;
    Log(LogEvent::kServerEntryUnreadable,
        {{"key", key}, {"reason", entry.error().message}});
  }
  if (entries == entries_) return;
  entries_ = std::move(entries);
  servers_changed_.emit(entries_);
}

void FleetTask::ApplyMembers() {
  std::vector<gateway::Member> members;
  bool has_self = false;
  for (const auto& [key, item] : member_items_.items) {
    gateway::Member member;
    if (!wire::DecodePortable(item.value, member)) continue;
    has_self |= member.name == options_.self.name;
    members.push_back(std::move(member));
  }
  if (!has_self && !registration_.is_ending) members.push_back(options_.self);
  if (members == members_) return;
  members_ = std::move(members);
  Log(LogEvent::kMembersChanged,
      {{"members", std::to_string(members_.size())}});
  in_use_changed_.emit(gateway::InUse(members_, options_.directory).size());
}

void FleetTask::ShareEvidence(const std::vector<detection::Digest>& digests) {
  const std::string bytes =
      wire::EncodePortable(EvidenceDatagram{IdOf(options_.self), digests});
  for (const auto& it : members_) {
    if (it.name != options_.self.name) peers_->Send(it.peers, bytes);
  }
}

void FleetTask::HandleDatagram(const net::Datagram& datagram) {
  EvidenceDatagram evidence;
  if (!wire::DecodePortable(datagram.bytes, evidence)) {
    Log(LogEvent::kDatagramDropped,
        {{"peer", FormatEndpoint(datagram.peer)}, {"reason", "malformed"}});
    return;
  }
  evidence_.emit(evidence.sender, evidence.digests);
}

void FleetTask::Leave() {
  storesync::End(registration_, net::MonotonicNow());
  std::erase_if(members_, [this](const auto& it) {
    return it.name == options_.self.name;
  });
  SendDueRegistration();
}

std::vector<Endpoint> FleetTask::AddressesFor(const ZoneName& zone) const {
  return gateway::AddressesFor(members_, zone, options_.directory);
}

void FleetTask::Log(LogEvent event, std::vector<LogField> fields) {
  log_.emit(LogLine{event, std::move(fields)});
}

}  // namespace ibisladder::fleet
