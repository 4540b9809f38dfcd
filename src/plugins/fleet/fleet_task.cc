#include "plugins/fleet/fleet_task.h"

#include <algorithm>
#include <utility>

#include "libs/wire/bounded_archive.h"
#include "plugins/fleet/datagrams.h"
#include "plugins/fleet/member_codec.h"

namespace ibisladder::fleet {
namespace {

/// Interval at which due calls and lapsed keys are checked.
constexpr Duration kTickInterval = Millis(100);
constexpr Duration kMinConfigurationWatchInterval = Millis(50);
/// Batches the changes, since servers update their entries all the time.
constexpr Duration kMinServersWatchInterval = Millis(300);
constexpr Duration kMinMembersWatchInterval = Millis(500);
/// Instances that start at the same time have registered by then.
constexpr Duration kFirstMembersReadDelay = Millis(700);
/// Short, so that a watcher soon notices that the store does not reply to it.
constexpr Duration kServersWatchWait = Millis(300);
/// A watcher sends no updates if the store's last reply is older.
constexpr Duration kMaxReplyAge = Millis(800);
/// How long differences from the watcher may last before the lists are read
/// again. Reordered datagrams cause shorter ones.
constexpr Duration kSyncTimeout = Millis(350);

storesync::ViewSettings MakeViewSettings(const std::string& prefix,
                                         Duration min_watch_interval) {
  storesync::ViewSettings settings;
  settings.prefix = prefix;
  settings.min_watch_interval = min_watch_interval;
  return settings;
}

/// Copies an entry that the store lacks since an outage. What is known of it
/// counts, and not this instance's copy of the store, which may be as old as
/// the last time that it watched.
template <typename Entry>
void CopyEntry(const std::map<std::string, Entry>& known,
               const std::string& name, std::map<std::string, Entry>& listed) {
  if (const auto it = known.find(name); it != known.end()) listed.insert(*it);
}

}  // namespace

Expected<std::unique_ptr<FleetTask>> FleetTask::Create(
    net::EventLoop& loop, const Options& options,
    std::unique_ptr<KvTransport> transport) {
  auto peers = net::UdpSocket::Bind(loop, options.self.peer_endpoint);
  if (!peers) return tl::unexpected<Error>(peers.error());
  std::unique_ptr<FleetTask> task(
      new FleetTask(loop, options, std::move(transport), std::move(*peers)));
  task->ConnectSignals();
  return task;
}

FleetTask::FleetTask(net::EventLoop& loop, Options options,
                     std::unique_ptr<KvTransport> transport,
                     std::unique_ptr<net::UdpSocket> peers)
    : loop_(loop),
      options_(std::move(options)),
      transport_(std::move(transport)),
      peer_socket_(std::move(peers)),
      random_(options_.seed),
      configuration_view_(storesync::MakeStoreView(
          MakeViewSettings(options_.schema.configuration_prefix,
                           kMinConfigurationWatchInterval))),
      servers_view_(storesync::MakeStoreView(MakeViewSettings(
          options_.schema.servers_prefix, kMinServersWatchInterval))),
      members_view_(storesync::MakeStoreView(MakeViewSettings(
          options_.schema.members_prefix, kMinMembersWatchInterval))),
      members_{options_.self},
      tick_timer_(loop, net::Timer::Kind::kPeriodic, kTickInterval,
                  [this] { Tick(); }) {
  servers_view_.settings.watch_wait = kServersWatchWait;
  lists_.members.emplace(options_.self.name, options_.self);
  watch_duty_ = {
      options_.self.name, options_.self.zone, net::MonotonicNow(), {}};
  members_view_.next_call_at = net::MonotonicNow() + kFirstMembersReadDelay;
  freshness_.revocation_time = options_.revocation_time;
  configuration_view_.settings.watch_wait = ConfigurationWatchWait();
  trust_.key = options_.schema.era_key;
  registration_.key = options_.schema.members_prefix + options_.self.name;
  registration_.value = wire::EncodePortable(options_.self);
}

void FleetTask::ConnectSignals() {
  transport_->signal_reply().connect(
      [this](std::uint64_t id, const storesync::Reply& reply,
             std::optional<storesync::StoreEra> era) {
        HandleReply(id, reply, era);
      });
  peer_socket_->signal_received().connect(
      [this](const net::Datagram& it) { HandleDatagram(it); });
}

void FleetTask::Tick() {
  const TimePoint now = net::MonotonicNow();
  TrackProgress(now);
  UpdateWatchDuty(now);
  RelistIfOutdated(now);
  UpdateViewPauses();
  // The reply decides whether the list of the configuration verifies it.
  SendDueTrustCall(now);
  SendDue(configuration_view_, CallOwner::kConfiguration);
  SendDue(servers_view_, CallOwner::kServers);
  SendDue(members_view_, CallOwner::kMembers);
  SendDueRegistration();
  if (storesync::RemoveLapsedKeys(servers_view_, now)) ApplyServers();
  if (storesync::RemoveLapsedKeys(members_view_, now)) ApplyMembers();
  EndDoubtIfDue(now);
  SendUpdateIfDue(now);
  TellVersionIfDue(now);
  AskForLimitsIfDue(now);
  TickFreshness();
}

void FleetTask::UpdateWatchDuty(TimePoint now) {
  const bool must_watch = gateway::MustWatch(watch_duty_, lists_, now);
  if (must_watch == is_watching_) return;
  is_watching_ = must_watch;
  Log(LogEvent::kWatchDutyChanged, {{"watching", must_watch ? "yes" : "no"}});
  configuration_view_.settings.watch_wait = ConfigurationWatchWait();
  if (must_watch) {
    update_log_.announced = lists_;
    RelistServersAndMembers("starts to watch", now);
    Relist(configuration_view_, CallOwner::kConfiguration, "starts to watch",
           now);
  }
  lists_differ_since_.reset();
}

void FleetTask::RelistIfOutdated(TimePoint now) {
  if (lists_differ_since_ && now - *lists_differ_since_ > kSyncTimeout) {
    storesync::EndLapseGrace(servers_view_);
    storesync::EndLapseGrace(members_view_);
    RelistServersAndMembers("differs from the watcher's lists", now);
    lists_differ_since_.reset();
  }
  // The version that is being decoded may be the announced one.
  if (!configuration_read_ && gateway::TakeDueRead(lag_, now)) {
    Relist(configuration_view_, CallOwner::kConfiguration,
           "a higher version is announced", now);
  }
}

bool FleetTask::AreListsCurrent(TimePoint now) const {
  return is_watching_ &&
         storesync::IsCurrent(servers_view_, now, kMaxReplyAge) &&
         members_view_.is_complete && !members_view_.is_listing;
}

void FleetTask::SendUpdateIfDue(TimePoint now) {
  const bool was_announcing =
      std::exchange(is_announcing_, AreListsCurrent(now));
  if (!is_announcing_ || registration_.is_ending) return;
  if (!was_announcing)
    update_log_ = gateway::StartUpdateLog(update_log_.announced, lists_);
  if (!gateway::IsUpdateDue(update_log_, lists_, now)) return;
  gateway::ListUpdate update = gateway::MakeUpdate(update_log_, lists_, now);
  update.sender = options_.self.name;
  update.configuration = gateway::HighestKnown(lag_);
  const std::string bytes = EncodeDatagram(DatagramKind::kListUpdate, update);
  for (const auto& [name, member] : lists_.members) {
    if (member.zone == options_.self.zone) SendTo(member, bytes);
  }
}

void FleetTask::ApplyConfiguration(gateway::Configuration configuration) {
  gateway::RecordInstalled(lag_, configuration.version, net::MonotonicNow());
  UpdateFreshnessNeed(configuration);
  TellKeyStanding();
  const net::StepTimer step(loop_, "install the configuration");
  configuration_changed_.emit(
      std::make_shared<const gateway::Configuration>(std::move(configuration)));
}

void FleetTask::ApplyServers() {
  const net::StepTimer step(loop_, "read the list of servers");
  const auto known = std::exchange(lists_.servers, {});
  for (const auto& [key, item] : servers_view_.items) {
    auto entry = options_.schema.parse_server(key, item.value);
    if (entry) {
      if (servers_view_.missing.contains(key)) {
        CopyEntry(known, entry->name, lists_.servers);
      } else {
        lists_.servers.insert_or_assign(entry->name, std::move(*entry));
      }
      unreadable_servers_.erase(key);
      continue;
    }
    LogUnreadable(unreadable_servers_, key, item.changed_at,
                  entry.error().message);
  }
  gateway::KeepServerEnds(ended_, known, lists_.servers, net::MonotonicNow());
  has_lists_ = has_lists_ || members_view_.is_complete;
  Publish();
}

void FleetTask::ApplyMembers() {
  const auto known = std::exchange(lists_.members, {});
  for (const auto& [key, item] : members_view_.items) {
    auto member = DecodeMember(item.value);
    if (!member) {
      LogUnreadable(unreadable_members_, key, item.changed_at,
                    "the value is not a registration of an instance");
      continue;
    }
    unreadable_members_.erase(key);
    if (members_view_.missing.contains(key)) {
      CopyEntry(known, member->name, lists_.members);
    } else {
      lists_.members.insert_or_assign(member->name, std::move(*member));
    }
  }
  gateway::KeepMemberEnds(ended_, known, lists_.members, net::MonotonicNow());
  has_lists_ = has_lists_ || servers_view_.is_complete;
  Publish();
}

void FleetTask::LogUnreadable(std::map<std::string, storesync::Revision>& known,
                              const std::string& key,
                              storesync::Revision changed_at,
                              const std::string& reason) {
  const bool is_known = known.contains(key);
  known[key] = changed_at;
  if (is_known) return;
  Log(LogEvent::kServerEntryUnreadable, {{"key", key}, {"reason", reason}});
}

void FleetTask::Publish() {
  std::vector<gateway::ServerEntry> entries;
  for (const auto& [name, entry] : lists_.servers) entries.push_back(entry);
  const bool is_same = std::ranges::equal(entries, published_servers_,
                                          &gateway::EqualExceptWarmUp);
  const TimePoint now = net::MonotonicNow();
  if (!is_same) {
    gateway::RecordServerEnds(ended_, published_servers_, entries, now);
    published_servers_ = std::move(entries);
    const net::StepTimer step(loop_, "install the servers");
    servers_changed_.emit(published_servers_);
  }
  std::vector<gateway::Member> members;
  for (const auto& [name, member] : lists_.members) members.push_back(member);
  const bool is_listed = lists_.members.contains(options_.self.name);
  if (!is_listed && !registration_.is_ending) members.push_back(options_.self);
  const bool is_first = has_lists_ && !std::exchange(has_told_members_, true);
  if (members == members_ && !is_first) return;
  gateway::RecordMemberEnds(ended_, members_, members, now);
  members_ = std::move(members);
  first_watchers_.clear();
  Log(LogEvent::kMembersChanged,
      {{"members", std::to_string(members_.size())}});
  directory_state_changed_.emit(gateway::DirectoryStateOf(
      members_, options_.self.name, options_.directory));
}

void FleetTask::HandleUpdate(const Endpoint& peer,
                             const gateway::ListUpdate& update) {
  const TimePoint now = net::MonotonicNow();
  gateway::RecordUpdate(watch_duty_, update.sender, now);
  HandleAnnouncedVersion(update.sender, update.configuration);
  if (gateway::MustTell(lag_, update.configuration, now) && IsChosenToTell())
    SendToPeer(peer, EncodeVersion());
  if (is_watching_) return;
  const bool is_same = gateway::ApplyUpdate(lists_, update);
  if (is_same) {
    has_lists_ = true;
    lists_differ_since_.reset();
  } else if (!lists_differ_since_) {
    lists_differ_since_ = now;
  }
  Publish();
}

void FleetTask::Leave() {
  storesync::Deregister(registration_, net::MonotonicNow());
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
