#include "libs/logging/log_writer.h"

#include <glog/logging.h>

#include <string>

namespace ibisladder::logging {
namespace {

constexpr Duration kWindow = Seconds(1);

}  // namespace

bool IsFailure(LogEvent event) {
  switch (event) {
    case LogEvent::kCallRefused:
    case LogEvent::kAnswerRejected:
    case LogEvent::kLateAnswerDropped:
    case LogEvent::kRetryBudgetSpent:
    case LogEvent::kEjectionRefusedByFloor:
    case LogEvent::kDatagramDropped:
    case LogEvent::kConfigurationFetchFailed:
    case LogEvent::kConfigurationItemUnreadable:
    case LogEvent::kStoreLost:
    case LogEvent::kOperatorRefused:
    case LogEvent::kSocketFailed:
      return true;
    default:
      return false;
  }
}

void LogWriter::Write(const LogLine& line, TimePoint now) {
  if (!MayWrite(line.event, now)) return;
  if (IsFailure(line.event)) {
    LOG(WARNING) << FormatLogLine(line);
  } else {
    LOG(INFO) << FormatLogLine(line);
  }
}

bool LogWriter::MayWrite(LogEvent event, TimePoint now) {
  Window& window = windows_[event];
  if (now - window.start >= kWindow) {
    if (window.suppressed > 0) {
      LOG(WARNING) << FormatLogLine(
          {event, {{"suppressed", std::to_string(window.suppressed)}}});
    }
    window = Window{now, 0, 0};
  }
  const std::uint32_t limit = IsFailure(event)
                                  ? limits_.failure_lines_per_second
                                  : limits_.lines_per_second;
  if (window.written >= limit) {
    ++window.suppressed;
    return false;
  }
  ++window.written;
  return true;
}

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

}  // namespace ibisladder::logging
