#include <algorithm>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "tools/ibisladder/commands.h"
#include "tools/ibisladder/failure_cause.h"
#include "tools/ibisladder/report.h"
#include "tools/ibisladder/request_explanation.h"
#include "tools/ibisladder/table.h"

namespace ibisladder::tool {
namespace {

Expected<LogRecords> ReadFiles(const Environment& env,
                               std::span<const std::string> paths) {
  std::vector<LogText> logs;
  for (const auto& it : paths) {
    auto text = env.read_file(it);
    if (!text) return tl::unexpected(text.error());
    logs.push_back({it, std::move(*text)});
  }
  return ReadLogs(logs);
}

/// Warns about lines that could not be read or were never written.
void ReportMissingLines(const Environment& env, const LogRecords& logs) {
  if (logs.unreadable_lines > 0) {
    env.err << "ibisladder: " << logs.unreadable_lines
            << " lines are not log records and were skipped\n";
  }
  if (logs.dropped_lines > 0) {
    env.err << "ibisladder: the instances dropped " << logs.dropped_lines
            << " log lines under load\n";
  }
}

json::OrderedJson CountsJson(const std::map<std::string, std::size_t>& counts) {
  json::OrderedJson object = json::OrderedJson::object();
  for (const auto& [name, count] : counts) object[name] = count;
  return object;
}

void PrintSummaryJson(const Environment& env, const LogRecords& logs,
                      const RequestSummary& summary) {
  json::OrderedJson document;
  document["requests"] = summary.requests;
  document["served"] = summary.served;
  document["served_after_retry"] = summary.served_after_retry;
  document["unserved_by_cause"] = CountsJson(summary.unserved_by_cause);
  document["unknown_cause"] = summary.unknown_cause;
  document["retries_by_reason"] = CountsJson(summary.retries_by_reason);
  document["bytes_between_zones"] = CountsJson(summary.zone_bytes);
  document["unreadable_lines"] = logs.unreadable_lines;
  document["dropped_lines"] = logs.dropped_lines;
  PrintJson(env, document);
}

std::string CountTable(const std::string& unit, const std::string& heading,
                       const std::map<std::string, std::size_t>& counts) {
  std::vector<std::pair<std::size_t, std::string>> order;
  for (const auto& [name, count] : counts) order.emplace_back(count, name);
  std::ranges::sort(order, std::greater<>());
  std::vector<TableRow> rows = {{unit, heading}};
  for (const auto& [count, name] : order) {
    rows.push_back({std::to_string(count), name});
  }
  return FormatTable(rows);
}

}  // namespace

ExitCode RunExplain(const Invocation& invocation, const Environment& env) {
  const bool as_json = invocation.options.json;
  const std::string& id = invocation.operands[0];
  const auto logs = ReadFiles(env, std::span(invocation.operands).subspan(1));
  if (!logs) return ReportError(env, as_json, logs.error());
  ReportMissingLines(env, *logs);
  const auto explanation = ExplainRequest(*logs, id);
  if (!explanation) {
    return ReportError(env, as_json,
                       {ResultCode::kNotFound, id,
                        "no record in these logs has this request id"});
  }
  if (as_json) {
    json::OrderedJson document;
    document["request"] = id;
    document["story"] = *explanation;
    PrintJson(env, document);
  } else {
    env.out << *explanation;
  }
  return ExitCode::kOk;
}

ExitCode RunSummary(const Invocation& invocation, const Environment& env) {
  const auto logs = ReadFiles(env, invocation.operands);
  if (!logs) {
    return ReportError(env, invocation.options.json, logs.error());
  }
  ReportMissingLines(env, *logs);
  const RequestSummary summary = Summarise(*logs);
  if (invocation.options.json) {
    PrintSummaryJson(env, *logs, summary);
    return ExitCode::kOk;
  }
  env.out << summary.requests << " requests, " << summary.served << " served, "
          << summary.served_after_retry << " of them after a retry; "
          << summary.unknown_cause << " unserved with unknown cause\n\n"
          << CountTable("REQUESTS", "NOT SERVED BECAUSE",
                        summary.unserved_by_cause)
          << "\n"
          << CountTable("REQUESTS", "SENT AGAIN BECAUSE",
                        summary.retries_by_reason);
  if (!summary.zone_bytes.empty()) {
    env.out << "\n"
            << CountTable("BYTES", "EXCHANGED WITH OTHER ZONES AS",
                          summary.zone_bytes);
  }
  return ExitCode::kOk;
}

}  // namespace ibisladder::tool
