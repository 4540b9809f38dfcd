#ifndef LIBS_CALLERPATH_REPLIES_H_
#define LIBS_CALLERPATH_REPLIES_H_

#include <optional>
#include <string_view>

#include "libs/base/random.h"
#include "libs/callerpath/messages.h"

/// Answers that the instance gives itself.
namespace ibisladder::callerpath::Internal {

/// Returns the HTTP status for an answer of the instance itself.
int StatusOfCode(ResultCode code);

/// Returns a JSON answer with `code`, its outcome and its description. The
/// caller task writes the Ibisladder-* and Retry-After fields from code and
/// retry_after.
CallerAnswer MakeReply(ResultCode code,
                       std::optional<Duration> retry_after = std::nullopt);

/// Returns a random duration from `base` to three times `base`, so that callers
/// do not retry at the same time.
Duration SpreadRetry(Duration base, Random& random);

/// Returns the Retry-After time for a code; none for codes that do not ask the
/// caller to try again.
std::optional<Duration> RetryAfterOf(ResultCode code, Random& random);

}  // namespace ibisladder::callerpath::Internal

#endif  // LIBS_CALLERPATH_REPLIES_H_
