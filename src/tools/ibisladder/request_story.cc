#include "tools/ibisladder/request_story.h"

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
/// An ejection so soon after a request was sent explains its failure. The
/// platform's servers are ejected within a second or two of turning sick.
constexpr std::int64_t kSoonMillis = 5000;

using Records = std::span<const LogRecord>;

std::string SecondsText(std::int64_t millis) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3f s",
                static_cast<double>(millis) / kMillisPerSecond);
  return buf.data();
}

std::string Text(std::string_view text) {
  return PrintableText(std::string(text));
}

bool IsStateOfServer(const LogRecord& record) {
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

/// The last record before `at`, of the same source, for which `matches`.
template <typename Matches>
const LogRecord* LastBefore(Records records, std::size_t at,
                            const Matches& matches) {
  for (std::size_t i = at; i-- > 0;) {
    const LogRecord& it = records[i];
    if (it.source == records[at].source && matches(it)) return &it;
  }
  return nullptr;
}

std::string AgeText(const LogRecord& older, const LogRecord& newer) {
  return SecondsText(newer.unix_ms - older.unix_ms) + " before";
}

/// What the instance last learned of the server that it chose.
std::string BeliefAbout(Records records, std::size_t at) {
  const std::string_view server = FieldOf(records[at], "server");
  const LogRecord* known = LastBefore(records, at, [&](const LogRecord& it) {
    return IsStateOfServer(it) && FieldOf(it, "server") == server;
  });
  if (known == nullptr) return "nothing was known against it";
  std::string text =
      "last known of it: " + std::string(EventName(known->event)) + " " +
      AgeText(*known, records[at]);
  if (const auto reason = FieldOf(*known, "reason"); !reason.empty()) {
    text += " (" + Text(reason) + ")";
  }
  return text;
}

std::string DispatchText(Records records, std::size_t at) {
  const LogRecord& it = records[at];
  return "sent to " + Text(FieldOf(it, "server")) + ", attempt " +
         Text(FieldOf(it, "attempt")) + " (" + Text(FieldOf(it, "reason")) +
         "), after " + Text(FieldOf(it, "waited_ms")) + " ms of waiting, " +
         Text(FieldOf(it, "left_ms")) + " ms left; " + BeliefAbout(records, at);
}

std::string FinalText(const LogRecord& it) {
  const auto code = static_cast<ResultCode>(NumberOf(it, "result", 0));
  std::string text = it.event == LogEvent::kCallRefused
                         ? "refused, and has not run: status "
                         : "answered: status ";
  text +=
      Text(FieldOf(it, "status")) + ", result " + Text(FieldOf(it, "result"));
  if (code != ResultCode{}) text += " (" + std::string(Describe(code)) + ")";
  return text + ", after " + Text(FieldOf(it, "took_ms")) + " ms and " +
         Text(FieldOf(it, "attempts")) + " attempts";
}

std::string OtherText(const LogRecord& it) {
  std::string text(EventName(it.event));
  for (const auto& [name, value] : it.fields) {
    const bool is_shown =
        name != "t" && name != "code" && name != "event" && name != "request";
    if (is_shown) text += " " + Text(name) + "=" + Text(value);
  }
  return text;
}

std::string Tell(Records records, std::size_t at) {
  const LogRecord& it = records[at];
  switch (it.event) {
    case LogEvent::kCallDispatched:
      return DispatchText(records, at);
    case LogEvent::kCallQueued:
      return "waits for a slot, " + Text(FieldOf(it, "left_ms")) + " ms left";
    case LogEvent::kCallRetried:
      return "attempt " + Text(FieldOf(it, "attempts")) +
             " failed: " + Text(FieldOf(it, "reason"));
    case LogEvent::kCallAnswered:
    case LogEvent::kCallRefused:
      return FinalText(it);
    case LogEvent::kCallCancelled:
      return "the caller left after " + Text(FieldOf(it, "age_ms")) + " ms";
    default:
      return OtherText(it);
  }
}

/// What the instance believed of its configuration and the store.
std::string BeliefsAtStart(Records records, std::size_t at) {
  const LogRecord* version = LastBefore(records, at, [](const LogRecord& it) {
    return it.event == LogEvent::kConfigurationInstalled;
  });
  std::string text = version == nullptr
                         ? "configuration: not in these logs"
                         : "configuration: version " +
                               Text(FieldOf(*version, "version")) +
                               ", installed " + AgeText(*version, records[at]);
  const LogRecord* store = LastBefore(records, at, [](const LogRecord& it) {
    return it.event == LogEvent::kStoreLost || it.event == LogEvent::kStoreBack;
  });
  if (store != nullptr) {
    text += store->event == LogEvent::kStoreLost ? "; store lost "
                                                 : "; store back ";
    text += AgeText(*store, records[at]);
  }
  return text;
}

/// Ejections of the servers that were tried, at any instance, soon after.
std::string WhatCameSoon(Records records, std::span<const std::size_t> own) {
  std::string text;
  for (const std::size_t sent : own) {
    if (records[sent].event != LogEvent::kCallDispatched) continue;
    const std::string_view server = FieldOf(records[sent], "server");
    const auto end = records[sent].unix_ms + kSoonMillis;
    for (std::size_t i = sent; i < records.size(); ++i) {
      const LogRecord& it = records[i];
      if (it.unix_ms > end) break;
      if (it.event != LogEvent::kServerEjected) continue;
      if (FieldOf(it, "server") != server) continue;
      text += "Afterwards " + Text(it.source) + " ejected " + Text(server) +
              ", " + SecondsText(it.unix_ms - records[sent].unix_ms) +
              " after the request was sent there (" +
              Text(FieldOf(it, "reason")) + ").\n";
      break;
    }
  }
  return text;
}

/// Whether the process that wrote the record has been started again since.
bool HasStartedAgain(Records records, std::size_t at) {
  return std::ranges::any_of(records.subspan(at), [&](const LogRecord& it) {
    return it.event == LogEvent::kProcessStarted &&
           it.source == records[at].source;
  });
}

std::string Conclusion(Records records, std::span<const std::size_t> own) {
  const auto last = std::find_if(own.rbegin(), own.rend(),
                                 [&](auto i) { return IsFinal(records[i]); });
  if (last == own.rend()) {
    return HasStartedAgain(records, own.back())
               ? "Cause: " + std::string(kInstanceEnded) + ".\n"
               : "No final record: the logs are cut.\n";
  }
  if (IsServed(records[*last])) return "It was served.\n";
  const std::string cause = CauseOf(records[*last]);
  return cause.empty() ? "The final record tells no cause.\n"
                       : "Cause: " + cause + ".\n";
}

}  // namespace

std::optional<std::string> TellRequest(const LogRecords& logs,
                                       const std::string& request_id) {
  const Records records = logs.records;
  std::vector<std::size_t> own;
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (FieldOf(records[i], "request") == request_id) own.push_back(i);
  }
  if (own.empty()) return std::nullopt;
  const LogRecord& first = records[own.front()];
  std::string text = "Request " + Text(request_id) + " at " +
                     Text(first.source) + "; " +
                     BeliefsAtStart(records, own.front()) + "\n";
  for (const std::size_t it : own) {
    text += "  +" + SecondsText(records[it].unix_ms - first.unix_ms) + "  " +
            Text(records[it].source) + "  " + Tell(records, it) + "\n";
  }
  return text + WhatCameSoon(records, own) + Conclusion(records, own);
}

}  // namespace ibisladder::tool
