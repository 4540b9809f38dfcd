#include "tools/ibisladder/log_records.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace ibisladder::tool {
namespace {

using nlohmann::json;

/// Returns the last word before the JSON object, where log collectors put the
/// machine's name, or the file's name if there is none.
std::string SourceOf(std::string_view before, const std::string& file) {
  constexpr std::string_view kBlanks = " \t";
  const auto end = before.find_last_not_of(kBlanks);
  if (end == std::string_view::npos) return file;
  before = before.substr(0, end + 1);
  const auto blank = before.find_last_of(kBlanks);
  return std::string(
      blank == std::string_view::npos ? before : before.substr(blank + 1));
}

std::optional<LogRecord> ParseLine(std::string_view line,
                                   const std::string& file) {
  const auto start = line.find('{');
  if (start == std::string_view::npos) return std::nullopt;
  const json object = json::parse(line.substr(start), nullptr, false);
  if (!object.is_object()) return std::nullopt;
  const auto time = object.find("t");
  const auto code = object.find("code");
  if (time == object.end() || !time->is_number_integer()) return std::nullopt;
  if (code == object.end() || !code->is_number_integer()) return std::nullopt;
  LogRecord record;
  record.unix_ms = time->get<std::int64_t>();
  record.event = static_cast<LogEvent>(code->get<int>());
  record.source = SourceOf(line.substr(0, start), file);
  for (const auto& [name, value] : object.items()) {
    record.fields[name] =
        value.is_string() ? value.get<std::string>() : value.dump();
  }
  return record;
}

void ParseLog(const LogText& log, LogRecords& result) {
  std::string_view rest = log.text;
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    const std::string_view line = rest.substr(0, end);
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    if (line.empty()) continue;
    auto record = ParseLine(line, log.name);
    if (!record) {
      ++result.unreadable_lines;
      continue;
    }
    if (record->event == LogEvent::kLogLinesDropped) {
      result.dropped_lines +=
          static_cast<std::uint64_t>(NumberOf(*record, "dropped", 0));
    }
    result.records.push_back(std::move(*record));
  }
}

}  // namespace

LogRecords ReadLogs(std::span<const LogText> logs) {
  LogRecords result;
  for (const auto& it : logs) ParseLog(it, result);
  std::ranges::stable_sort(result.records, {}, &LogRecord::unix_ms);
  return result;
}

std::string_view FieldOf(const LogRecord& record, const std::string& name) {
  const auto it = record.fields.find(name);
  return it == record.fields.end() ? std::string_view() : it->second;
}

std::int64_t NumberOf(const LogRecord& record, const std::string& name,
                      std::int64_t fallback) {
  const std::string_view text = FieldOf(record, name);
  std::int64_t number = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_number =
      ec == std::errc() && !text.empty() && end == text.data() + text.size();
  return is_number ? number : fallback;
}

}  // namespace ibisladder::tool
