// Reads of the configuration from the store.
#include <utility>
#include <variant>

#include "plugins/fleet/fleet_task.h"

namespace ibisladder::fleet {
namespace {

/// Pause between two steps of decoding, in which other events are handled.
constexpr Duration kDecodePause = Millis(1);

}  // namespace

void FleetTask::RenewConfigurationWatch(const char* reason, TimePoint now) {
  if (lag_.behind_since) {
    Relist(configuration_view_, CallOwner::kConfiguration, reason, now);
    return;
  }
  if (IsReceiving(CallOwner::kConfiguration, now)) return;
  if (storesync::RenewWatch(configuration_view_, now))
    AbandonRead(CallOwner::kConfiguration, reason, now);
}

void FleetTask::ListConfigurationIfBehind(TimePoint now) {
  if (!lag_.behind_since || configuration_view_.is_waiting) return;
  storesync::Relist(configuration_view_, now);
}

void FleetTask::HandleConfigurationReply(const OpenCall& call,
                                         const storesync::Reply& reply,
                                         TimePoint now) {
  const bool is_changed =
      storesync::HandleReply(configuration_view_, reply, now, random_);
  if (std::holds_alternative<storesync::CallFailed>(reply)) return;
  ConfigurationRead read;
  read.call = call;
  const auto* watch = std::get_if<storesync::WatchReply>(&reply);
  read.values = watch != nullptr ? watch->changes.size() : 1;
  read.received_at = now;
  read.verified_at = VerificationTime(call, reply);
  const bool is_list_read =
      std::holds_alternative<storesync::RangeReply>(reply) &&
      !configuration_view_.is_listing;
  if (is_list_read) read.list_sent_at = configuration_list_sent_at_;
  configuration_read_ = std::move(read);
  if (!is_changed) {
    FinishConfigurationRead(std::nullopt);
    return;
  }
  stored_version_.reset();
  const auto it =
      configuration_view_.items.find(options_.schema.configuration_key);
  if (it == configuration_view_.items.end()) {
    FinishConfigurationRead(std::nullopt);
  } else {
    StartDecoding(it->second.value);
  }
}

void FleetTask::StartDecoding(const std::string& value) {
  const net::StepTimer step(loop_, "start to decode a configuration");
  if (!decoder_) decoder_ = options_.schema.make_configuration_decoder();
  decoder_->Start(value);
  decode_time_ = step.elapsed();
  UpdateViewPauses();
  decode_timer_ = std::make_unique<net::Timer>(
      loop_, net::Timer::Kind::kPeriodic, kDecodePause,
      [this] { ContinueDecoding(); });
}

void FleetTask::ContinueDecoding() {
  const net::StepTimer step(loop_, "decode a part of a configuration");
  auto result = decoder_->Continue();
  decode_time_ += step.elapsed();
  if (!result) return;
  decode_timer_.reset();
  std::optional<gateway::Configuration> configuration;
  if (*result) {
    configuration = std::move(**result);
    stored_version_ = configuration->version;
    LogConfigurationRead(*configuration_read_, *stored_version_,
                         net::MonotonicNow());
  } else {
    const Error& error = result->error();
    Log(LogEvent::kConfigurationFetchFailed,
        {{"place", error.place}, {"reason", error.message}});
  }
  FinishConfigurationRead(std::move(configuration));
  SendDue(configuration_view_, CallOwner::kConfiguration);
}

void FleetTask::FinishConfigurationRead(
    std::optional<gateway::Configuration> configuration) {
  const ConfigurationRead read = std::move(*configuration_read_);
  configuration_read_.reset();
  VerifyConfiguration(read.verified_at);
  if (configuration) ApplyConfiguration(std::move(*configuration));
  const TimePoint now = net::MonotonicNow();
  const ConfigVersion announced = lag_.announced;
  // A store that was restored from an older copy may lack a version that is
  // about to be written again. That one disproves nothing, and is read again
  // after a pause only.
  const bool is_doubted = MayStoreBeBehind(now);
  const bool may_disprove = read.list_sent_at && !is_doubted;
  if (may_disprove && gateway::RecordRead(lag_, *read.list_sent_at, now)) {
    TellKeyStanding();
    Log(LogEvent::kConfigurationFetchFailed,
        {{"version", std::to_string(announced.value())},
         {"reason", "the store does not contain the announced version"}});
  }
  UpdateViewPauses();
  if (!configuration_view_.is_listing && !is_doubted)
    ListConfigurationIfBehind(now);
}

void FleetTask::LogConfigurationRead(const ConfigurationRead& read,
                                     ConfigVersion version, TimePoint now) {
  const auto& item =
      configuration_view_.items[options_.schema.configuration_key];
  const Duration read_time = read.received_at - read.call.sent_at;
  const Duration behind = gateway::BehindFor(lag_, now);
  Log(LogEvent::kConfigurationRead,
      {{"version", std::to_string(version.value())},
       {"call", read.call.name},
       {"versions", std::to_string(read.values)},
       {"bytes", std::to_string(item.value.size())},
       {"read_ms", std::to_string(ToMillis(read_time))},
       {"decode_ms", std::to_string(ToMillis(decode_time_))},
       {"behind_ms", std::to_string(ToMillis(behind))}});
}

}  // namespace ibisladder::fleet
