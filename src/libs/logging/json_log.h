#ifndef LIBS_LOGGING_JSON_LOG_H_
#define LIBS_LOGGING_JSON_LOG_H_

#include <cstdint>
#include <string>

#include "libs/base/log_event.h"
#include "libs/base/time.h"

/// Writes the log as one JSON object per line to a file descriptor, through a
/// bounded queue: a stalled reader never blocks the process. glog writes
/// synchronously and would block.
namespace ibisladder::logging {

/// Returns `line` as a JSON object with time, event number, event name and the
/// fields that are not empty. `unix_ms`: milliseconds since the Unix epoch.
std::string FormatJson(const LogLine& line, std::int64_t unix_ms);

class JsonLog {
 public:
  struct Limits {
    /// Size of the queue for a slow reader; once it is full, lines are dropped.
    std::size_t queue_bytes = 256U << 10U;
    /// Bounds the log's growth while a failure repeats.
    std::uint32_t lines_per_second = 400;
  };

  /// Makes `fd` non-blocking.
  JsonLog(int fd, const Limits& limits);

  void Write(const LogLine& line, TimePoint now);
  /// Writes queued bytes to the descriptor; to be called about every 100 ms.
  void Flush(TimePoint now);

  /// Number of lines dropped since the start.
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
