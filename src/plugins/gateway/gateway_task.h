#ifndef PLUGINS_GATEWAY_GATEWAY_TASK_H_
#define PLUGINS_GATEWAY_GATEWAY_TASK_H_

#include <sigc++/sigc++.h>

#include <limits>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include "libs/gateway/forwarder.h"
#include "libs/gateway/zone_traffic.h"
#include "libs/net/event_loop.h"
#include "libs/net/http_client.h"
#include "plugins/gateway/caller_connections.h"
#include "plugins/gateway/server_connections.h"

/// The gateway's data path: connects the forwarder with the connections of
/// callers and backend servers.
namespace ibisladder::gateway {

/// Converts between HTTP messages and the forwarder's messages.
struct MessageCodec {
  CallerRequest (*decode_request)(CallId call, http1::Request request);
  http1::Request (*encode_attempt)(const SendAttempt& attempt);
  ServerAnswer (*decode_answer)(http1::Response response);
  http1::Response (*encode_answer)(CallerAnswer answer);
  ServerConnections::RequestMatcher matches_request;
  /// Returns whether a probe's answer shows that the named server is healthy.
  bool (*is_healthy)(const net::HttpAnswer& answer, const std::string& server);
  /// Returns the key of a request, as in CallerRequest.
  std::optional<std::string> (*find_key)(const net::Headers& headers);
};

class GatewayTask {
 public:
  struct Options {
    Endpoint callers;
    /// Takes requests that other instances pass on; without a port none are
    /// taken.
    Endpoint relays;
    ForwarderSettings forwarder;
    MessageCodec codec;
    /// Limits for backend servers' answers.
    http1::Limits answer_limits;
    /// Memory of the machine; 0: not known.
    std::size_t machine_bytes = 0;
    /// Connections of callers and of other instances.
    std::size_t max_callers = std::numeric_limits<std::size_t>::max();
    std::size_t max_relays = std::numeric_limits<std::size_t>::max();
  };

  /// Returns kInternal if the callers' endpoint cannot be bound.
  static Expected<std::unique_ptr<GatewayTask>> Create(net::EventLoop& loop,
                                                       const Options& options);

  // Commands from other tasks.

  void InstallConfiguration(const ConfigurationPtr& configuration);
  void SetServers(std::span<const ServerEntry> entries);
  void SetDirectoryState(const DirectoryState& state);
  void SetKeyStanding(const KeyStanding& standing) {
    gateway::SetKeyStanding(*forwarder_, standing);
  }
  void MergeEvidence(InstanceId peer,
                     std::span<const detection::Digest> digests);
  void PermitRequested(const Endpoint& peer, const PermitRequest& request);
  void PermitReplied(const PermitReply& reply);
  void CreditRequested(const Endpoint& peer,
                       const limits::CreditRequest& request);
  void CreditReplied(const limits::CreditReply& reply);
  void ProcessStarted(const limits::ProcessStart& start);
  void MergeLimits(std::span<const LimitNews> news);
  void MergeCrashes(const CrashMessage& message);
  void MergeLeaving(std::span<const BackendServerId> servers);
  void MergePressure(const admission::PressureMessage& message);
  void MergePaths(const std::string& peer, std::span<const ServiceId> lost);
  /// Continues to serve requests, but closes each connection after its answer,
  /// and refuses those that may still run when the process ends.
  void PrepareToStop(const PlannedStop& stop);
  /// Refuses new requests and closes connections without open requests.
  void StopAccepting();

  sigc::signal<void(const std::vector<detection::Digest>&)>& signal_evidence() {
    return evidence_shared_;
  }
  /// The server's keeper is to be asked for a permit.
  sigc::signal<void(const AskPermit&)>& signal_permit_request() {
    return permit_requested_;
  }
  sigc::signal<void(const AnswerPermit&)>& signal_permit_reply() {
    return permit_replied_;
  }
  /// Another instance is to be told when this process started.
  sigc::signal<void(const TellStart&)>& signal_process_start() {
    return start_told_;
  }
  /// A keeper of an organisation's quota is to be asked for credit.
  sigc::signal<void(const AskCredit&)>& signal_credit_request() {
    return credit_requested_;
  }
  sigc::signal<void(const AnswerCredit&)>& signal_credit_reply() {
    return credit_replied_;
  }
  sigc::signal<void(const std::vector<LimitNews>&)>& signal_limits() {
    return limits_shared_;
  }
  /// What this instance has seen of requests that crash servers, for all
  /// others.
  sigc::signal<void(const CrashMessage&)>& signal_crashes() {
    return crashes_shared_;
  }
  /// Servers that leave, for all other instances.
  sigc::signal<void(const std::vector<BackendServerId>&)>& signal_leaving() {
    return leaving_shared_;
  }
  /// Services to which this instance has no path, for all other instances.
  sigc::signal<void(const std::vector<ServiceId>&)>& signal_paths() {
    return paths_shared_;
  }
  /// What this instance sees of services that lack room, for the other
  /// advertised instances.
  sigc::signal<void(const admission::PressureMessage&)>& signal_pressure() {
    return pressure_shared_;
  }
  sigc::signal<void(const LogLine&)>& signal_log() { return log_; }

  const Forwarder& forwarder() const { return *forwarder_; }
  const CallerConnections& callers() const { return *callers_; }
  /// Also guards connections of other tasks.
  const ConnectionGuardPtr& guard() const { return guard_; }
  const ServerConnections& servers() const { return servers_; }
  /// Bytes of requests and answers.
  const ZoneTraffic& zone_traffic() const { return zone_traffic_; }

 private:
  GatewayTask(net::EventLoop& loop, const Options& options,
              ConnectionGuardPtr guard,
              std::unique_ptr<CallerConnections> callers,
              std::unique_ptr<CallerConnections> relays);

  void ConnectSignals();
  void ConnectCallers(CallerConnections& connections);
  /// Returns the connections of callers or of other instances.
  CallerConnections& ConnectionsOf(CallId call);
  void HandleRequest(CallId id, http1::Request& request);
  /// Returns the answer as callers get it, or other instances.
  http1::Response EncodeAnswer(CallId call, CallerAnswer answer) const;
  void Tick();
  void LogFailure(const ExchangeFailure& failure);
  /// Ask the forwarder whether an answer may be streamed, and pass on its parts
  /// no faster than the caller takes them.
  void HandleAnswerStart(AttemptId attempt, http1::Response& head);
  void HandleAnswerPart(AttemptId attempt, const std::string& part);
  void HandleAnswer(AttemptId attempt, http1::Response& response);
  void HandleDrained(CallId call);
  /// Performs the forwarder's actions in the order in which it decided on them.
  void PerformActions();
  void Perform(const SendAttempt& action);
  void Perform(const CancelAttempt& action);
  void Perform(AnswerCaller& action);
  void Perform(StreamAnswer& action);
  void Perform(const EndAnswer& action);
  void Perform(const BreakAnswer& action);
  void Perform(const SendProbe& action);
  void Perform(const ShareEvidence& action);
  void Perform(const AskPermit& action);
  void Perform(const AnswerPermit& action);
  void Perform(const AskCredit& action);
  void Perform(const AnswerCredit& action);
  void Perform(const TellStart& action);
  void Perform(const ShareLimits& action);
  void Perform(const ShareCrashes& action);
  void Perform(const ShareLeaving& action);
  void Perform(const TestPath& action);
  void Perform(const CloseIdleConnections& action);
  void Perform(const SharePaths& action);
  void Perform(const SharePressure& action);
  void Perform(const LogLine& action);

  struct Probe {
    BackendServerId server;
    std::string server_name;
  };

  Options options_;
  ConnectionGuardPtr guard_;
  std::unique_ptr<CallerConnections> callers_;
  /// Connections of other instances that pass requests on; null without.
  std::unique_ptr<CallerConnections> relays_;
  /// To servers, and to other instances for requests that are passed on.
  ServerConnections servers_;
  net::HttpClient probes_;
  ForwarderPtr forwarder_;
  bool is_performing_ = false;
  net::Timer tick_timer_;
  net::Timer sweep_timer_;
  /// Calls whose answers are streamed, and the attempts that they come from.
  std::unordered_map<CallId, AttemptId> streams_;
  ZoneTraffic zone_traffic_;
  std::uint64_t last_probe_id_ = 0;
  std::unordered_map<std::uint64_t, Probe> open_probes_;
  sigc::signal<void(const std::vector<detection::Digest>&)> evidence_shared_;
  sigc::signal<void(const AskPermit&)> permit_requested_;
  sigc::signal<void(const AnswerPermit&)> permit_replied_;
  sigc::signal<void(const AskCredit&)> credit_requested_;
  sigc::signal<void(const AnswerCredit&)> credit_replied_;
  sigc::signal<void(const TellStart&)> start_told_;
  sigc::signal<void(const std::vector<LimitNews>&)> limits_shared_;
  sigc::signal<void(const CrashMessage&)> crashes_shared_;
  sigc::signal<void(const std::vector<BackendServerId>&)> leaving_shared_;
  sigc::signal<void(const std::vector<ServiceId>&)> paths_shared_;
  sigc::signal<void(const admission::PressureMessage&)> pressure_shared_;
  sigc::signal<void(const LogLine&)> log_;
};

}  // namespace ibisladder::gateway

#endif  // PLUGINS_GATEWAY_GATEWAY_TASK_H_
