#include "libs/settings/daemon_settings.h"

#include "libs/settings/settings_fields.h"

namespace ibisladder::settings {
namespace {

using json::AddError;
using json::Errors;
using json::Json;
using json::PointerTo;

std::vector<Endpoint> ReadSeeds(const Json& document, Errors& errors) {
  std::vector<Endpoint> seeds;
  if (!document.is_object()) return seeds;
  const auto it = document.find("seeds");
  if (it == document.end()) return seeds;
  if (!it->is_array()) {
    AddError(errors, ResultCode::kWrongType, "/seeds",
             "expected an array, found " + json::DescribeValue(*it));
    return seeds;
  }
  if (it->size() > kMaxSeeds) {
    AddError(errors, ResultCode::kOutOfRange, "/seeds",
             "expected at most " + std::to_string(kMaxSeeds) +
                 " seeds, found " + std::to_string(it->size()));
    return seeds;
  }
  for (std::size_t i = 0; i < it->size(); ++i) {
    const std::string place = PointerTo("/seeds", i);
    const json::FieldContext context{(*it)[i], place, errors};
    json::Internal::ReadEndpoint(context, seeds.emplace_back());
  }
  return seeds;
}

/// Reports listeners that share an endpoint.
void CheckListeners(const DaemonSettings& settings, Errors& errors) {
  const auto reject_equal = [&](const Endpoint& endpoint, const Endpoint& other,
                                const char* pointer, const char* name) {
    if (endpoint.port == 0 || endpoint != other) return;
    AddError(errors, ResultCode::kDuplicateName, pointer,
             std::string("the endpoint is the same as ") + name +
                 "; each listener needs its own port");
  };
  reject_equal(settings.peer_endpoint, settings.caller_endpoint,
               "/peer_endpoint", "caller_endpoint");
  reject_equal(settings.operator_endpoint, settings.caller_endpoint,
               "/operator_endpoint", "caller_endpoint");
  reject_equal(settings.operator_endpoint, settings.peer_endpoint,
               "/operator_endpoint", "peer_endpoint");
}

void CheckTimes(const DaemonSettings& settings, Errors& errors) {
  const Duration min_timeout = 2 * settings.heartbeat_interval;
  if (settings.peer_timeout >= min_timeout) return;
  AddError(errors, ResultCode::kOutOfRange, "/peer_timeout_ms",
           "expected at least twice heartbeat_interval_ms, that is " +
               std::to_string(ToMillis(min_timeout)) + ", found " +
               std::to_string(ToMillis(settings.peer_timeout)));
}

}  // namespace

tl::expected<DaemonSettings, std::vector<Error>> ParseDaemonSettings(
    std::string_view json) {
  Errors errors;
  const Json document = json::ParseDocument(json, kMaxSettingsBytes, errors);
  if (document.is_null() && !errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  DaemonSettings settings;
  json::ReadFields(kSettingsFields, document, "", settings, errors, {"seeds"});
  settings.seeds = ReadSeeds(document, errors);
  CheckListeners(settings, errors);
  CheckTimes(settings, errors);
  if (!errors.empty()) return tl::unexpected(std::move(errors));
  return settings;
}

}  // namespace ibisladder::settings
