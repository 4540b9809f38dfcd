#ifndef LIBS_GATEWAY_FORWARDER_H_
#define LIBS_GATEWAY_FORWARDER_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "libs/admission/admission.h"
#include "libs/gateway/configuration.h"
#include "libs/gateway/directory.h"
#include "libs/gateway/messages.h"
#include "libs/gateway/organisations.h"
#include "libs/gateway/stop_plan.h"
#include "libs/limits/quota.h"
#include "libs/metrics/families.h"

/// Forwards callers' requests to backend servers: chooses the server, and
/// decides when to try another one and when to give up. Uses no sockets, clocks
/// or random devices: takes events and the time, and returns actions.
namespace ibisladder::gateway {

struct ForwarderSettings {
  ZoneName zone;
  /// No server is ejected if less than this percentage of the service's
  /// capacity would remain in use.
  std::uint8_t floor_percent = 70;
  /// Accepted rate of false ejections per healthy server-day.
  double false_ejections_per_server_day = 2000;
  /// Maximum number of requests per service that wait for a server on this
  /// instance.
  std::uint16_t queue_limit = 64;
  /// Retry budget of the fleet: second attempts in percent of first attempts.
  std::uint8_t retry_percent = 16;
  /// The burst of the retry budget: the number of second attempts that can be
  /// saved up. Divided evenly among the advertised instances, 1 to 100 for
  /// each.
  std::uint16_t retry_slack = 40;
  /// How much all instances together may exceed an organisation's quota.
  limits::QuotaSettings quota;
  /// How long after the start requests wait for the first configuration and the
  /// first list of servers. Requests that arrive later do not wait for these.
  Duration start_timeout{};
  /// Of this process; drawn at random.
  Incarnation incarnation;
  std::uint64_t seed = 1;
  /// Whether callers without organisations count as competing only where most
  /// servers state when they started.
  bool needs_server_starts = false;
  /// Keys of organisations are accepted only as long as KeyStanding says.
  bool strict_revocation = false;
};

/// Labels by which requests are counted. When there are too many combinations,
/// new ones get the route "other".
struct TrafficKey {
  std::string service;
  std::string route;
  /// "delivered" or "server_failure" for a server's answer with a status below
  /// 500, or 500 and above; "refused" for the gateway's own 503, "failed" for
  /// its other answers.
  std::string outcome;

  friend auto operator<=>(const TrafficKey&, const TrafficKey&) = default;
};

/// Totals since the forwarder was created.
struct ForwarderCounters {
  /// Time from a request's arrival to its answer.
  std::map<TrafficKey, metrics::Histogram> answers;
  /// Answers that the gateway itself generated, by result code.
  std::map<int, std::uint64_t> own_answers;
  /// Further attempts, by how the previous attempt ended; counted even if none
  /// can be made. "slow" for hedges, which are counted when they are sent.
  std::map<std::string, std::uint64_t> second_attempts;
  /// Permits asked for, by result: "granted", "limit", "no_reply",
  /// "not_keeper", "late_reply".
  std::map<std::string, std::uint64_t> permits;
  /// Requests of organisations with a quota, by result: "granted", "fallback",
  /// "hold", "denied", "no_reply".
  std::map<std::string, std::uint64_t> credits;
  /// Those that waited for a keeper, and those whose credit was given back.
  std::uint64_t credit_waits = 0;
  std::uint64_t credit_returns = 0;
  /// Denied requests by organisation; of organisations that have a quota now.
  std::map<std::string, std::uint64_t> quota_denials;
  /// Requests that were passed on to other instances, by result: "answered",
  /// "refused", "failed", and "no_instance" for those that could not be.
  std::map<std::string, std::uint64_t> relays;
  /// Requests that other instances have passed on. They are in no other count
  /// but this.
  std::uint64_t relayed_here = 0;
  std::uint64_t arrived = 0;
  /// Requests whose caller left before the answer. At-most-once requests run on
  /// and may then also be counted in `answers`.
  std::uint64_t abandoned = 0;
  std::uint64_t ejections = 0;
};

struct Forwarder;
struct ForwarderDeleter {
  void operator()(Forwarder* it) const;
};
using ForwarderPtr = std::unique_ptr<Forwarder, ForwarderDeleter>;

ForwarderPtr MakeForwarder(const ForwarderSettings& settings, TimePoint now);

// Commands.

/// Does nothing unless the version is higher than the installed one.
void InstallConfiguration(Forwarder& forwarder, ConfigurationPtr configuration,
                          TimePoint now);
/// Replaces the list of servers. Known incarnations keep their state.
void SetServers(Forwarder& forwarder, std::span<const ServerEntry> entries,
                TimePoint now);
/// Updates this instance's part of the servers' capacity and of the retry
/// budget.
void SetDirectoryState(Forwarder& forwarder, const DirectoryState& state,
                       TimePoint now);
/// Whether the keys of the installed configuration can be relied on.
void SetKeyStanding(Forwarder& forwarder, const KeyStanding& standing);
/// Refuses all further requests.
/// Announces when the process ends. Requests that may still run then are
/// refused from now on instead of being sent to a server.
void PrepareToStop(Forwarder& forwarder, const PlannedStop& stop);
void StopAccepting(Forwarder& forwarder);

void RequestArrived(Forwarder& forwarder, CallerRequest request, TimePoint now);
/// Call with the unanswered requests of a caller whose connection was closed,
/// all at once, so that none is sent in place of another one. Cancels the
/// attempts of idempotent requests; those of at-most-once requests run to their
/// end.
void CallersLeft(Forwarder& forwarder, std::span<const CallId> calls,
                 TimePoint now);
/// The same for one request.
void CallerLeft(Forwarder& forwarder, CallId call, TimePoint now);
/// An answer has started to arrive that is too large to be kept as a whole.
/// Returns StreamAnswer if it may be passed on as it arrives; the request is
/// not repeated from then on. AttemptAnswered or AttemptFailed must follow.
void AnswerStarted(Forwarder& forwarder, AttemptId attempt, ServerAnswer head,
                   TimePoint now);
/// The caller begins or ceases to hold up a streamed answer, which is then not
/// read from the server.
void HoldUpStream(Forwarder& forwarder, CallId call, bool is_held_up,
                  TimePoint now);
/// `answer` has no body if it was streamed.
void AttemptAnswered(Forwarder& forwarder, AttemptId attempt,
                     ServerAnswer answer, TimePoint now);
/// `opened_at`: when the attempt's connection was opened, if it was.
void AttemptFailed(Forwarder& forwarder, AttemptId attempt,
                   AttemptFailure failure, std::optional<TimePoint> opened_at,
                   TimePoint now);
void ProbeEnded(Forwarder& forwarder, BackendServerId server, bool ok,
                TimePoint now);
/// Applies evidence about servers that another instance has sent.
void MergeEvidence(Forwarder& forwarder, InstanceId peer,
                   std::span<const detection::Digest> digests, TimePoint now);
/// Another instance asks for a permit to send a request to a server with a
/// limit.
void PermitRequested(Forwarder& forwarder, const Endpoint& peer,
                     const PermitRequest& request, TimePoint now);
/// An instance has replied to this instance's request for a permit.
void PermitReplied(Forwarder& forwarder, const PermitReply& reply,
                   TimePoint now);
/// Another instance asks for credit of an organisation.
void CreditRequested(Forwarder& forwarder, const Endpoint& peer,
                     const limits::CreditRequest& request, TimePoint now);
/// An instance has replied to this instance's request for credit.
void CreditReplied(Forwarder& forwarder, const limits::CreditReply& reply,
                   TimePoint now);
/// Handles when another instance's process started.
void ProcessStarted(Forwarder& forwarder, const limits::ProcessStart& start,
                    TimePoint now);
/// Applies another instance's news about the limits of servers.
void MergeLimits(Forwarder& forwarder, std::span<const LimitNews> news,
                 TimePoint now);
/// Applies what another instance has seen of requests that crash servers.
void MergeCrashes(Forwarder& forwarder, const CrashMessage& message,
                  TimePoint now);
/// Another instance tells what it sees of services that lack room.
void MergePressure(Forwarder& forwarder,
                   const admission::PressureMessage& message, TimePoint now);
/// Another instance tells that these servers leave.
void MergeLeaving(Forwarder& forwarder,
                  std::span<const BackendServerId> servers, TimePoint now);
/// A connection for TestPath was opened, or could not be.
void PathTested(Forwarder& forwarder, BackendServerId server, bool is_open,
                TimePoint now);
/// Another instance tells to which services it has no path, in place of those
/// that it told before.
void MergePaths(Forwarder& forwarder, const std::string& peer,
                std::span<const ServiceId> lost, TimePoint now);
/// Handles deadlines, queues, hedges and evaluation of servers. Call about
/// every 20 ms.
void Tick(Forwarder& forwarder, TimePoint now);

/// Returns the pending actions in order, and clears them.
std::vector<Action> TakeActions(Forwarder& forwarder);

// Queries.

bool HasConfiguration(const Forwarder& forwarder);
/// Returns nullptr if no configuration is installed.
ConfigurationPtr CurrentConfiguration(const Forwarder& forwarder);
/// Returns the call that an attempt in flight belongs to.
std::optional<CallId> CallOf(const Forwarder& forwarder, AttemptId attempt);
/// Returns whether an attempt in flight is at another instance.
bool IsRelay(const Forwarder& forwarder, AttemptId attempt);
/// Returns the names of the services to which this instance has no path.
std::vector<std::string> LostPaths(const Forwarder& forwarder);
/// Returns whether the server of an attempt in flight is in another zone.
bool LeavesZone(const Forwarder& forwarder, AttemptId attempt);
/// Returns whether a caller's request may be sent to a server. Otherwise it
/// would be refused now: it has no route, its key is missing, unknown or not
/// verified, or its organisation's quota is exhausted. Changes and counts
/// nothing.
bool MayRun(const Forwarder& forwarder, const RequestHead& head, TimePoint now);
/// Returns the number of requests that are not finished.
std::size_t OpenCalls(const Forwarder& forwarder);
/// Returns what this instance knows of the limits of servers.
std::vector<LimitNews> KnownLimits(const Forwarder& forwarder, TimePoint now);
/// Returns the number of organisations that this instance refuses requests of
/// since they are over their quota.
std::size_t CountLimitedOrganisations(const Forwarder& forwarder);
/// Returns what an instance that has just started needs to know of requests
/// that crash servers.
CrashMessage KnownCrashes(const Forwarder& forwarder, TimePoint now);
/// Returns the servers that have told some instance that they leave.
std::vector<BackendServerId> KnownLeaving(const Forwarder& forwarder);
/// Returns the numbers of requests that were lost at a server, and of those
/// that are refused for it.
std::size_t CountSuspected(const Forwarder& forwarder);
std::size_t CountRefused(const Forwarder& forwarder, TimePoint now);
/// What a service's admission control does on this instance.
struct AdmissionState {
  admission::AdmissionCounters counters;
  bool is_overloaded = false;
  /// Requests that wait, by priority.
  std::array<std::size_t, admission::kPriorities> awaiting_room{};
  std::array<std::size_t, admission::kPriorities> awaiting_retry{};
  /// Servers that decline requests while others do not.
  std::size_t declining_servers = 0;
};
/// Returns the states by the name of the service; none unless the configuration
/// has competing callers.
std::map<std::string, AdmissionState> AdmissionStates(
    const Forwarder& forwarder, TimePoint now);
const ForwarderCounters& CountersOf(const Forwarder& forwarder);
/// Returns the numbers of servers by the name of their service.
std::map<std::string, routing::ServerCounts> CountServers(
    const Forwarder& forwarder, TimePoint now);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_FORWARDER_H_
