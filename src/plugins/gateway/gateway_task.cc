#include "plugins/gateway/gateway_task.h"

#include <algorithm>
#include <utility>

namespace ibisladder::gateway {
namespace {

/// Interval at which deadlines and queues are checked.
constexpr Duration kTickInterval = Millis(25);
constexpr Duration kSweepInterval = Millis(100);
/// Answers with larger bodies are passed on while they arrive, in parts.
/// Smaller ones are checked as a whole first, so that a request that may be
/// repeated is sent to another server if its answer breaks off.
constexpr std::size_t kMaxWholeAnswerBytes = 256U << 10U;
/// A server's answer is read no further while its caller has not taken this
/// many bytes.
constexpr std::size_t kMaxBacklogBytes = 128U << 10U;
/// Calls of other instances have numbers from here on.
constexpr CallId kFirstRelayedCall(std::uint64_t{1} << 62U);
/// Added by instances to the requests that they pass on.
constexpr std::size_t kRelayHeaderBytes = 1024;
constexpr std::size_t kRelayFields = 16;
/// Longer than instances keep connections to each other.
constexpr Duration kRelayIdleTimeout = Seconds(30);
constexpr int kStatusBadRequest = 400;

bool IsRelayed(CallId call) { return call > kFirstRelayedCall; }

/// Limits for requests that other instances have accepted from callers.
CallerLimits RelayLimits(const CallerLimits& limits) {
  CallerLimits result = limits;
  result.header_bytes += kRelayHeaderBytes;
  result.fields += kRelayFields;
  result.idle_timeout = std::max(limits.idle_timeout, kRelayIdleTimeout);
  return result;
}

}  // namespace

Expected<std::unique_ptr<GatewayTask>> GatewayTask::Create(
    net::EventLoop& loop, const Options& options) {
  auto guard = std::make_shared<ConnectionGuard>(
      memory::MakeBudget(options.machine_bytes));
  auto callers =
      CallerConnections::Listen(loop, options.callers, CallId(), guard);
  if (!callers) return tl::unexpected<Error>(callers.error());
  std::unique_ptr<CallerConnections> relays;
  if (options.relays.port != 0) {
    auto listening = CallerConnections::Listen(loop, options.relays,
                                               kFirstRelayedCall, guard);
    if (!listening) return tl::unexpected<Error>(listening.error());
    relays = std::move(*listening);
    relays->SetLimits(RelayLimits({}));
    relays->SetMaxConnections(options.max_relays);
    relays->SetRefusalFields(
        {{kRelayResultField,
          std::to_string(static_cast<int>(ResultCode::kOverloaded))}});
  }
  (*callers)->SetMaxConnections(options.max_callers);
  std::unique_ptr<GatewayTask> task(new GatewayTask(
      loop, options, std::move(guard), std::move(*callers), std::move(relays)));
  task->ConnectSignals();
  return task;
}

GatewayTask::GatewayTask(net::EventLoop& loop, const Options& options,
                         ConnectionGuardPtr guard,
                         std::unique_ptr<CallerConnections> callers,
                         std::unique_ptr<CallerConnections> relays)
    : options_(options),
      guard_(std::move(guard)),
      callers_(std::move(callers)),
      relays_(std::move(relays)),
      servers_(loop, options.answer_limits, options.codec.matches_request),
      probes_(loop),
      forwarder_(MakeForwarder(options.forwarder, net::MonotonicNow())),
      tick_timer_(loop, net::Timer::Kind::kPeriodic, kTickInterval,
                  [this] { Tick(); }),
      sweep_timer_(loop, net::Timer::Kind::kPeriodic, kSweepInterval, [this] {
        const TimePoint now = net::MonotonicNow();
        callers_->Sweep(now);
        if (relays_) relays_->Sweep(now);
        servers_.Sweep(now);
        probes_.CloseIdle(now);
        guard_->Reclaim(now);
        guard_->Sweep(now);
      }) {}

void GatewayTask::ConnectSignals() {
  ConnectCallers(*callers_);
  if (relays_) ConnectCallers(*relays_);
  callers_->SetBodyFilter([this](const http1::Request& head) {
    const std::string* host = http1::FindHeader(head.headers, "Host");
    RequestHead decisive;
    if (host != nullptr) decisive.host = *host;
    decisive.target = head.target;
    decisive.key = options_.codec.find_key(head.headers);
    decisive.received_at = net::BootNow();
    return MayRun(*forwarder_, decisive, net::MonotonicNow());
  });
  if (relays_) {
    relays_->SetBodyFilter([](const http1::Request& head) {
      const std::string* origin = http1::FindHeader(head.headers, kRelayField);
      return origin != nullptr && ParseRelayOrigin(*origin).has_value();
    });
  }
  guard_->signal_log().connect([this](const LogLine& it) { log_.emit(it); });
  servers_.SetBudget(&guard_->budget());
  servers_.signal_spare_ended().connect(
      [this](BackendServerId server, bool is_open) {
        PathTested(*forwarder_, server, is_open, net::MonotonicNow());
        PerformActions();
      });
  servers_.EnableStreaming(kMaxWholeAnswerBytes);
  servers_.signal_answer_started().connect(
      [this](AttemptId id, http1::Response& it) { HandleAnswerStart(id, it); });
  servers_.signal_answer_part().connect(
      [this](AttemptId id, const std::string& it) {
        HandleAnswerPart(id, it);
      });
  servers_.signal_answer().connect(
      [this](AttemptId id, http1::Response& it) { HandleAnswer(id, it); });
  servers_.signal_failure().connect([this](const ExchangeFailure& it) {
    LogFailure(it);
    const TimePoint now = net::MonotonicNow();
    AttemptFailed(*forwarder_, it.attempt, it.failure, now - it.connection_age,
                  now);
    PerformActions();
  });
  const auto probe_ended = [this](std::uint64_t id, const auto& is_healthy) {
    const auto it = open_probes_.find(id);
    if (it == open_probes_.end()) return;
    const Probe probe = std::move(it->second);
    open_probes_.erase(it);
    ProbeEnded(*forwarder_, probe.server, is_healthy(probe),
               net::MonotonicNow());
    PerformActions();
  };
  probes_.signal_answer().connect([this, probe_ended](net::HttpAnswer& it) {
    probe_ended(it.id, [&](const Probe& probe) {
      return options_.codec.is_healthy(it, probe.server_name);
    });
  });
  probes_.signal_error().connect([probe_ended](const net::HttpError& it) {
    probe_ended(it.id, [](const Probe&) { return false; });
  });
}

void GatewayTask::ConnectCallers(CallerConnections& connections) {
  connections.signal_request().connect(
      [this](CallId id, http1::Request& it) { HandleRequest(id, it); });
  connections.signal_callers_left().connect(
      [this](const std::vector<CallId>& calls) {
        for (const CallId it : calls) {
          // The rest of an answer that runs on is read and dropped.
          HandleDrained(it);
          streams_.erase(it);
        }
        CallersLeft(*forwarder_, calls, net::MonotonicNow());
        PerformActions();
      });
  connections.signal_drained().connect(
      [this](CallId id) { HandleDrained(id); });
}

CallerConnections& GatewayTask::ConnectionsOf(CallId call) {
  return IsRelayed(call) ? *relays_ : *callers_;
}

void GatewayTask::HandleRequest(CallId id, http1::Request& it) {
  // Only other instances may say how a request is to be treated.
  auto origin = TakeRelayOrigin(it.headers);
  if (!IsRelayed(id)) origin.reset();
  if (IsRelayed(id) && !origin) {
    relays_->Answer(id, {kStatusBadRequest, {}, "", false}, true);
    return;
  }
  const bool is_body_dropped = it.is_body_dropped;
  CallerRequest request = options_.codec.decode_request(id, std::move(it));
  request.is_body_dropped = is_body_dropped;
  request.is_pipelined = ConnectionsOf(id).IsPipelined(id);
  request.caller_address =
      origin ? origin->caller_address : callers_->AddressOf(id);
  if (origin) request.relay_address = relays_->AddressOf(id);
  request.relayed = std::move(origin);
  request.received_at = net::BootNow();
  RequestArrived(*forwarder_, std::move(request), net::MonotonicNow());
  PerformActions();
}

http1::Response GatewayTask::EncodeAnswer(CallId call,
                                          CallerAnswer answer) const {
  const int code = static_cast<int>(answer.code);
  const bool is_own = answer.code != ResultCode::kDone;
  http1::Response response = options_.codec.encode_answer(std::move(answer));
  if (!IsRelayed(call)) return response;
  TakeField(response.headers, kRelayResultField);
  if (is_own) {
    response.headers.emplace_back(kRelayResultField, std::to_string(code));
  }
  return response;
}

void GatewayTask::InstallConfiguration(const ConfigurationPtr& configuration) {
  gateway::InstallConfiguration(*forwarder_, configuration,
                                net::MonotonicNow());
  const CallerLimits& limits = CurrentConfiguration(*forwarder_)->limits;
  callers_->SetLimits(limits);
  if (relays_) relays_->SetLimits(RelayLimits(limits));
  PerformActions();
}

void GatewayTask::SetServers(std::span<const ServerEntry> entries) {
  gateway::SetServers(*forwarder_, entries, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::SetDirectoryState(const DirectoryState& state) {
  gateway::SetDirectoryState(*forwarder_, state, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::MergeEvidence(InstanceId peer,
                                std::span<const detection::Digest> digests) {
  gateway::MergeEvidence(*forwarder_, peer, digests, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::PermitRequested(const Endpoint& peer,
                                  const PermitRequest& request) {
  gateway::PermitRequested(*forwarder_, peer, request, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::PermitReplied(const PermitReply& reply) {
  gateway::PermitReplied(*forwarder_, reply, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::CreditRequested(const Endpoint& peer,
                                  const limits::CreditRequest& request) {
  gateway::CreditRequested(*forwarder_, peer, request, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::CreditReplied(const limits::CreditReply& reply) {
  gateway::CreditReplied(*forwarder_, reply, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::ProcessStarted(const limits::ProcessStart& start) {
  gateway::ProcessStarted(*forwarder_, start, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::MergeLimits(std::span<const LimitNews> news) {
  gateway::MergeLimits(*forwarder_, news, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::MergeCrashes(const CrashMessage& message) {
  gateway::MergeCrashes(*forwarder_, message, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::MergeLeaving(std::span<const BackendServerId> servers) {
  gateway::MergeLeaving(*forwarder_, servers, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::MergePressure(const admission::PressureMessage& message) {
  gateway::MergePressure(*forwarder_, message, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::MergePaths(const std::string& peer,
                             std::span<const ServiceId> lost) {
  gateway::MergePaths(*forwarder_, peer, lost, net::MonotonicNow());
}

void GatewayTask::PrepareToStop(const PlannedStop& stop) {
  gateway::PrepareToStop(*forwarder_, stop);
  callers_->CloseAfterAnswers();
  if (relays_) relays_->CloseAfterAnswers();
}

void GatewayTask::StopAccepting() {
  gateway::StopAccepting(*forwarder_);
  callers_->CloseIdle();
  if (relays_) relays_->CloseIdle();
}

void GatewayTask::Tick() {
  gateway::Tick(*forwarder_, net::MonotonicNow());
  PerformActions();
}

void GatewayTask::HandleAnswerStart(AttemptId attempt, http1::Response& head) {
  const auto call = CallOf(*forwarder_, attempt);
  if (!call || !ConnectionsOf(*call).CanStream(*call, http1::HasLength(head)))
    return;
  AnswerStarted(*forwarder_, attempt,
                options_.codec.decode_answer(std::move(head)),
                net::MonotonicNow());
  PerformActions();
}

void GatewayTask::HandleAnswerPart(AttemptId attempt, const std::string& part) {
  if (LeavesZone(*forwarder_, attempt)) {
    CountBytes(zone_traffic_, Cargo::kAnswers, part.size());
  }
  const auto call = CallOf(*forwarder_, attempt);
  if (!call) return;
  CallerConnections& connections = ConnectionsOf(*call);
  connections.AppendToAnswer(*call, part);
  if (connections.BacklogOf(*call) <= kMaxBacklogBytes) return;
  servers_.SetPaused(attempt, true);
  HoldUpStream(*forwarder_, *call, true, net::MonotonicNow());
}

void GatewayTask::HandleAnswer(AttemptId attempt, http1::Response& response) {
  if (LeavesZone(*forwarder_, attempt)) {
    CountBytes(
        zone_traffic_, Cargo::kAnswers,
        http1::FormatHead(response, false).size() + response.body.size());
  }
  const auto call = CallOf(*forwarder_, attempt);
  if (call && streams_.contains(*call)) {
    ConnectionsOf(*call).AppendToAnswer(*call,
                                        std::exchange(response.body, {}));
  }
  std::optional<std::string> result;
  if (IsRelay(*forwarder_, attempt)) {
    result = TakeField(response.headers, kRelayResultField);
  }
  ServerAnswer answer = options_.codec.decode_answer(std::move(response));
  if (result) answer.relay_result = ParseRelayResult(*result);
  AttemptAnswered(*forwarder_, attempt, std::move(answer), net::MonotonicNow());
  PerformActions();
}

void GatewayTask::HandleDrained(CallId call) {
  const auto it = streams_.find(call);
  if (it == streams_.end()) return;
  servers_.SetPaused(it->second, false);
  HoldUpStream(*forwarder_, call, false, net::MonotonicNow());
}

void GatewayTask::LogFailure(const ExchangeFailure& failure) {
  log_.emit(LogLine{
      LogEvent::kAttemptFailed,
      {{"request", failure.request_id},
       {"failure", FailureName(failure.failure)},
       {"detected_by",
        failure.is_connect_timeout ? "connect_timeout" : "socket"},
       {"connection_ms", std::to_string(ToMillis(failure.connection_age))},
       {"written", std::to_string(failure.written)},
       {"unwritten", std::to_string(failure.unwritten)}}});
}

}  // namespace ibisladder::gateway
