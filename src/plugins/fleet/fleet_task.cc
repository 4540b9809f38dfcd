#include "plugins/fleet/fleet_task.h"

#include <algorithm>
#include <utility>

#include "libs/wire/bounded_archive.h"

namespace ibisladder::fleet {
namespace {

/// Due calls and lapsed keys are looked at so often.
constexpr Duration kStepInterval = Millis(100);
constexpr Duration kConfigurationPace = Millis(50);
/// The longest that the store allows.
constexpr Duration kConfigurationWait = Seconds(30);
/// A watcher's news tells the others of a version that their own call, lost in
/// an outage, would never bring.
constexpr Duration kWatcherConfigurationWait = Seconds(1);
/// Least time between two reads of changes: servers report all the time.
constexpr Duration kServersPace = Millis(300);
constexpr Duration kMembersPace = Millis(500);
/// Instances that start together have registered by then.
constexpr Duration kFirstMembersRead = Millis(700);
/// Short, so that a watcher knows soon that the store does not answer it.
constexpr Duration kServersWait = Millis(300);
/// Without a reply for so long a watcher tells no news.
constexpr Duration kCurrentTime = Millis(800);
/// Datagrams may overtake one another for so long before the lists are read.
constexpr Duration kSyncPatience = Millis(350);
/// Failed calls in a row from which on the store counts as lost.
constexpr std::uint32_t kLostAfter = 3;

/// First byte of a datagram.
enum class DatagramKind : char { kEvidence = 'e', kNews = 'n' };

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

template <typename T>
std::string EncodeDatagram(DatagramKind kind, const T& value) {
  return static_cast<char>(kind) + wire::EncodePortable(value);
}

storesync::ViewSettings ViewOf(const std::string& prefix,
                               Duration min_watch_interval) {
  storesync::ViewSettings settings;
  settings.prefix = prefix;
  settings.min_watch_interval = min_watch_interval;
  return settings;
}

}  // namespace

Expected<std::unique_ptr<FleetTask>> FleetTask::Create(
    net::EventLoop& loop, const Options& options,
    std::unique_ptr<KvTransport> transport) {
  auto peers = net::UdpSocket::Bind(loop, options.self.peer_endpoint);
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
          ViewOf(options_.schema.configuration_prefix, kConfigurationPace))),
      servers_(storesync::MakeStoreView(
          ViewOf(options_.schema.servers_prefix, kServersPace))),
      member_items_(storesync::MakeStoreView(
          ViewOf(options_.schema.members_prefix, kMembersPace))),
      members_{options_.self},
      step_(loop, net::Timer::Kind::kPeriodic, kStepInterval,
            [this] { Step(); }) {
  servers_.settings.watch_wait = kServersWait;
  lists_.members.emplace(options_.self.name, options_.self);
  duty_ = {options_.self.name, options_.self.zone, net::MonotonicNow(), {}};
  member_items_.next_call_at = net::MonotonicNow() + kFirstMembersRead;
  configuration_.settings.watch_wait = kConfigurationWait;
  registration_.key = options_.schema.members_prefix + options_.self.name;
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
  FollowDuty(now);
  FollowSync(now);
  PauseViews();
  SendDue(configuration_, Asker::kConfiguration);
  SendDue(servers_, Asker::kServers);
  SendDue(member_items_, Asker::kMembers);
  SendDueRegistration();
  if (storesync::RemoveLapsedKeys(servers_, now)) ReadServers();
  if (storesync::RemoveLapsedKeys(member_items_, now)) ReadMembers();
  TellNews(now);
}

void FleetTask::FollowDuty(TimePoint now) {
  const bool must_watch = gateway::MustWatch(duty_, lists_, now);
  if (must_watch == is_watching_) return;
  is_watching_ = must_watch;
  Log(LogEvent::kWatchDutyChanged, {{"watching", must_watch ? "yes" : "no"}});
  configuration_.settings.watch_wait =
      must_watch ? kWatcherConfigurationWait : kConfigurationWait;
  if (must_watch) {
    RelistAll(now);
    Relist(configuration_, Asker::kConfiguration, now);
  }
  differs_since_.reset();
}

void FleetTask::FollowSync(TimePoint now) {
  if (differs_since_ && now - *differs_since_ > kSyncPatience) {
    storesync::EndLapseGrace(servers_);
    storesync::EndLapseGrace(member_items_);
    RelistAll(now);
    differs_since_.reset();
  }
  if (outdated_since_ && now - *outdated_since_ > kSyncPatience) {
    Relist(configuration_, Asker::kConfiguration, now);
    outdated_since_.reset();
  }
}

/// Only watchers follow the changes; the others read a list when they must.
/// While the store is lost, renewals alone look whether it is back.
void FleetTask::PauseViews() {
  servers_.is_paused =
      is_store_lost_ || (!is_watching_ && !servers_.is_listing);
  member_items_.is_paused =
      is_store_lost_ || (!is_watching_ && !member_items_.is_listing);
  configuration_.is_paused = is_store_lost_;
}

void FleetTask::RelistAll(TimePoint now) {
  Relist(servers_, Asker::kServers, now);
  Relist(member_items_, Asker::kMembers, now);
}

void FleetTask::Relist(storesync::StoreView& view, Asker asker, TimePoint now) {
  std::erase_if(open_calls_,
                [asker](const auto& it) { return it.second == asker; });
  storesync::Relist(view, now);
}

bool FleetTask::IsCurrent(TimePoint now) const {
  return is_watching_ && storesync::IsCurrent(servers_, now, kCurrentTime) &&
         member_items_.is_complete && !member_items_.is_listing;
}

void FleetTask::TellNews(TimePoint now) {
  const bool was_telling = std::exchange(is_telling_, IsCurrent(now));
  if (!is_telling_ || registration_.is_ending) return;
  if (!was_telling) news_log_ = gateway::StartUpdateLog(lists_);
  if (!gateway::IsUpdateDue(news_log_, lists_, now)) return;
  gateway::ListUpdate news = gateway::MakeUpdate(news_log_, lists_, now);
  news.sender = options_.self.name;
  news.configuration = version_;
  const std::string bytes = EncodeDatagram(DatagramKind::kNews, news);
  for (const auto& [name, member] : lists_.members) {
    if (member.zone == options_.self.zone) SendTo(member, bytes);
  }
}

void FleetTask::SendTo(const gateway::Member& member,
                       const std::string& bytes) {
  if (member.name != options_.self.name)
    peers_->Send(member.peer_endpoint, bytes);
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
        ReadServers();
      }
      PauseViews();
      SendDue(servers_, asker);
      break;
    case Asker::kMembers:
      if (storesync::HandleReply(member_items_, reply, now, random_)) {
        ReadMembers();
      }
      PauseViews();
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
    // A watch that was open meanwhile may be one of the calls that got lost.
    if (failures_in_row_ > 0 && configuration_.is_waiting) {
      Relist(configuration_, Asker::kConfiguration, net::MonotonicNow());
    }
    failures_in_row_ = 0;
    if (is_store_lost_) FollowReturn();
    return;
  }
  ++failures_;
  if (++failures_in_row_ < kLostAfter || is_store_lost_) return;
  is_store_lost_ = true;
  Log(LogEvent::kStoreLost, {{"reason", storesync::ReasonName(failed->reason)},
                             {"failures", std::to_string(failures_in_row_)}});
}

void FleetTask::FollowReturn() {
  const TimePoint now = net::MonotonicNow();
  is_store_lost_ = false;
  std::erase_if(open_calls_, [](const auto& it) {
    return it.second != Asker::kRegistration;
  });
  for (auto* it : {&configuration_, &servers_, &member_items_}) {
    storesync::EndOutage(*it, now);
  }
  PauseViews();
  Log(LogEvent::kStoreBack, {{"calls", std::to_string(last_call_)}});
}

void FleetTask::ApplyConfiguration() {
  const auto it = configuration_.items.find(options_.schema.configuration_key);
  if (it == configuration_.items.end()) return;
  auto read = options_.schema.parse_configuration(it->second.value);
  if (!read) {
    Log(LogEvent::kConfigurationFetchFailed,
        {{"place", read.error().place}, {"reason", read.error().message}});
    return;
  }
  version_ = std::max(version_, read->version);
  configuration_changed_.emit(
      std::make_shared<const gateway::Configuration>(std::move(*read)));
}

void FleetTask::ReadServers() {
  lists_.servers.clear();
  for (const auto& [key, item] : servers_.items) {
    auto entry = options_.schema.parse_server(key, item.value);
    if (entry) {
      lists_.servers.insert_or_assign(entry->name, std::move(*entry));
      unreadable_.erase(key);
      continue;
    }
    const bool is_known = unreadable_.contains(key);
    unreadable_[key] = item.changed_at;
    if (is_known) continue;
    Log(LogEvent::kServerEntryUnreadable,
        {{"key", key}, {"reason", entry.error().message}});
  }
  has_lists_ = has_lists_ || member_items_.is_complete;
  Publish();
}

void FleetTask::ReadMembers() {
  lists_.members.clear();
  for (const auto& [key, item] : member_items_.items) {
    gateway::Member member;
    if (!wire::DecodePortable(item.value, member)) {
      Log(LogEvent::kServerEntryUnreadable,
          {{"key", key}, {"reason", "no entry of an instance"}});
      continue;
    }
    lists_.members.insert_or_assign(member.name, std::move(member));
  }
  has_lists_ = has_lists_ || servers_.is_complete;
  Publish();
}

void FleetTask::Publish() {
  std::vector<gateway::ServerEntry> entries;
  for (const auto& [name, entry] : lists_.servers) entries.push_back(entry);
  const bool is_same =
      std::ranges::equal(entries, entries_, &gateway::EqualExceptWarmUp);
  if (!is_same) {
    entries_ = std::move(entries);
    servers_changed_.emit(entries_);
  }
  std::vector<gateway::Member> members;
  for (const auto& [name, member] : lists_.members) members.push_back(member);
  const bool is_listed = lists_.members.contains(options_.self.name);
  if (!is_listed && !registration_.is_ending) members.push_back(options_.self);
  if (members == members_) return;
  members_ = std::move(members);
  Log(LogEvent::kMembersChanged,
      {{"members", std::to_string(members_.size())}});
  directory_state_changed_.emit(gateway::DirectoryStateOf(
      members_, options_.self.name, options_.directory));
}

void FleetTask::ShareEvidence(const std::vector<detection::Digest>& digests) {
  const std::string bytes = EncodeDatagram(
      DatagramKind::kEvidence, EvidenceDatagram{IdOf(options_.self), digests});
  for (const auto& it : members_) SendTo(it, bytes);
}

void FleetTask::HandleDatagram(const net::Datagram& datagram) {
  const std::string_view bytes = datagram.bytes;
  const auto kind = static_cast<DatagramKind>(bytes.empty() ? 0 : bytes[0]);
  const std::string_view body = bytes.substr(bytes.empty() ? 0 : 1);
  EvidenceDatagram evidence;
  gateway::ListUpdate news;
  if (kind == DatagramKind::kEvidence && wire::DecodePortable(body, evidence)) {
    evidence_.emit(evidence.sender, evidence.digests);
  } else if (kind == DatagramKind::kNews && wire::DecodePortable(body, news)) {
    HandleNews(news);
  } else {
    Log(LogEvent::kDatagramDropped,
        {{"peer", FormatEndpoint(datagram.peer)}, {"reason", "malformed"}});
  }
}

void FleetTask::HandleNews(const gateway::ListUpdate& news) {
  const TimePoint now = net::MonotonicNow();
  gateway::RecordUpdate(duty_, news.sender, now);
  if (news.configuration <= version_) {
    outdated_since_.reset();
  } else if (!outdated_since_) {
    outdated_since_ = now;
  }
  if (is_watching_) return;
  const bool is_same = gateway::ApplyUpdate(lists_, news);
  if (is_same) {
    has_lists_ = true;
    differs_since_.reset();
  } else if (!differs_since_) {
    differs_since_ = now;
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
