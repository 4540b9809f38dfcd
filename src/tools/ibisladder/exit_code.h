#ifndef TOOLS_IBISLADDER_EXIT_CODE_H_
#define TOOLS_IBISLADDER_EXIT_CODE_H_

#include <cstdint>

#include "libs/base/result_code.h"

/// Exit codes of the operators' tool, for scripts. docs/OPERATORS.md lists
/// them.
namespace ibisladder::tool {

enum class ExitCode : std::uint8_t {
  kOk = 0,
  kInternal = 1,
  kUsage = 2,
  kInvalid = 3,
  /// Some of the instances that --at names did not answer.
  kSomeUnanswered = 3,
  kConflict = 4,
  kUnavailable = 5,
  kNotFound = 6,
  kUnauthorised = 7,
  kWriteUnknown = 8,
  kFileUnreadable = 9,
  /// `diff` found differences.
  kDifferent = 10,
};

/// Returns the exit code for a result code.
ExitCode ExitCodeOf(ResultCode code);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_EXIT_CODE_H_
