#include "tools/ibisladder/failure_cause.h"

#include <vector>

#include "libs/base/result_code.h"

namespace ibisladder::tool {
namespace {

constexpr std::int64_t kMinErrorStatus = 400;
constexpr std::int64_t kMinServerErrorStatus = 500;

/// Removes the server, which would split one cause into many: "declined" for
/// "declined by i-67c6bab51e".
std::string FailureKind(std::string_view failure) {
  return std::string(failure.substr(0, failure.find(" by ")));
}

struct Request {
  bool was_retried = false;
  bool was_lost = false;
  /// Null if none was found.
  const LogRecord* final_record = nullptr;
};

/// Requests by id, and by each instance that logged a record of them since it
/// last started.
struct RequestIndex {
  std::map<std::string_view, Request> by_id;
  std::map<std::string_view, std::vector<Request*>> by_source;
};

/// Marks the unfinished requests of a process that has been replaced by a new
/// one as lost.
void MarkRequestsLost(std::string_view source, RequestIndex& requests) {
  for (Request* it : requests.by_source[source]) {
    it->was_lost = it->final_record == nullptr;
  }
  requests.by_source.erase(source);
}

void AddRecord(const LogRecord& record, RequestSummary& summary,
               RequestIndex& requests) {
  const std::string_view id = FieldOf(record, "request");
  if (id.empty()) return;
  Request& request = requests.by_id[id];
  requests.by_source[record.source].push_back(&request);
  if (record.event == LogEvent::kCallRetried) {
    request.was_retried = true;
    ++summary.retries_by_reason[FailureKind(FieldOf(record, "reason"))];
  }
  // The caller does not wait for an answer after its cancellation, so the
  // cancellation stays the final record.
  const bool was_cancelled =
      request.final_record != nullptr &&
      request.final_record->event == LogEvent::kCallCancelled;
  if (IsFinal(record) && !was_cancelled) request.final_record = &record;
}

std::string CauseOf(const Request& request) {
  if (request.final_record != nullptr) return CauseOf(*request.final_record);
  return request.was_lost ? std::string(kInstanceEndedCause) : "";
}

}  // namespace

bool IsFinal(const LogRecord& record) {
  return record.event == LogEvent::kCallAnswered ||
         record.event == LogEvent::kCallRefused ||
         record.event == LogEvent::kCallCancelled;
}

bool IsServed(const LogRecord& final_record) {
  return final_record.event == LogEvent::kCallAnswered &&
         NumberOf(final_record, "status", kMinErrorStatus) < kMinErrorStatus;
}

std::string CauseOf(const LogRecord& final_record) {
  if (final_record.event == LogEvent::kCallCancelled) {
    return "the caller left before its answer";
  }
  const std::int64_t status = NumberOf(final_record, "status", 0);
  const auto code =
      static_cast<ResultCode>(NumberOf(final_record, "result", 0));
  if (status == 0 || code == ResultCode{}) return "";
  std::string cause = std::to_string(status) + ": ";
  if (code == ResultCode::kDone) {
    cause += status < kMinServerErrorStatus
                 ? "the backend server's own answer"
                 : "the backend server's own failure was passed on";
  } else {
    cause += Describe(code);
  }
  if (const auto failure = FieldOf(final_record, "last_failure");
      !failure.empty()) {
    cause += "; last attempt: " + FailureKind(failure);
  }
  return cause;
}

namespace {

/// Adds the bytes of one line; its fields are kinds of bytes.
void AddZoneTraffic(const LogRecord& record, RequestSummary& summary) {
  for (const auto& [kind, value] : record.fields) {
    const std::int64_t n = NumberOf(record, kind, 0);
    if (n > 0) summary.zone_bytes[kind] += static_cast<std::size_t>(n);
  }
}

}  // namespace

RequestSummary Summarise(const LogRecords& logs) {
  RequestSummary summary;
  RequestIndex requests;
  for (const auto& it : logs.records) {
    if (it.event == LogEvent::kZoneTraffic) AddZoneTraffic(it, summary);
    if (it.event == LogEvent::kProcessStarted) {
      MarkRequestsLost(it.source, requests);
    }
    AddRecord(it, summary, requests);
  }
  summary.requests = requests.by_id.size();
  for (const auto& [id, it] : requests.by_id) {
    if (it.final_record != nullptr && IsServed(*it.final_record)) {
      ++summary.served;
      summary.served_after_retry += it.was_retried ? 1 : 0;
      continue;
    }
    const std::string cause = CauseOf(it);
    ++(cause.empty() ? summary.unknown_cause
                     : summary.unserved_by_cause[cause]);
  }
  return summary;
}

}  // namespace ibisladder::tool
