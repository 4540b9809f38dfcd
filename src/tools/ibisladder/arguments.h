#ifndef TOOLS_IBISLADDER_ARGUMENTS_H_
#define TOOLS_IBISLADDER_ARGUMENTS_H_

#include <string>
#include <vector>

#include "libs/base/result_code.h"

/// Checks and normalises the command line before Abseil parses it. Abseil ends
/// the process on an unknown flag and has no dashes in the names of flags.
namespace ibisladder::tool {

struct Arguments {
  /// Program name, flags as "--name=value", "--", operands.
  std::vector<std::string> flags_and_operands;
  /// --help or -h was given. Help is shown instead of running a command.
  bool help = false;
};

/// Returns kInvalidRequest for an unknown flag, a missing value, or a value
/// other than "true" and "false" for a boolean flag. The error's place is the
/// argument as given.
Expected<Arguments> NormaliseArguments(const std::vector<std::string>& args);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_ARGUMENTS_H_
