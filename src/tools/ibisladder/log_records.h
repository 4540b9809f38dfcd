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

/// The JSON lines that entry instances log, read back.
namespace ibisladder::tool {

/// One log file, or the part of it that was kept.
struct LogText {
  std::string name;
  std::string text;
};

struct LogRecord {
  /// By the clock of the instance that wrote it.
  std::int64_t unix_ms = 0;
  LogEvent event{};
  /// The instance: the word before the JSON object, or the file.
  std::string source;
  std::map<std::string, std::string> fields;
};

struct LogRecords {
  /// In order of time; those of one millisecond as they stood in the files.
  std::vector<LogRecord> records;
  /// Lines that are no record: damaged, cut, or of another program.
  std::size_t unreadable_lines = 0;
  /// Lines that instances said they had left out.
  std::uint64_t dropped_lines = 0;
};

LogRecords ReadLogs(std::span<const LogText> logs);

/// The value of a field; empty when it is missing.
std::string_view FieldOf(const LogRecord& record, const std::string& name);

/// The number in a field; `fallback` when there is none.
std::int64_t NumberOf(const LogRecord& record, const std::string& name,
                      std::int64_t fallback);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_LOG_RECORDS_H_
