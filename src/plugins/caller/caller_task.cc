#include "plugins/caller/caller_task.h"

#include <utility>
#include <vector>

#include "plugins/caller/caller_http.h"

namespace ibisladder::caller {
namespace {

constexpr Duration kTickInterval = Millis(10);
constexpr Duration kIdleSweepInterval = Seconds(1);
constexpr Duration kProbeTimeout = Seconds(1);
constexpr std::size_t kMaxProbeBytes = 64U << 10U;
/// Added to the attempt's timeout: the HTTP client's timeout is only a
/// backstop, as the caller path cancels at the deadline.
constexpr Duration kTimeoutMargin = Seconds(1);
constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

callerpath::CallerPathSettings PathSettings(
    const settings::DaemonSettings& settings,
    const tasks::ProcessIdentity& identity) {
  callerpath::CallerPathSettings result;
  result.instance = settings.instance;
  result.incarnation = identity.incarnation;
  result.zone = settings.zone;
  result.caller_endpoint = settings.caller_endpoint;
  result.era_length = settings.era_length;
  result.accepted_eras = settings.accepted_eras;
  result.max_records = settings.max_records;
  result.max_record_bytes = settings.max_record_bytes;
  return result;
}

wire::Sender MakeSender(const settings::DaemonSettings& settings,
                        const tasks::ProcessIdentity& identity) {
  return {identity.fleet, settings.instance, identity.incarnation, 0};
}

callerpath::AttemptFailure FailureOf(net::HttpFailure failure) {
  switch (failure) {
    case net::HttpFailure::kConnectFailed:
      return callerpath::AttemptFailure::kConnectFailed;
    case net::HttpFailure::kTruncated:
      return callerpath::AttemptFailure::kTruncated;
    case net::HttpFailure::kTooLarge:
      return callerpath::AttemptFailure::kTooLarge;
    case net::HttpFailure::kConnectionLost:
    case net::HttpFailure::kTimeout:
      break;
  }
  return callerpath::AttemptFailure::kConnectionLost;
}

bool ReportsDraining(const net::Headers& headers) {
  const std::string* load = net::FindHeader(headers, "Ibisladder-Load");
  return load != nullptr && load->find("state=draining") != std::string::npos;
}

}  // namespace

Expected<std::unique_ptr<CallerTask>> CallerTask::Create(
    const settings::DaemonSettings& settings,
    const tasks::ProcessIdentity& identity) {
  auto loop = net::EventLoop::Create();
  if (!loop) return tl::unexpected<Error>(loop.error());
  auto server = net::HttpServer::Listen(**loop, settings.caller_endpoint, {});
  if (!server) return tl::unexpected<Error>(server.error());
  return std::unique_ptr<CallerTask>(
      new CallerTask(std::move(*loop), std::move(*server), settings, identity));
}

CallerTask::CallerTask(std::unique_ptr<net::EventLoop> loop,
                       std::unique_ptr<net::HttpServer> server,
                       const settings::DaemonSettings& settings,
                       const tasks::ProcessIdentity& identity)
    : loop_(std::move(loop)),
      server_(std::move(server)),
      mailbox_(*loop_),
      attempts_(*loop_),
      probes_(*loop_),
      relays_(*loop_, MakeSender(settings, identity)),
      path_(callerpath::MakeCallerPath(PathSettings(settings, identity),
                                       net::MonotonicNow())),
      random_(identity.random_seed),
      log_({}) {
  ConnectSignals();
}

void CallerTask::ConnectSignals() {
  server_->signal_request().connect(
      sigc::mem_fun(*this, &CallerTask::OnRequest));
  server_->signal_abandoned().connect(
      sigc::mem_fun(*this, &CallerTask::OnAbandoned));
  attempts_.signal_answer().connect(
      sigc::mem_fun(*this, &CallerTask::OnAnswer));
  attempts_.signal_error().connect(
      sigc::mem_fun(*this, &CallerTask::OnAttemptError));
  probes_.signal_answer().connect(
      sigc::mem_fun(*this, &CallerTask::OnProbeAnswer));
  probes_.signal_error().connect(
      sigc::mem_fun(*this, &CallerTask::OnProbeError));
  relays_.signal_answer().connect(
      [this](const callerpath::RelayAnswered& event) { StepPath(event); });
  relays_.signal_failed().connect(
      [this](const callerpath::RelayFailed& event) { StepPath(event); });
  mailbox_.signal_received().connect(
      sigc::mem_fun(*this, &CallerTask::OnMessage));
}

void CallerTask::Run(const tasks::Mailboxes& mailboxes) {
  mailboxes_ = mailboxes;
  const net::Timer tick(*loop_, net::Timer::Kind::kPeriodic, kTickInterval,
                        [this] { StepPath(callerpath::Tick{}); });
  const net::Timer sweep(*loop_, net::Timer::Kind::kPeriodic,
                         kIdleSweepInterval, [this] {
                           attempts_.CloseIdle(net::MonotonicNow());
                           probes_.CloseIdle(net::MonotonicNow());
                         });
  loop_->Run();
}

void CallerTask::StepPath(const callerpath::Event& event) {
  const TimePoint now = net::MonotonicNow();
  auto actions = callerpath::Step(*path_, event, now, random_);
  for (const auto& action : actions) {
    std::visit([this](const auto& it) { Perform(it); }, action);
  }
  ReportEra(now);
}

void CallerTask::ReportEra(TimePoint now) {
  const Era era = callerpath::CurrentEra(*path_, now);
  if (era == reported_era_) return;
  reported_era_ = era;
  mailboxes_.control->Send(controlplane::EraAdvanced{era});
}

void CallerTask::OnRequest(net::HttpRequest& request) {
  const std::uint64_t id = request.id;
  const CallId call = RegisterCall(id);
  calls_by_request_[id] = call;
  auto query = ReadQuery(call, std::move(request));
  if (auto* answer = std::get_if<callerpath::CallerAnswer>(&query)) {
    Perform(callerpath::AnswerCall{call, std::move(*answer)});
    return;
  }
  std::visit(
      [this](auto& it) {
        if constexpr (!std::is_same_v<std::decay_t<decltype(it)>,
                                      callerpath::CallerAnswer>) {
          StepPath(std::move(it));
        }
      },
      query);
}

void CallerTask::OnAbandoned(std::uint64_t request) {
  if (const auto it = calls_by_request_.find(request);
      it != calls_by_request_.end()) {
    Abandon(it->second);
  }
}

void CallerTask::OnAnswer(net::HttpAnswer& answer) {
  StepPath(callerpath::ServerAnswered{AttemptId(answer.id), answer.status,
                                      std::move(answer.headers),
                                      std::move(answer.body)});
}

void CallerTask::OnAttemptError(const net::HttpError& error) {
  StepPath(
      callerpath::AttemptFailed{AttemptId(error.id), FailureOf(error.failure)});
}

void CallerTask::OnProbeAnswer(net::HttpAnswer& answer) {
  StepPath(callerpath::ProbeEnded{BackendServerId(answer.id),
                                  answer.status == kOk,
                                  ReportsDraining(answer.headers)});
}

void CallerTask::OnProbeError(const net::HttpError& error) {
  callerpath::ProbeEnded ended{BackendServerId(error.id)};
  if (error.failure == net::HttpFailure::kTimeout) {
    ended.unanswered_for = kProbeTimeout;
  }
  StepPath(std::move(ended));
}

void CallerTask::OnMessage(tasks::CallerMessage& message) {
  std::visit([this](const auto& it) { Handle(it); }, message);
}

void CallerTask::Handle(const tasks::RelayArrived& message) {
  const CallId call = RegisterCall(message.origin);
  calls_by_relay_[message.origin] = call;
  StepPath(callerpath::CallArrived{call, message.request, message.relayed_by});
}

void CallerTask::Handle(const tasks::RelayOutcomeArrived& message) {
  const CallId call = RegisterCall(message.origin);
  calls_by_relay_[message.origin] = call;
  StepPath(callerpath::OutcomeRequested{call, message.request_id,
                                        message.settle, message.relayed_by});
}

void CallerTask::Handle(const tasks::RelayCancelled& message) {
  if (const auto it = calls_by_relay_.find(message.origin);
      it != calls_by_relay_.end()) {
    Abandon(it->second);
  }
}

void CallerTask::Handle(const tasks::RelayStreamClosed& message) {
  std::vector<CallId> calls;
  for (const auto& [origin, call] : calls_by_relay_) {
    if (origin.stream == message.stream) calls.push_back(call);
  }
  for (const CallId it : calls) Abandon(it);
}

void CallerTask::Handle(const tasks::StatusRequested& message) {
  mailboxes_.operators->Send(tasks::PathStatusReady{
      message.procedure, callerpath::StatusOf(*path_, net::MonotonicNow())});
}

void CallerTask::Handle(const tasks::Shutdown& /*message*/) {
  const std::size_t aborted = origins_.size();
  std::vector<CallId> open;
  for (const auto& [call, origin] : origins_) open.push_back(call);
  for (const CallId it : open) {
    callerpath::CallerAnswer answer;
    answer.code = ResultCode::kStopCutRequest;
    answer.status = kServiceUnavailable;
    Perform(callerpath::AnswerCall{it, std::move(answer)});
  }
  mailboxes_.operators->Send(tasks::CallerEnded{aborted});
  loop_->Stop();
}

void CallerTask::Perform(const callerpath::SendAttempt& action) {
  net::HttpCall call;
  call.id = action.attempt.value();
  call.endpoint = action.endpoint;
  call.method = action.method;
  call.target = action.target;
  call.headers = action.headers;
  call.body = action.body;
  call.timeout = action.timeout + kTimeoutMargin;
  call.max_answer_bytes = action.max_answer_bytes;
  call.max_connections = action.max_connections;
  attempts_.Send(call);
}

void CallerTask::Perform(const callerpath::CancelAttempt& action) {
  attempts_.Cancel(action.attempt.value());
}

void CallerTask::Perform(const callerpath::AnswerCall& action) {
  const auto it = origins_.find(action.call);
  if (it == origins_.end()) return;
  const Origin origin = it->second;
  origins_.erase(it);
  if (const auto* request = std::get_if<std::uint64_t>(&origin)) {
    calls_by_request_.erase(*request);
    server_->Reply(*request, action.answer.status, AnswerHeaders(action.answer),
                   action.answer.body);
    return;
  }
  const auto& relay = std::get<tasks::RelayOrigin>(origin);
  calls_by_relay_.erase(relay);
  mailboxes_.control->Send(tasks::RelayReply{relay, action.answer});
}

void CallerTask::Perform(const callerpath::RelayCall& action) {
  relays_.Send(action);
}

void CallerTask::Perform(const callerpath::RelayOutcome& action) {
  relays_.Send(action);
}

void CallerTask::Perform(const callerpath::SendProbe& action) {
  net::HttpCall call;
  call.id = action.server.value();
  call.endpoint = action.endpoint;
  call.target = action.path;
  call.timeout = kProbeTimeout;
  call.max_answer_bytes = kMaxProbeBytes;
  // Replaces an open probe: its late answer would carry no information.
  probes_.Cancel(call.id);
  probes_.Send(call);
}

void CallerTask::Perform(const callerpath::PublishServerUpdate& action) {
  mailboxes_.control->Send(
      controlplane::ServerUpdateReady{action.digests, action.leaving});
}

void CallerTask::Perform(const callerpath::AskCredit& action) {
  mailboxes_.control->Send(action);
}

void CallerTask::Perform(const callerpath::AnswerCredit& action) {
  mailboxes_.control->Send(action);
}

void CallerTask::Perform(const callerpath::WriteLog& action) {
  log_.Write(action.line, net::MonotonicNow());
}

void CallerTask::Perform(const callerpath::StopCompleted& /*action*/) {
  mailboxes_.operators->Send(tasks::PathDrained{});
}

CallId CallerTask::RegisterCall(const Origin& origin) {
  const CallId call(++last_call_);
  origins_[call] = origin;
  return call;
}

void CallerTask::Abandon(CallId call) {
  const auto it = origins_.find(call);
  if (it == origins_.end()) return;
  if (const auto* request = std::get_if<std::uint64_t>(&it->second)) {
    calls_by_request_.erase(*request);
  } else {
    calls_by_relay_.erase(std::get<tasks::RelayOrigin>(it->second));
  }
  origins_.erase(it);
  relays_.Cancel(call);
  StepPath(callerpath::CallAbandoned{call});
}

}  // namespace ibisladder::caller
