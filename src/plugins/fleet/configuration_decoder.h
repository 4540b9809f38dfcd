#ifndef PLUGINS_FLEET_CONFIGURATION_DECODER_H_
#define PLUGINS_FLEET_CONFIGURATION_DECODER_H_

#include <optional>
#include <string_view>

#include "libs/base/result_code.h"
#include "libs/gateway/configuration.h"

namespace ibisladder::fleet {

/// Decodes the store's configurations, one after the other, in steps between
/// which the event loop handles other events.
class ConfigurationDecoder {
 public:
  virtual ~ConfigurationDecoder() = default;

  /// Starts with a value, and gives up the one before if it is not complete.
  virtual void Start(std::string_view value) = 0;
  /// Decodes the next part. Returns nullopt until the value is complete.
  virtual std::optional<Expected<gateway::Configuration>> Continue() = 0;
};

}  // namespace ibisladder::fleet

#endif  // PLUGINS_FLEET_CONFIGURATION_DECODER_H_
