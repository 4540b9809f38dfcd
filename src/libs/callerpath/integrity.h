#ifndef LIBS_CALLERPATH_INTEGRITY_H_
#define LIBS_CALLERPATH_INTEGRITY_H_

#include <optional>
#include <string>
#include <string_view>

#include "libs/callerpath/messages.h"
#include "libs/routing/router.h"

/// Checks of a backend server's answer; pure functions.
namespace ibisladder::callerpath::Internal {

enum class AnswerKind : std::uint8_t {
  kValid,    ///< The server's answer to this request.
  kNotRun,   ///< The definite not_run that the request was not run.
  kCorrupt,  ///< Fails a check; see the reason.
};

struct AnswerCheck {
  AnswerKind kind = AnswerKind::kCorrupt;
  /// For the log; empty unless kCorrupt.
  std::string reason;
};

/// Null when there is no such field; names compare without case.
const std::string* FindHeader(const Headers& headers, std::string_view name);

/// Judges the answer to `request_id`, sent with `method`.
AnswerCheck CheckAnswer(const ServerAnswered& answer,
                        std::string_view request_id, std::string_view method);

/// The load that an answer reports; none when absent or malformed.
std::optional<routing::LoadReport> ParseLoad(const Headers& headers);

/// The answer without fields that are for this instance only.
Headers CallerHeaders(const Headers& headers);

}  // namespace ibisladder::callerpath::Internal

#endif  // LIBS_CALLERPATH_INTEGRITY_H_
