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

/// Reads a whole file; "-" is the standard input. kFileUnreadable.
using FileReader = std::function<Expected<std::string>(const std::string&)>;

/// Flags as given.
struct RawFlags {
  std::vector<std::string> endpoint;
  std::string token_file;
  /// Value of IBISLADDER_TOKEN.
  std::string environment_token;
  bool json = false;
  std::string service;
  std::string based_on;
  std::string change_id;
};

/// Flags as checked.
struct Options {
  std::vector<Endpoint> endpoints;
  std::string token;
  bool json = false;
  /// Service that `status` is restricted to; empty: all.
  std::string service;
  std::optional<std::uint64_t> based_on;
  /// Empty: the tool makes one.
  std::string change_id;
};

/// kInvalidRequest names the flag and what would be right.
Expected<Options> ReadOptions(const RawFlags& flags,
                              const FileReader& read_file);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_OPTIONS_H_
