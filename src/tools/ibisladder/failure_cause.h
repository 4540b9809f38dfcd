#ifndef TOOLS_IBISLADDER_FAILURE_CAUSE_H_
#define TOOLS_IBISLADDER_FAILURE_CAUSE_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "tools/ibisladder/log_records.h"

/// Finds in the logs why requests were not served.
namespace ibisladder::tool {

/// Whether the record ends a request: it was answered, refused or cancelled
/// because its caller left.
bool IsFinal(const LogRecord& record);

/// Whether the request of a final record was served: answered with a status
/// below 400.
bool IsServed(const LogRecord& final_record);

/// Returns why the request of a final record was not served. The text contains
/// no names of servers, so that requests with the same cause can be counted
/// together. Empty if the record does not state a cause.
std::string CauseOf(const LogRecord& final_record);

/// Cause of a request without a final record whose instance has restarted.
constexpr std::string_view kInstanceEndedCause =
    "the instance ended while it held the request";

struct RequestSummary {
  /// Requests with at least one record in the logs.
  std::size_t requests = 0;
  std::size_t served = 0;
  /// Counts of requests that were not served, by the text of CauseOf or
  /// kInstanceEndedCause.
  std::map<std::string, std::size_t> unserved_by_cause;
  /// Requests that were not served and whose cause is not known: the final
  /// record is missing or does not state one.
  std::size_t unknown_cause = 0;
  /// Served requests that needed more than one attempt.
  std::size_t served_after_retry = 0;
  /// Counts of failed attempts that were followed by another one, by reason.
  std::map<std::string, std::size_t> retries_by_reason;
  /// Bytes exchanged with other availability zones, by what they carried.
  std::map<std::string, std::size_t> zone_bytes;
};

RequestSummary Summarise(const LogRecords& logs);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_FAILURE_CAUSE_H_
