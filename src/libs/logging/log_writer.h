#ifndef LIBS_LOGGING_LOG_WRITER_H_
#define LIBS_LOGGING_LOG_WRITER_H_

#include <cstdint>
#include <map>

#include "libs/base/log_event.h"
#include "libs/base/time.h"

/// Writes log lines through glog, with a rate limit for each event.
namespace ibisladder::logging {

/// Maximum number of lines written per event and second. Further lines are
/// counted; the event's first line in a later second is preceded by a line with
/// the count.
struct LogLimits {
  std::uint32_t lines_per_second = 2000;
  /// Limit for events that repeat while a failure lasts; see IsFailure.
  std::uint32_t failure_lines_per_second = 20;
};

/// One per task; not shared between threads.
class LogWriter {
 public:
  explicit LogWriter(LogLimits limits) : limits_(limits) {}

  void Write(const LogLine& line, TimePoint now);

 private:
  struct Window {
    TimePoint start;
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
  };

  bool MayWrite(LogEvent event, TimePoint now);

  LogLimits limits_;
  std::map<LogEvent, Window> windows_;
};

/// Whether an event reports a failure. Such lines are warnings and have the
/// lower rate limit.
bool IsFailure(LogEvent event);

/// Initialises glog, with output to standard error; to be called once at start.
void StartLogging(const char* program);

}  // namespace ibisladder::logging

#endif  // LIBS_LOGGING_LOG_WRITER_H_
