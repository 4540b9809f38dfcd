#ifndef TOOLS_IBISLADDER_REQUEST_EXPLANATION_H_
#define TOOLS_IBISLADDER_REQUEST_EXPLANATION_H_

#include <optional>
#include <string>

#include "tools/ibisladder/log_records.h"

namespace ibisladder::tool {

/// What happened to one request and why, in plain words: a line for each record
/// of it, with what the instance believed then, and the cause at the end. None
/// if no record names the request.
std::optional<std::string> ExplainRequest(const LogRecords& logs,
                                          const std::string& request_id);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_REQUEST_EXPLANATION_H_
