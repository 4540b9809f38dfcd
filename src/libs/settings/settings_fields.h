#ifndef LIBS_SETTINGS_SETTINGS_FIELDS_H_
#define LIBS_SETTINGS_SETTINGS_FIELDS_H_

#include <cstdint>
#include <tuple>

#include "libs/declarations/field_table.h"
#include "libs/settings/daemon_settings.h"

/// The JSON fields of the daemon's settings, with their ranges.
/// daemon_settings.cc reads `seeds`.
namespace ibisladder::settings {

/// Maximum size of a settings file.
constexpr std::size_t kMaxSettingsBytes = 1U << 20U;
constexpr std::size_t kMaxSeeds = 64;

inline constexpr auto kSettingsFields = std::tuple(
    json::TextField<DaemonSettings, std::string>{
        "fleet", &DaemonSettings::fleet, json::IsName, json::kNameRule,
        json::Presence::kRequired},
    json::IntegerField<DaemonSettings, InstanceId>{
        "instance", &DaemonSettings::instance, 1, UINT32_MAX, "",
        json::Presence::kRequired},
    json::TextField<DaemonSettings, ZoneName>{"zone", &DaemonSettings::zone,
                                              json::IsName, json::kNameRule,
                                              json::Presence::kRequired},
    json::EndpointField<DaemonSettings>{"caller_endpoint",
                                        &DaemonSettings::caller_endpoint},
    json::EndpointField<DaemonSettings>{"peer_endpoint",
                                        &DaemonSettings::peer_endpoint},
    json::EndpointField<DaemonSettings>{"operator_endpoint",
                                        &DaemonSettings::operator_endpoint},
    json::TextField<DaemonSettings, std::string>{
        "operator_token", &DaemonSettings::operator_token, json::IsToken,
        json::kTokenRule, json::Presence::kRequired},
    json::EndpointField<DaemonSettings>{"platform_endpoint",
                                        &DaemonSettings::platform_endpoint},
    json::MillisField<DaemonSettings>{"heartbeat_interval_ms",
                                      &DaemonSettings::heartbeat_interval, 50,
                                      10'000},
    json::MillisField<DaemonSettings>{
        "peer_timeout_ms", &DaemonSettings::peer_timeout, 100, 60'000},
    json::IntegerField<DaemonSettings, std::size_t>{
        "peers_per_round", &DaemonSettings::peers_per_round, 1, 64, "peers"},
    json::MillisField<DaemonSettings>{
        "list_interval_ms", &DaemonSettings::list_interval, 100, 600'000},
    json::MillisField<DaemonSettings>{
        "store_timeout_ms", &DaemonSettings::store_timeout, 50, 60'000},
    json::MillisField<DaemonSettings>{
        "era_length_ms", &DaemonSettings::era_length, 100, 600'000},
    json::IntegerField<DaemonSettings, std::uint32_t>{
        "accepted_eras", &DaemonSettings::accepted_eras, 1, 1000, "eras"},
    json::IntegerField<DaemonSettings, std::size_t>{
        "max_records", &DaemonSettings::max_records, 1, 10'000'000, "records"},
    json::IntegerField<DaemonSettings, std::size_t>{
        "max_record_bytes", &DaemonSettings::max_record_bytes, 65'536,
        4LL << 30U, "bytes"},
    json::MillisField<DaemonSettings>{
        "stop_limit_ms", &DaemonSettings::stop_limit, 0, 3'600'000});

}  // namespace ibisladder::settings

#endif  // LIBS_SETTINGS_SETTINGS_FIELDS_H_
