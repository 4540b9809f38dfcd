#ifndef LIBS_LOGGING_JSON_LOG_H_
#define LIBS_LOGGING_JSON_LOG_H_

#include <cstdint>
#include <string>

#include "libs/base/log_event.h"
#include "libs/base/time.h"

/// One JSON object a line on a file descriptor, through a bounded queue: a
/// reader that stops never delays the process. glog writes synchronously, so
/// it does not serve here.
namespace ibisladder::logging {

/// `line` as a JSON object with time, event number, name and fields.
/// `unix_ms`: time of day, milliseconds.
std::string FormatJson(const LogLine& line, std::int64_t unix_ms);

class JsonLog {
 public:
  struct Limits {
    /// Bytes that wait for a slow reader; what does not fit is dropped.
    std::size_t queue_bytes = 256U << 10U;
    /// Lines a second, so that a failure that repeats does not fill the log.
    std::uint32_t lines_per_second = 400;
  };

  /// `fd` is made non-blocking.
  JsonLog(int fd, const Limits& limits);

  void Write(const LogLine& line, TimePoint now);
  /// Hands queued bytes to the descriptor; call it every 100 ms or so.
  void Flush(TimePoint now);

  /// Lines dropped since the start.
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Append(const LogLine& line);

  int fd_;
  Limits limits_;
  std::string queue_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
  TimePoint window_start_;
  std::uint32_t window_lines_ = 0;
};

}  // namespace ibisladder::logging

#endif  // LIBS_LOGGING_JSON_LOG_H_
