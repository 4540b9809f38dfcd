#include "tools/ibisladder/failure_cause.h"

#include "libs/base/result_code.h"

namespace ibisladder::tool {
namespace {

constexpr std::int64_t kFirstFailure = 400;
constexpr std::int64_t kFirstServerError = 500;

/// "declined" of "declined by i-67c6bab51e".
std::string KindOf(std::string_view failure) {
  return std::string(failure.substr(0, failure.find(" by ")));
}

struct Request {
  bool was_retried = false;
  /// Null: none was found.
  const LogRecord* final_record = nullptr;
};

}  // namespace

bool IsFinal(const LogRecord& record) {
  return record.event == LogEvent::kCallAnswered ||
         record.event == LogEvent::kCallRefused ||
         record.event == LogEvent::kCallCancelled;
}

bool IsServed(const LogRecord& final_record) {
  return final_record.event == LogEvent::kCallAnswered &&
         NumberOf(final_record, "status", kFirstFailure) < kFirstFailure;
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
    cause += status < kFirstServerError
                 ? "the backend server's own answer"
                 : "the backend server's own failure was passed on";
  } else {
    cause += Describe(code);
  }
  if (const auto failure = FieldOf(final_record, "last_failure");
      !failure.empty()) {
    cause += "; last attempt: " + KindOf(failure);
  }
  return cause;
}

UnservedSummary Summarise(const LogRecords& logs) {
  UnservedSummary summary;
  std::map<std::string_view, Request> requests;
  for (const auto& it : logs.records) {
    const std::string_view id = FieldOf(it, "request");
    if (id.empty()) continue;
    Request& request = requests[id];
    if (it.event == LogEvent::kCallRetried) {
      request.was_retried = true;
      ++summary.retries[KindOf(FieldOf(it, "reason"))];
    }
    // An answer that the caller did not wait for is no final one.
    const bool was_left =
        request.final_record != nullptr &&
        request.final_record->event == LogEvent::kCallCancelled;
    if (IsFinal(it) && !was_left) request.final_record = &it;
  }
  summary.requests = requests.size();
  for (const auto& [id, it] : requests) {
    if (it.final_record != nullptr && IsServed(*it.final_record)) {
      ++summary.served;
      summary.served_after_retry += it.was_retried ? 1 : 0;
      continue;
    }
    const std::string cause =
        it.final_record == nullptr ? "" : CauseOf(*it.final_record);
    ++(cause.empty() ? summary.unknown : summary.by_cause[cause]);
  }
  return summary;
}

}  // namespace ibisladder::tool
