#include "libs/logging/json_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <nlohmann/json.hpp>

namespace ibisladder::logging {
namespace {

constexpr Duration kWindow = Seconds(1);
/// Queue size from which Write flushes at once.
constexpr std::size_t kFlushThresholdBytes = 4096;

std::int64_t UnixMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

std::string FormatJson(const LogLine& line, std::int64_t unix_ms) {
  nlohmann::ordered_json json;
  json["t"] = unix_ms;
  json["code"] = static_cast<int>(line.event);
  json["event"] = EventName(line.event);
  for (const auto& [name, value] : line.fields) {
    if (!value.empty()) json[name] = value;
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

JsonLog::JsonLog(int fd, const Limits& limits) : fd_(fd), limits_(limits) {
  const int flags = fcntl(fd_, F_GETFL);
  if (flags >= 0) fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
}

void JsonLog::Write(const LogLine& line, TimePoint now) {
  if (now - window_start_ >= kWindow) {
    window_start_ = now;
    window_lines_ = 0;
  }
  if (window_lines_ >= limits_.lines_per_second ||
      queue_.size() >= limits_.queue_bytes) {
    ++dropped_;
    return;
  }
  ++window_lines_;
  Append(line);
  if (queue_.size() >= kFlushThresholdBytes) Flush(now);
}

void JsonLog::Append(const LogLine& line) {
  queue_ += FormatJson(line, UnixMillis());
  queue_ += '\n';
}

void JsonLog::Flush(TimePoint /*now*/) {
  if (dropped_ > dropped_reported_ && queue_.size() < limits_.queue_bytes) {
    Append({LogEvent::kLogLinesDropped,
            {{"dropped", std::to_string(dropped_ - dropped_reported_)}}});
    dropped_reported_ = dropped_;
  }
  while (!queue_.empty()) {
    const ssize_t n = write(fd_, queue_.data(), queue_.size());
    if (n <= 0) return;
    queue_.erase(0, static_cast<std::size_t>(n));
  }
}

}  // namespace ibisladder::logging
