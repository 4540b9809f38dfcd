#include "tools/ibisladder/exit_code.h"

namespace ibisladder::tool {

ExitCode ExitCodeOf(ResultCode code) {
  switch (code) {
    case ResultCode::kDone:
      return ExitCode::kOk;
    case ResultCode::kInvalidRequest:
      return ExitCode::kUsage;
    case ResultCode::kInvalidArgument:
    case ResultCode::kTooLarge:
      return ExitCode::kInvalid;
    case ResultCode::kConflict:
      return ExitCode::kConflict;
    case ResultCode::kUnavailable:
    case ResultCode::kNotReady:
    case ResultCode::kStopping:
      return ExitCode::kUnavailable;
    case ResultCode::kNotFound:
      return ExitCode::kNotFound;
    case ResultCode::kUnauthorised:
      return ExitCode::kUnauthorised;
    case ResultCode::kWriteUnknown:
      return ExitCode::kWriteUnknown;
    case ResultCode::kFileUnreadable:
      return ExitCode::kFileUnreadable;
    default:
      return ExitCode::kInternal;
  }
}

}  // namespace ibisladder::tool
