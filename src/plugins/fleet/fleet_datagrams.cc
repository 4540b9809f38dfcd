// Sends and receives the datagrams between instances.
#include <algorithm>
#include <iterator>
#include <set>

#include "plugins/fleet/datagrams.h"
#include "plugins/fleet/fleet_task.h"
#include "plugins/fleet/freshness_codec.h"

namespace ibisladder::fleet {
namespace {

/// Interval at which an instance asks a random other one for the limits of
/// servers, in case news were lost; shorter after the start, when it knows
/// none.
constexpr Duration kLimitsInterval = Seconds(10);
constexpr Duration kFirstLimitsInterval = Millis(300);
constexpr int kFirstLimitsQuestions = 3;
/// Keeps datagrams below the usual size of packets.
constexpr std::size_t kMaxLimitsPerDatagram = 40;
constexpr std::size_t kMaxCrashesPerDatagram = 4;
constexpr std::size_t kMaxLeavingPerDatagram = 100;
/// A watcher tells other zones a new version several times, since datagrams may
/// be lost.
constexpr Duration kTellInterval = Millis(250);
constexpr Duration kTellTime = Millis(1000);
/// Number of instances of each other zone that are told; they pass it on to
/// their zone while they watch.
constexpr std::size_t kToldPerZone = 3;
/// Number of instances, on average, that answer a watcher's update with a newer
/// version.
constexpr std::uint64_t kTellers = 4;

struct EvidenceDatagram {
  InstanceId sender;
  std::vector<detection::Digest> digests;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, digests);
  }
};

struct VersionDatagram {
  std::string sender;
  ConfigVersion version;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, version);
  }
};

struct LostPathsDatagram {
  std::string sender;
  std::vector<ServiceId> services;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, services);
  }
};

InstanceId InstanceIdOf(const gateway::Member& member) {
  return InstanceId(static_cast<std::uint32_t>(member.incarnation.value()));
}

gateway::Cargo CargoOf(const std::string& datagram) {
  switch (static_cast<DatagramKind>(datagram.front())) {
    case DatagramKind::kEvidence:
      return gateway::Cargo::kEvidence;
    case DatagramKind::kLimits:
    case DatagramKind::kLimitsQuestion:
    case DatagramKind::kPermitRequest:
    case DatagramKind::kPermitReply:
    case DatagramKind::kCreditRequest:
    case DatagramKind::kCreditReply:
    case DatagramKind::kProcessStart:
      return gateway::Cargo::kLimits;
    default:
      return gateway::Cargo::kOther;
  }
}

}  // namespace

void FleetTask::SendTo(const gateway::Member& member,
                       const std::string& bytes) {
  if (member.name == options_.self.name) return;
  if (member.zone != options_.self.zone) {
    CountBytes(zone_traffic_, CargoOf(bytes), bytes.size());
  }
  peer_socket_->Send(member.peer_endpoint, bytes);
}

void FleetTask::SendToPeer(const Endpoint& peer, const std::string& bytes) {
  const auto it =
      std::ranges::find(members_, peer, &gateway::Member::peer_endpoint);
  if (it != members_.end()) {
    SendTo(*it, bytes);
  } else {
    peer_socket_->Send(peer, bytes);
  }
}

void FleetTask::ShareEvidence(const std::vector<detection::Digest>& digests) {
  const std::string bytes =
      EncodeDatagram(DatagramKind::kEvidence,
                     EvidenceDatagram{InstanceIdOf(options_.self), digests});
  SendToAll(bytes);
}

void FleetTask::SendToAll(const std::string& bytes) {
  for (const auto& it : members_) SendTo(it, bytes);
}

std::string FleetTask::EncodeVersion() const {
  return EncodeDatagram(
      DatagramKind::kConfigurationVersion,
      VersionDatagram{options_.self.name, gateway::HighestKnown(lag_)});
}

/// While a watcher's lists are not current, it sends no updates, which would
/// contain the version; its zone is told by these datagrams then.
void FleetTask::TellVersionIfDue(TimePoint now) {
  const ConfigVersion version = gateway::HighestKnown(lag_);
  if (version > told_version_) {
    told_version_ = version;
    first_told_at_ = now;
    last_told_at_ = now - kTellInterval;
  }
  const bool is_due = is_watching_ && now - first_told_at_ < kTellTime &&
                      now - last_told_at_ >= kTellInterval;
  if (!is_due) return;
  last_told_at_ = now;
  const std::string bytes = EncodeVersion();
  if (!is_announcing_) {
    for (const auto& [name, member] : lists_.members) {
      if (member.zone == options_.self.zone) SendTo(member, bytes);
    }
  }
  for (const auto& it : WatchersOfOtherZones(kToldPerZone)) SendTo(it, bytes);
}

std::vector<gateway::Member> FleetTask::WatchersOfOtherZones(
    std::size_t per_zone) const {
  std::set<ZoneName> zones;
  for (const auto& [name, member] : lists_.members) zones.insert(member.zone);
  zones.erase(options_.self.zone);
  std::vector<gateway::Member> result;
  for (const auto& zone : zones) {
    std::ranges::move(gateway::FirstWatchers(lists_, zone, per_zone),
                      std::back_inserter(result));
  }
  return result;
}

bool FleetTask::IsChosenToTell() {
  const auto n = std::ranges::count_if(lists_.members, [this](const auto& it) {
    return it.second.zone == options_.self.zone;
  });
  return UniformBelow(random_, std::max<std::uint64_t>(n, 1)) < kTellers;
}

void FleetTask::HandleAnnouncedVersion(const std::string& sender,
                                       ConfigVersion version) {
  const TimePoint now = net::MonotonicNow();
  if (!gateway::RecordAnnouncement(lag_, version, sender, now)) return;
  TellKeyStanding();
  Log(LogEvent::kConfigurationBehind,
      {{"version", std::to_string(lag_.installed.value())},
       {"announced", std::to_string(version.value())},
       {"instance", sender},
       {"open_call", DescribeOpenCall(CallOwner::kConfiguration, now)}});
}

void FleetTask::ShareLimits(const std::vector<gateway::LimitNews>& news) {
  SendToAll(EncodeDatagram(DatagramKind::kLimits, news));
}

void FleetTask::SendLimits(const Endpoint& peer,
                           const std::vector<gateway::LimitNews>& news) {
  for (std::size_t i = 0; i < news.size(); i += kMaxLimitsPerDatagram) {
    const std::size_t n = std::min(kMaxLimitsPerDatagram, news.size() - i);
    const auto first = news.begin() + static_cast<std::ptrdiff_t>(i);
    const std::vector<gateway::LimitNews> part(
        first, first + static_cast<std::ptrdiff_t>(n));
    SendToPeer(peer, EncodeDatagram(DatagramKind::kLimits, part));
  }
}

void FleetTask::ShareCrashes(const gateway::CrashMessage& message) {
  SendToAll(EncodeDatagram(DatagramKind::kCrashes, message));
}

void FleetTask::SendCrashes(const Endpoint& peer,
                            const gateway::CrashMessage& message) {
  const auto& requests = message.requests;
  for (std::size_t i = 0; i < requests.size(); i += kMaxCrashesPerDatagram) {
    gateway::CrashMessage part;
    const std::size_t end =
        std::min(i + kMaxCrashesPerDatagram, requests.size());
    for (std::size_t k = i; k < end; ++k) part.requests.push_back(requests[k]);
    SendToPeer(peer, EncodeDatagram(DatagramKind::kCrashes, part));
  }
}

void FleetTask::ShareLeaving(const std::vector<BackendServerId>& servers) {
  SendToAll(EncodeDatagram(DatagramKind::kLeavingServers, servers));
}

void FleetTask::SendLeaving(const Endpoint& peer,
                            const std::vector<BackendServerId>& servers) {
  for (std::size_t i = 0; i < servers.size(); i += kMaxLeavingPerDatagram) {
    const std::size_t end =
        std::min(i + kMaxLeavingPerDatagram, servers.size());
    std::vector<BackendServerId> part;
    for (std::size_t k = i; k < end; ++k) part.push_back(servers[k]);
    SendToPeer(peer, EncodeDatagram(DatagramKind::kLeavingServers, part));
  }
}

void FleetTask::SharePaths(const std::vector<ServiceId>& lost) {
  SendToAll(EncodeDatagram(DatagramKind::kLostPaths,
                           LostPathsDatagram{options_.self.name, lost}));
}

void FleetTask::SharePressure(const admission::PressureMessage& message) {
  const std::string bytes = EncodeDatagram(DatagramKind::kPressure, message);
  for (const auto& it :
       gateway::AdvertisedMembers(members_, options_.directory)) {
    SendTo(it, bytes);
  }
}

void FleetTask::AskPermit(const gateway::AskPermit& question) {
  const auto it =
      std::ranges::find(members_, question.keeper, &gateway::Member::name);
  if (it == members_.end()) return;
  SendTo(*it, EncodeDatagram(DatagramKind::kPermitRequest, question.request));
}

void FleetTask::AnswerPermit(const gateway::AnswerPermit& answer) {
  SendToPeer(answer.peer,
             EncodeDatagram(DatagramKind::kPermitReply, answer.reply));
}

void FleetTask::AskCredit(const gateway::AskCredit& question) {
  const auto it =
      std::ranges::find(members_, question.keeper, &gateway::Member::name);
  if (it == members_.end()) return;
  SendTo(*it, EncodeDatagram(DatagramKind::kCreditRequest, question.request));
}

void FleetTask::AnswerCredit(const gateway::AnswerCredit& answer) {
  SendToPeer(answer.peer,
             EncodeDatagram(DatagramKind::kCreditReply, answer.reply));
}

void FleetTask::TellStart(const gateway::TellStart& message) {
  const auto it =
      std::ranges::find(members_, message.instance, &gateway::Member::name);
  if (it == members_.end()) return;
  SendTo(*it, EncodeDatagram(DatagramKind::kProcessStart, message.start));
}

void FleetTask::HandleProcessStart(const Endpoint& peer,
                                   const limits::ProcessStart& start) {
  const auto it =
      std::ranges::find(members_, start.sender, &gateway::Member::name);
  if (it == members_.end() || it->peer_endpoint != peer) return;
  start_received_.emit(start);
}

void FleetTask::AskForLimitsIfDue(TimePoint now) {
  const Duration interval = limits_questions_ < kFirstLimitsQuestions
                                ? kFirstLimitsInterval
                                : kLimitsInterval;
  const bool is_due =
      has_lists_ && members_.size() > 1 && now - limits_asked_at_ >= interval;
  if (!is_due) return;
  limits_asked_at_ = now;
  ++limits_questions_;
  const auto& peer = members_[UniformBelow(random_, members_.size())];
  SendTo(peer,
         std::string(1, static_cast<char>(DatagramKind::kLimitsQuestion)));
}

void FleetTask::HandleDatagram(const net::Datagram& datagram) {
  const std::string_view bytes = datagram.bytes;
  const auto kind = static_cast<DatagramKind>(bytes.empty() ? 0 : bytes[0]);
  const std::string_view body = bytes.substr(bytes.empty() ? 0 : 1);
  EvidenceDatagram evidence;
  gateway::ListUpdate update;
  std::vector<gateway::LimitNews> news;
  gateway::PermitRequest request;
  gateway::PermitReply reply;
  limits::CreditRequest credit;
  limits::CreditReply credit_reply;
  VersionDatagram version;
  gateway::CrashMessage crashes;
  std::vector<BackendServerId> leaving;
  LostPathsDatagram lost_paths;
  gateway::FreshnessQuestion freshness_question;
  gateway::FreshnessAnswer freshness_answer;
  admission::PressureMessage pressure;
  limits::ProcessStart start;
  if (kind == DatagramKind::kEvidence && wire::DecodePortable(body, evidence)) {
    evidence_received_.emit(evidence.sender, evidence.digests);
  } else if (kind == DatagramKind::kListUpdate &&
             wire::DecodePortable(body, update)) {
    HandleUpdate(datagram.peer, update);
  } else if (kind == DatagramKind::kConfigurationVersion &&
             wire::DecodePortable(body, version)) {
    HandleAnnouncedVersion(version.sender, version.version);
  } else if (kind == DatagramKind::kLimits &&
             wire::DecodePortable(body, news)) {
    limits_received_.emit(news);
  } else if (kind == DatagramKind::kCrashes &&
             wire::DecodePortable(body, crashes)) {
    crashes_received_.emit(crashes);
  } else if (kind == DatagramKind::kLeavingServers &&
             wire::DecodePortable(body, leaving)) {
    leaving_received_.emit(leaving);
  } else if (kind == DatagramKind::kLostPaths &&
             wire::DecodePortable(body, lost_paths)) {
    paths_received_.emit(lost_paths.sender, lost_paths.services);
  } else if (kind == DatagramKind::kPressure &&
             wire::DecodeGrowing(body, pressure)) {
    pressure_received_.emit(pressure);
  } else if (kind == DatagramKind::kLimitsQuestion) {
    limits_asked_.emit(datagram.peer);
  } else if (kind == DatagramKind::kPermitRequest &&
             wire::DecodePortable(body, request)) {
    permit_requested_.emit(datagram.peer, request);
  } else if (kind == DatagramKind::kPermitReply &&
             wire::DecodePortable(body, reply)) {
    permit_replied_.emit(reply);
  } else if (kind == DatagramKind::kCreditRequest &&
             wire::DecodeGrowing(body, credit)) {
    credit_requested_.emit(datagram.peer, credit);
  } else if (kind == DatagramKind::kCreditReply &&
             wire::DecodeGrowing(body, credit_reply)) {
    credit_replied_.emit(credit_reply);
  } else if (kind == DatagramKind::kProcessStart &&
             wire::DecodeGrowing(body, start)) {
    HandleProcessStart(datagram.peer, start);
  } else if (kind == DatagramKind::kFreshnessQuestion &&
             wire::DecodeGrowing(body, freshness_question)) {
    HandleFreshnessQuestion(datagram.peer, freshness_question);
  } else if (kind == DatagramKind::kFreshnessAnswer &&
             DecodeFreshnessAnswer(body, freshness_answer)) {
    HandleFreshnessAnswer(datagram.peer, freshness_answer);
  } else {
    Log(LogEvent::kDatagramDropped,
        {{"peer", FormatEndpoint(datagram.peer)}, {"reason", "malformed"}});
  }
}

}  // namespace ibisladder::fleet
