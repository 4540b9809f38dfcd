#ifndef TOOLS_IBISLADDER_REQUEST_EXPLANATION_H_
#define TOOLS_IBISLADDER_REQUEST_EXPLANATION_H_

#include <optional>
#include <string>

#include "tools/ibisladder/log_records.h"

namespace ibisladder::tool {

/// Explains what happened to a request and why: a line for each of its records,
/// with what the instance knew then by its log, and the cause at the end. None
/// if no record names the request.
std::optional<std::string> ExplainRequest(const LogRecords& logs,
                                          const std::string& request_id);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_REQUEST_EXPLANATION_H_
