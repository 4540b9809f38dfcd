#include "tools/ibisladder/request_explanation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <span>
#include <vector>

#include "libs/base/result_code.h"
#include "tools/ibisladder/failure_cause.h"
#include "tools/ibisladder/table.h"

namespace ibisladder::tool {
namespace {

constexpr std::int64_t kMillisPerSecond = 1000;
/// An ejection within this time after a request was sent can explain its
/// failure: the platform's servers are ejected within a second or two of
/// becoming unhealthy.
constexpr std::int64_t kMaxEjectionDelayMillis = 5000;

using Records = std::span<const LogRecord>;

std::string SecondsText(std::int64_t millis) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3f s",
                static_cast<double>(millis) / kMillisPerSecond);
  return buf.data();
}

std::string Printable(std::string_view text) {
  return PrintableText(std::string(text));
}

bool IsServerStateEvent(const LogRecord& record) {
  switch (record.event) {
    case LogEvent::kServerEjected:
    case LogEvent::kServerRestored:
    case LogEvent::kServerProbation:
    case LogEvent::kEjectionRefusedByFloor:
    case LogEvent::kServerLeaving:
    case LogEvent::kServerListed:
    case LogEvent::kServerRemoved:
    case LogEvent::kServerReplaced:
      return true;
    default:
      return false;
  }
}

/// Returns the last record before `index` that has the same source and for
/// which `matches` returns true, or null.
template <typename Matches>
const LogRecord* LastBefore(Records records, std::size_t index,
                            const Matches& matches) {
  for (std::size_t i = index; i-- > 0;) {
    const LogRecord& it = records[i];
    if (it.source == records[index].source && matches(it)) return &it;
  }
  return nullptr;
}

std::string AgeText(const LogRecord& older, const LogRecord& newer) {
  return SecondsText(newer.unix_ms - older.unix_ms) + " earlier";
}

/// Describes the last state change of the chosen server that the instance
/// logged before the record.
std::string LastKnownState(Records records, std::size_t index) {
  const std::string_view server = FieldOf(records[index], "server");
  const LogRecord* known = LastBefore(records, index, [&](const LogRecord& it) {
    return IsServerStateEvent(it) && FieldOf(it, "server") == server;
  });
  if (known == nullptr) return "no earlier state change of it is logged";
  std::string text =
      "last state change: " + std::string(EventName(known->event)) + " " +
      AgeText(*known, records[index]);
  if (const auto reason = FieldOf(*known, "reason"); !reason.empty()) {
    text += " (" + Printable(reason) + ")";
  }
  return text;
}

std::string DispatchText(Records records, std::size_t index) {
  const LogRecord& it = records[index];
  return "sent to " + Printable(FieldOf(it, "server")) + ", attempt " +
         Printable(FieldOf(it, "attempt")) + " (" +
         Printable(FieldOf(it, "reason")) + "), after " +
         Printable(FieldOf(it, "waited_ms")) + " ms of waiting, " +
         Printable(FieldOf(it, "left_ms")) + " ms left; " +
         LastKnownState(records, index);
}

std::string FinalText(const LogRecord& it) {
  const auto code = static_cast<ResultCode>(NumberOf(it, "result", 0));
  std::string text = it.event == LogEvent::kCallRefused
                         ? "refused without being run: status "
                         : "answered: status ";
  text += Printable(FieldOf(it, "status")) + ", result " +
          Printable(FieldOf(it, "result"));
  if (code != ResultCode{}) text += " (" + std::string(Describe(code)) + ")";
  return text + ", after " + Printable(FieldOf(it, "took_ms")) + " ms and " +
         Printable(FieldOf(it, "attempts")) + " attempts";
}

std::string GenericText(const LogRecord& it) {
  std::string text(EventName(it.event));
  for (const auto& [name, value] : it.fields) {
    const bool is_shown =
        name != "t" && name != "code" && name != "event" && name != "request";
    if (is_shown) text += " " + Printable(name) + "=" + Printable(value);
  }
  return text;
}

std::string RecordText(Records records, std::size_t index) {
  const LogRecord& it = records[index];
  switch (it.event) {
    case LogEvent::kCallDispatched:
      return DispatchText(records, index);
    case LogEvent::kCallQueued:
      return "waits for a slot, " + Printable(FieldOf(it, "left_ms")) +
             " ms left";
    case LogEvent::kPermitDenied:
      return "not sent to " + Printable(FieldOf(it, "server")) +
             ", which limits the requests of all instances (" +
             Printable(FieldOf(it, "reason")) + "); next permit in " +
             Printable(FieldOf(it, "wait_ms")) + " ms at the earliest";
    case LogEvent::kCallRetried:
      return "attempt " + Printable(FieldOf(it, "attempts")) +
             " failed: " + Printable(FieldOf(it, "reason"));
    case LogEvent::kCallAnswered:
    case LogEvent::kCallRefused:
      return FinalText(it);
    case LogEvent::kCallCancelled:
      return "the caller left after " + Printable(FieldOf(it, "age_ms")) +
             " ms";
    default:
      return GenericText(it);
  }
}

/// Describes the configuration and the store's state that the instance had
/// logged before the record.
std::string ConfigurationAndStoreText(Records records, std::size_t index) {
  const LogRecord* version =
      LastBefore(records, index, [](const LogRecord& it) {
        return it.event == LogEvent::kConfigurationInstalled;
      });
  std::string text = version == nullptr
                         ? "configuration: not in these logs"
                         : "configuration: version " +
                               Printable(FieldOf(*version, "version")) +
                               ", installed " +
                               AgeText(*version, records[index]);
  const LogRecord* store = LastBefore(records, index, [](const LogRecord& it) {
    return it.event == LogEvent::kStoreLost || it.event == LogEvent::kStoreBack;
  });
  if (store != nullptr) {
    text += store->event == LogEvent::kStoreLost ? "; store lost "
                                                 : "; store back ";
    text += AgeText(*store, records[index]);
  }
  return text;
}

/// Lists ejections, by any instance, of the servers that the request was sent
/// to, within kMaxEjectionDelayMillis after it was sent.
std::string LaterEjections(Records records,
                           std::span<const std::size_t> indices) {
  std::string text;
  for (const std::size_t sent : indices) {
    if (records[sent].event != LogEvent::kCallDispatched) continue;
    const std::string_view server = FieldOf(records[sent], "server");
    const auto end = records[sent].unix_ms + kMaxEjectionDelayMillis;
    for (std::size_t i = sent; i < records.size(); ++i) {
      const LogRecord& it = records[i];
      if (it.unix_ms > end) break;
      if (it.event != LogEvent::kServerEjected) continue;
      if (FieldOf(it, "server") != server) continue;
      text += "Afterwards " + Printable(it.source) + " ejected " +
              Printable(server) + ", " +
              SecondsText(it.unix_ms - records[sent].unix_ms) +
              " after the request was sent there (" +
              Printable(FieldOf(it, "reason")) + ").\n";
      break;
    }
  }
  return text;
}

/// Whether the instance that wrote the record has restarted since.
bool HasRestarted(Records records, std::size_t index) {
  return std::ranges::any_of(records.subspan(index), [&](const LogRecord& it) {
    return it.event == LogEvent::kProcessStarted &&
           it.source == records[index].source;
  });
}

std::string Conclusion(Records records, std::span<const std::size_t> indices) {
  const auto last = std::find_if(indices.rbegin(), indices.rend(),
                                 [&](auto i) { return IsFinal(records[i]); });
  if (last == indices.rend()) {
    return HasRestarted(records, indices.back())
               ? "Cause: " + std::string(kInstanceEndedCause) + ".\n"
               : "No final record: these logs end too early or lack lines.\n";
  }
  if (IsServed(records[*last])) return "The request was served.\n";
  const std::string cause = CauseOf(records[*last]);
  return cause.empty() ? "The final record does not state a cause.\n"
                       : "Cause: " + cause + ".\n";
}

}  // namespace

std::optional<std::string> ExplainRequest(const LogRecords& logs,
                                          const std::string& request_id) {
  const Records records = logs.records;
  std::vector<std::size_t> indices;
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (FieldOf(records[i], "request") == request_id) indices.push_back(i);
  }
  if (indices.empty()) return std::nullopt;
  const LogRecord& first = records[indices.front()];
  std::string text = "Request " + Printable(request_id) + " at " +
                     Printable(first.source) + "; " +
                     ConfigurationAndStoreText(records, indices.front()) + "\n";
  for (const std::size_t it : indices) {
    text += "  +" + SecondsText(records[it].unix_ms - first.unix_ms) + "  " +
            Printable(records[it].source) + "  " + RecordText(records, it) +
            "\n";
  }
  return text + LaterEjections(records, indices) + Conclusion(records, indices);
}

}  // namespace ibisladder::tool
