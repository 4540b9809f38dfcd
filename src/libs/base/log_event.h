#ifndef LIBS_BASE_LOG_EVENT_H_
#define LIBS_BASE_LOG_EVENT_H_

#include <string>
#include <string_view>
#include <vector>

/// Numbered log events; docs/EVENTS.md is the catalogue.
namespace ibisladder {

/// Numbers by topic: 10xx calls, 11xx routing, 12xx detection, 13xx membership,
/// 14xx configuration, 15xx operators, 16xx process.
enum class LogEvent {
  kCallDispatched = 1001,
  kCallAnswered = 1002,
  kCallRetried = 1003,
  kCallRefused = 1004,
  kCallRelayed = 1005,
  kCallJoined = 1006,
  kCallSettled = 1007,
  kAnswerRejected = 1008,
  kLateAnswerDropped = 1009,
  kCallCancelled = 1010,
  kAttemptFailed = 1011,
  kRequestLost = 1012,
  kRequestRefused = 1013,
  kRequestAllowed = 1014,
  kRequestTried = 1015,
  kKeyRefused = 1016,

  kServerChosen = 1101,
  kCallQueued = 1102,
  kRetryBudgetSpent = 1103,
  kConcurrencyLimitChanged = 1104,
  kSubsetChanged = 1105,
  kServerLimitChanged = 1106,
  kServerLimitInvalid = 1107,
  kPermitDenied = 1108,
  kServerPaused = 1109,
  kServerNoticeInvalid = 1110,
  kZoneTraffic = 1111,
  kPathLost = 1112,
  kPathRestored = 1113,
  kServiceOverloaded = 1114,
  kServiceRelieved = 1115,
  kOrganisationLimitChanged = 1121,

  kServerEjected = 1201,
  kServerRestored = 1202,
  kServerProbation = 1203,
  kEjectionRefusedByFloor = 1204,
  kServiceShift = 1205,

  kPeerUp = 1301,
  kPeerDown = 1302,
  kPeerOneWay = 1303,
  kPeerLeaving = 1304,
  kServerLeaving = 1305,
  kDatagramDropped = 1306,
  kInstanceLeaving = 1307,
  kPeerReplaced = 1308,
  kServerListed = 1309,
  kServerRemoved = 1310,
  kServerReplaced = 1311,
  kServerEntryUnreadable = 1312,
  kMembersChanged = 1313,
  kWatchDutyChanged = 1314,

  kConfigurationInstalled = 1401,
  kConfigurationFetchFailed = 1402,
  kStoreLost = 1403,
  kStoreBack = 1404,
  kChangeAccepted = 1405,
  kChangeConflict = 1406,
  kChangeRefused = 1407,
  kChangeUnknown = 1408,
  kConfigurationBehind = 1409,
  kStoreCallFailed = 1410,
  kStoreReadRestarted = 1411,
  kConfigurationItemUnreadable = 1412,
  kKeysUnverified = 1413,
  kKeysVerified = 1414,
  kConfigurationRead = 1415,
  kStoreRestored = 1416,
  kStoreDoubted = 1417,
  kStoreTrusted = 1418,

  kOperatorCall = 1501,
  kOperatorRefused = 1502,

  kProcessStarted = 1601,
  kProcessStopping = 1602,
  kProcessStopped = 1603,
  kSettingsInvalid = 1604,
  kSocketFailed = 1605,
  kSettingsReloaded = 1606,
  kLogLinesDropped = 1607,
  kEventLoopLate = 1608,
  kClientsLimited = 1609,
};

/// A "name=value" pair of a log line.
struct LogField {
  std::string name;
  std::string value;
};

/// A log line as data: the decision functions return it, the tasks write it.
struct LogLine {
  LogEvent event;
  std::vector<LogField> fields;
};

/// Returns the event's name as logged, such as "call_dispatched".
std::string_view EventName(LogEvent event);

/// Formats "E1001 call_dispatched request=... server=...". A value is quoted if
/// it is empty or contains a space, a quote, "=" or a line break; a line break
/// becomes a space.
std::string FormatLogLine(const LogLine& line);

}  // namespace ibisladder

#endif  // LIBS_BASE_LOG_EVENT_H_
