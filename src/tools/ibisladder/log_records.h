#ifndef TOOLS_IBISLADDER_LOG_RECORDS_H_
#define TOOLS_IBISLADDER_LOG_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/log_event.h"

/// Reads the JSON lines that entry instances log.
namespace ibisladder::tool {

/// Contents of a log file, which may be cut.
struct LogText {
  std::string name;
  std::string text;
};

struct LogRecord {
  /// Time in ms since the Unix epoch, by the clock of the instance.
  std::int64_t unix_ms = 0;
  LogEvent event{};
  /// Instance that wrote the record: the last word before the JSON object, or
  /// the file's name if there is none.
  std::string source;
  std::map<std::string, std::string> fields;
};

struct LogRecords {
  /// Sorted by time; records of the same millisecond keep the order of the
  /// input.
  std::vector<LogRecord> records;
  /// Lines that are not log records: damaged, cut, or from another program.
  std::size_t unreadable_lines = 0;
  /// Lines that instances report as dropped.
  std::uint64_t dropped_lines = 0;
};

LogRecords ReadLogs(std::span<const LogText> logs);

/// Returns the value of a field, or an empty text if it is missing.
std::string_view FieldOf(const LogRecord& record, const std::string& name);

/// Returns the whole number in a field, or `fallback` if there is none.
std::int64_t NumberOf(const LogRecord& record, const std::string& name,
                      std::int64_t fallback);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_LOG_RECORDS_H_
