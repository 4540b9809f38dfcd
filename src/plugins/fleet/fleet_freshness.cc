// Verifies that the installed configuration is the newest one, and tells until
// when its keys can be relied on.
#include <algorithm>
#include <iterator>

#include "plugins/fleet/datagrams.h"
#include "plugins/fleet/fleet_task.h"

namespace ibisladder::fleet {
namespace {

/// Maximum that the store allows.
constexpr Duration kWatchWait = Seconds(30);
/// Short, because a watcher's updates announce the version to instances whose
/// own watch was lost in an outage and never returns.
constexpr Duration kWatcherWait = Seconds(1);
/// Number of the zone's watchers that are asked.
constexpr std::size_t kAskedWatchers = 2;
constexpr Duration kCheckWait = Millis(100);
/// Further calls are not made while so many have no reply.
constexpr std::ptrdiff_t kMaxOpenChecks = 3;

}  // namespace

Duration FleetTask::ConfigurationWatchWait() const {
  if (!is_watching_) return kWatchWait;
  return freshness_.is_needed
             ? std::min(gateway::WatcherWait(freshness_), kWatcherWait)
             : kWatcherWait;
}

void FleetTask::UpdateFreshnessNeed(
    const gateway::Configuration& configuration) {
  // The forwarder installs no lower version either.
  if (configuration.version != lag_.installed) return;
  freshness_.is_needed =
      options_.strict_revocation && !configuration.organisations.empty();
  configuration_view_.settings.watch_wait = ConfigurationWatchWait();
}

void FleetTask::TellKeyStanding() {
  gateway::KeyStanding standing;
  standing.is_behind = lag_.behind_since.has_value();
  if (options_.strict_revocation)
    standing.accepted_until = gateway::AcceptedUntil(freshness_);
  if (standing == key_standing_) return;
  key_standing_ = standing;
  key_standing_changed_.emit(key_standing_);
}

void FleetTask::TickFreshness() {
  if (!options_.strict_revocation) return;
  const TimePoint now = net::BootNow();
  gateway::PassTime(freshness_, now);
  if (gateway::TakeDueQuestions(freshness_, is_watching_, now))
    AskInstances(now);
  if (gateway::TakeDueCheck(freshness_, now, random_)) SendCheck();
  TellKeyStanding();
  const auto is_overdue = gateway::TakeOverdueChange(freshness_, now);
  if (!is_overdue) return;
  const auto& at = freshness_.verified_at;
  Log(*is_overdue ? LogEvent::kKeysUnverified : LogEvent::kKeysVerified,
      {{"version", std::to_string(lag_.installed.value())},
       {"verified_ms", at ? std::to_string(ToMillis(now - *at)) : "never"}});
}

std::vector<gateway::Member> FleetTask::InstancesToAsk() {
  if (first_watchers_.empty()) {
    first_watchers_ =
        gateway::FirstWatchers(lists_, options_.self.zone, kAskedWatchers);
  }
  std::vector<gateway::Member> result = first_watchers_;
  if (trust_.level != storesync::TrustLevel::kDoubted) return result;
  // The watchers of the zone may have started again, too.
  std::ranges::move(WatchersOfOtherZones(kAskedWatchers),
                    std::back_inserter(result));
  // Empty once this instance leaves and knows no other.
  if (!members_.empty())
    result.push_back(members_[UniformBelow(random_, members_.size())]);
  return result;
}

void FleetTask::AskInstances(TimePoint now) {
  for (const auto& it : InstancesToAsk()) {
    if (it.name == options_.self.name) continue;
    gateway::FreshnessQuestion question;
    question.sender = options_.self.name;
    question.number = gateway::OpenQuestion(freshness_, it.name,
                                            it.peer_endpoint, now, random_);
    SendTo(it, EncodeDatagram(DatagramKind::kFreshnessQuestion, question));
  }
}

/// The call goes out beside the open watch of the configuration, which may wait
/// for half a minute or never return.
void FleetTask::SendCheck() {
  const auto open = std::ranges::count_if(open_calls_, [](const auto& it) {
    return it.second.owner == CallOwner::kFreshness;
  });
  const bool has_revision =
      configuration_view_.revision != storesync::Revision();
  if (open >= kMaxOpenChecks || !has_revision) return;
  Send(CallOwner::kFreshness,
       storesync::WatchCall{options_.schema.configuration_prefix,
                            configuration_view_.revision, kCheckWait});
}

void FleetTask::HandleCheckReply(const OpenCall& call,
                                 const storesync::Reply& reply) {
  if (std::holds_alternative<storesync::CallFailed>(reply)) return;
  const auto* watch = std::get_if<storesync::WatchReply>(&reply);
  const bool is_unchanged =
      watch != nullptr && watch->unreadable_items == 0 &&
      std::ranges::all_of(watch->changes, [this](const auto& it) {
        return it.changed_at <= configuration_view_.revision;
      });
  if (is_unchanged) {
    VerifyConfiguration(call.boot_sent_at);
  } else {
    Relist(configuration_view_, CallOwner::kConfiguration,
           "the store has changes that the watch did not return",
           net::MonotonicNow());
  }
}

std::optional<TimePoint> FleetTask::VerificationTime(
    const OpenCall& call, const storesync::Reply& reply) {
  if (std::holds_alternative<storesync::WatchReply>(reply))
    return call.boot_sent_at;
  const bool is_list = std::holds_alternative<storesync::RangeReply>(reply) &&
                       !configuration_view_.is_listing;
  return is_list ? std::optional(configuration_list_boot_sent_at_)
                 : std::nullopt;
}

void FleetTask::VerifyConfiguration(std::optional<TimePoint> at) {
  if (!options_.strict_revocation || !at) return;
  // An unreadable value, or a store that was restored from an older copy, may
  // hide a version that revoked keys of the one in force.
  if (!HasStoreHighestKnown()) return;
  if (trust_.level != storesync::TrustLevel::kTrusted) {
    untrusted_verification_at_ = at;
    return;
  }
  gateway::PassTime(freshness_, net::BootNow());
  gateway::RecordVerified(freshness_, *at, random_);
  TellKeyStanding();
}

void FleetTask::HandleFreshnessQuestion(
    const Endpoint& peer, const gateway::FreshnessQuestion& question) {
  const auto answer =
      gateway::AnswerTo(freshness_, question, lag_.installed,
                        gateway::HighestKnown(lag_), net::BootNow());
  if (!answer) return;
  SendToPeer(peer, EncodeDatagram(DatagramKind::kFreshnessAnswer, *answer));
}

void FleetTask::HandleFreshnessAnswer(const Endpoint& peer,
                                      const gateway::FreshnessAnswer& answer) {
  const TimePoint now = net::BootNow();
  gateway::PassTime(freshness_, now);
  const auto instance = gateway::HandleFreshnessAnswer(
      freshness_, answer, peer, lag_.installed, now, random_);
  if (!instance) return;
  HandleAnnouncedVersion(*instance,
                         std::max(answer.version, answer.highest_known));
  if (answer.highest_known >= answer.version) TrustStore(*instance);
  TellKeyStanding();
}

}  // namespace ibisladder::fleet
