#ifndef LIBS_CALLERPATH_INTEGRITY_H_
#define LIBS_CALLERPATH_INTEGRITY_H_

#include <optional>
#include <string>
#include <string_view>

#include "libs/callerpath/messages.h"
#include "libs/routing/router.h"

/// Integrity checks of a backend server's answer; pure functions.
namespace ibisladder::callerpath::Internal {

enum class AnswerKind : std::uint8_t {
  kValid,    ///< Passes all checks.
  kNotRun,   ///< The server declares that it did not run (shed) the request.
  kCorrupt,  ///< Fails a check; `reason` says which.
};

struct AnswerCheck {
  AnswerKind kind = AnswerKind::kCorrupt;
  /// For the log; empty unless kCorrupt.
  std::string reason;
};

/// Returns null when the field is absent; names compare case-insensitively.
const std::string* FindHeader(const Headers& headers, std::string_view name);

/// Checks the answer to `request_id`, which was sent with `method`.
AnswerCheck CheckAnswer(const ServerAnswered& answer,
                        std::string_view request_id, std::string_view method);

/// Returns the load that an answer reports; none when the field is absent.
/// Malformed members are ignored.
std::optional<routing::LoadReport> ParseLoad(const Headers& headers);

/// Returns the fields that may be passed on to the caller: without
/// Ibisladder-*, Content-Length, Transfer-Encoding and Connection.
Headers CallerHeaders(const Headers& headers);

}  // namespace ibisladder::callerpath::Internal

#endif  // LIBS_CALLERPATH_INTEGRITY_H_
