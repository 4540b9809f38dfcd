#ifndef TOOLS_IBISLADDER_OPTIONS_H_
#define TOOLS_IBISLADDER_OPTIONS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"

namespace ibisladder::tool {

/// Returns the contents of a file, or kFileUnreadable. "-" is the standard
/// input.
using FileReader = std::function<Expected<std::string>(const std::string&)>;

/// Values of the flags as given; empty if not given.
struct RawFlags {
  std::vector<std::string> endpoint;
  std::vector<std::string> at;
  std::string token_file;
  /// Value of IBISLADDER_TOKEN.
  std::string environment_token;
  bool json = false;
  std::string service;
  std::string based_on;
  std::string change_id;
};

/// Checked options.
struct Options {
  std::vector<Endpoint> endpoints;
  /// Metrics addresses of instances.
  std::vector<Endpoint> at;
  std::string token;
  bool json = false;
  /// Service that `status` is restricted to; empty for all services.
  std::string service;
  std::optional<std::uint64_t> based_on;
  /// Empty if the tool is to create one.
  std::string change_id;
};

/// Checks the flags and reads the token file. Returns kInvalidRequest with the
/// flag as place and the accepted values, or the error of `read_file`.
Expected<Options> ReadOptions(const RawFlags& flags,
                              const FileReader& read_file);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_OPTIONS_H_
