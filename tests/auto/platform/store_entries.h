#ifndef TESTS_AUTO_PLATFORM_STORE_ENTRIES_H_
#define TESTS_AUTO_PLATFORM_STORE_ENTRIES_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "platform/configuration_decoder.h"
#include "platform/item_codec.h"
#include "platform/wire_names.h"
#include "plugins/fleet/fleet_task.h"

/// Entries of backend servers, and the schema that reads them, for tests of
/// instances before a stand-in for the store.
namespace ibisladder::platform {

inline std::string ServerKey(const std::string& name) {
  return kServersPrefix + name;
}

inline std::string ServerValue(const char* state, int sequence) {
  return nlohmann::json{
      {"addr", "127.0.0.1:9"},
      {"info", {{"service", "s"}, {"zone", "a"}, {"max_concurrency", 4}}},
      {"status", {{"state", state}, {"seq", sequence}}}}
      .dump();
}

inline std::unique_ptr<fleet::ConfigurationDecoder> MakeDecoder() {
  return std::make_unique<ConfigurationDecoder>();
}

inline fleet::StoreSchema MakeSchema() {
  return {&MakeDecoder,
          &ParseServer,
          kConfigurationPrefix,
          kConfigurationKey,
          kServersPrefix,
          kMembersPrefix,
          kEraKey};
}

}  // namespace ibisladder::platform

#endif  // TESTS_AUTO_PLATFORM_STORE_ENTRIES_H_
