#include "libs/base/log_event.h"

namespace ibisladder {
namespace {

std::string Quote(const std::string& value) {
  if (!value.empty() && value.find_first_of(" \"=\n") == std::string::npos) {
    return value;
  }
  std::string buf = "\"";
  for (const char it : value) {
    if (it == '"' || it == '\\') buf += '\\';
    buf += it == '\n' ? ' ' : it;
  }
  buf += '"';
  return buf;
}

}  // namespace

std::string_view EventName(LogEvent event) {
  switch (event) {
    case LogEvent::kCallDispatched:
      return "call_dispatched";
    case LogEvent::kCallAnswered:
      return "call_answered";
    case LogEvent::kCallRetried:
      return "call_retried";
    case LogEvent::kCallRefused:
      return "call_refused";
    case LogEvent::kCallRelayed:
      return "call_relayed";
    case LogEvent::kCallJoined:
      return "call_joined";
    case LogEvent::kCallSettled:
      return "call_settled";
    case LogEvent::kAnswerRejected:
      return "answer_rejected";
    case LogEvent::kLateAnswerDropped:
      return "late_answer_dropped";
    case LogEvent::kCallCancelled:
      return "call_cancelled";
    case LogEvent::kAttemptFailed:
      return "attempt_failed";
    case LogEvent::kRequestLost:
      return "request_lost";
    case LogEvent::kRequestRefused:
      return "request_refused";
    case LogEvent::kRequestAllowed:
      return "request_allowed";
    case LogEvent::kRequestTried:
      return "request_tried";
    case LogEvent::kKeyRefused:
      return "key_refused";
    case LogEvent::kServerChosen:
      return "server_chosen";
    case LogEvent::kCallQueued:
      return "call_queued";
    case LogEvent::kRetryBudgetSpent:
      return "retry_budget_spent";
    case LogEvent::kConcurrencyLimitChanged:
      return "concurrency_limit_changed";
    case LogEvent::kSubsetChanged:
      return "subset_changed";
    case LogEvent::kServerLimitChanged:
      return "server_limit_changed";
    case LogEvent::kServerLimitInvalid:
      return "server_limit_invalid";
    case LogEvent::kPermitDenied:
      return "permit_denied";
    case LogEvent::kServerPaused:
      return "server_paused";
    case LogEvent::kServerNoticeInvalid:
      return "server_notice_invalid";
    case LogEvent::kZoneTraffic:
      return "zone_traffic";
    case LogEvent::kPathLost:
      return "path_lost";
    case LogEvent::kPathRestored:
      return "path_restored";
    case LogEvent::kOrganisationLimitChanged:
      return "organisation_limit_changed";
    case LogEvent::kServiceOverloaded:
      return "service_overloaded";
    case LogEvent::kServiceRelieved:
      return "service_relieved";
    case LogEvent::kServerEjected:
      return "server_ejected";
    case LogEvent::kServerRestored:
      return "server_restored";
    case LogEvent::kServerProbation:
      return "server_probation";
    case LogEvent::kEjectionRefusedByFloor:
      return "ejection_refused_by_floor";
    case LogEvent::kServiceShift:
      return "service_shift";
    case LogEvent::kPeerUp:
      return "peer_up";
    case LogEvent::kPeerDown:
      return "peer_down";
    case LogEvent::kPeerOneWay:
      return "peer_one_way";
    case LogEvent::kPeerLeaving:
      return "peer_leaving";
    case LogEvent::kServerLeaving:
      return "server_leaving";
    case LogEvent::kDatagramDropped:
      return "datagram_dropped";
    case LogEvent::kInstanceLeaving:
      return "instance_leaving";
    case LogEvent::kPeerReplaced:
      return "peer_replaced";
    case LogEvent::kServerListed:
      return "server_listed";
    case LogEvent::kServerRemoved:
      return "server_removed";
    case LogEvent::kServerReplaced:
      return "server_replaced";
    case LogEvent::kServerEntryUnreadable:
      return "server_entry_unreadable";
    case LogEvent::kMembersChanged:
      return "members_changed";
    case LogEvent::kWatchDutyChanged:
      return "watch_duty_changed";
    case LogEvent::kConfigurationInstalled:
      return "configuration_installed";
    case LogEvent::kConfigurationFetchFailed:
      return "configuration_fetch_failed";
    case LogEvent::kStoreLost:
      return "store_lost";
    case LogEvent::kStoreBack:
      return "store_back";
    case LogEvent::kChangeAccepted:
      return "change_accepted";
    case LogEvent::kChangeConflict:
      return "change_conflict";
    case LogEvent::kChangeRefused:
      return "change_refused";
    case LogEvent::kChangeUnknown:
      return "change_unknown";
    case LogEvent::kConfigurationBehind:
      return "configuration_behind";
    case LogEvent::kStoreCallFailed:
      return "store_call_failed";
    case LogEvent::kStoreReadRestarted:
      return "store_read_restarted";
    case LogEvent::kConfigurationItemUnreadable:
      return "configuration_item_unreadable";
    case LogEvent::kKeysUnverified:
      return "keys_unverified";
    case LogEvent::kKeysVerified:
      return "keys_verified";
    case LogEvent::kConfigurationRead:
      return "configuration_read";
    case LogEvent::kStoreRestored:
      return "store_restored";
    case LogEvent::kStoreDoubted:
      return "store_doubted";
    case LogEvent::kStoreTrusted:
      return "store_trusted";
    case LogEvent::kOperatorCall:
      return "operator_call";
    case LogEvent::kOperatorRefused:
      return "operator_refused";
    case LogEvent::kProcessStarted:
      return "process_started";
    case LogEvent::kProcessStopping:
      return "process_stopping";
    case LogEvent::kProcessStopped:
      return "process_stopped";
    case LogEvent::kSettingsInvalid:
      return "settings_invalid";
    case LogEvent::kSocketFailed:
      return "socket_failed";
    case LogEvent::kSettingsReloaded:
      return "settings_reloaded";
    case LogEvent::kLogLinesDropped:
      return "log_lines_dropped";
    case LogEvent::kEventLoopLate:
      return "event_loop_late";
    case LogEvent::kClientsLimited:
      return "clients_limited";
  }
  return "unlisted_event";
}

std::string FormatLogLine(const LogLine& line) {
  std::string buf = "E" + std::to_string(static_cast<int>(line.event));
  buf += ' ';
  buf += EventName(line.event);
  for (const auto& [name, value] : line.fields) {
    buf += ' ';
    buf += name;
    buf += '=';
    buf += Quote(value);
  }
  return buf;
}

}  // namespace ibisladder
