#include "plugins/operators/operator_task.h"

#include <malloc.h>

#include <csignal>
#include <utility>

#include "libs/rpc/replies.h"
#include "plugins/operators/metrics.h"

namespace ibisladder::operators {
namespace {

constexpr Duration kExpiryInterval = Seconds(1);
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

std::string HeaderText(const net::HttpRequest& request, const char* name) {
  const std::string* value = net::FindHeader(request.headers, name);
  return value == nullptr ? std::string() : *value;
}

ResultCode CodeOf(const rpc::Result& result) {
  return static_cast<ResultCode>(result.code());
}

bool IsReady(const callerpath::PathStatus& status) {
  return status.version.value() > 0 && !status.stopping;
}

}  // namespace

Expected<std::unique_ptr<OperatorTask>> OperatorTask::Create(
    const settings::DaemonSettings& settings) {
  auto loop = net::EventLoop::Create();
  if (!loop) return tl::unexpected<Error>(loop.error());
  net::HttpServer::Limits limits;
  limits.max_body_bytes = rpc::kMaxCallBytes;
  auto server =
      net::HttpServer::Listen(**loop, settings.operator_endpoint, limits);
  if (!server) return tl::unexpected<Error>(server.error());
  return std::unique_ptr<OperatorTask>(
      new OperatorTask(std::move(*loop), std::move(*server), settings));
}

OperatorTask::OperatorTask(std::unique_ptr<net::EventLoop> loop,
                           std::unique_ptr<net::HttpServer> server,
                           const settings::DaemonSettings& settings)
    : loop_(std::move(loop)),
      server_(std::move(server)),
      mailbox_(*loop_),
      settings_(settings),
      log_({}) {
  server_->signal_request().connect(
      sigc::mem_fun(*this, &OperatorTask::OnRequest));
  mailbox_.signal_received().connect([this](tasks::OperatorMessage& message) {
    std::visit([this](auto& it) { Handle(it); }, message);
  });
}

std::size_t OperatorTask::Run(const tasks::Mailboxes& mailboxes) {
  mailboxes_ = mailboxes;
  const net::SignalWatch term(*loop_, SIGTERM, [this] { OnSignal(); });
  const net::SignalWatch interrupt(*loop_, SIGINT, [this] { OnSignal(); });
  const net::Timer expiry(*loop_, net::Timer::Kind::kPeriodic, kExpiryInterval,
                          [this] { Expire(); });
  loop_->Run();
  return aborted_calls_;
}

void OperatorTask::OnRequest(const net::HttpRequest& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const TimePoint now = net::MonotonicNow();
  if (request.method == "GET" && path == "/healthz") {
    ReplyText(request.id, kOk, "ok\n");
  } else if (request.method == "GET" && path == "/readyz") {
    Start({request.id, {}, ReadinessQuery{}, now, {}, {}, {}});
  } else if (request.method == "GET" && path == "/metrics") {
    Start({request.id, {}, MetricsQuery{}, now, {}, {}, {}});
  } else if (request.method == "POST") {
    OnProcedure(request);
  } else {
    ReplyText(request.id, kNotFound, "no such page\n");
  }
}

void OperatorTask::OnProcedure(const net::HttpRequest& request) {
  if (!rpc::IsAuthorised(HeaderText(request, "Authorization"),
                         settings_.operator_token)) {
    RejectRequest(request, {ResultCode::kUnauthorised, "Authorization",
                            "send \"Bearer\" and the token of this instance's "
                            "settings"});
    return;
  }
  const std::string content_type = HeaderText(request, "Content-Type");
  auto call = rpc::DecodeCall(request.target, content_type, request.body);
  if (!call) {
    RejectRequest(request, call.error());
    return;
  }
  const auto type = rpc::ParseContentType(content_type);
  Log(LogEvent::kOperatorCall,
      {{"procedure", std::string(rpc::ProcedureName(*call))}});
  Start({request.id,
         type.value_or(rpc::ContentType::kProtobuf),
         std::move(*call),
         net::MonotonicNow(),
         {},
         {},
         {}});
}

void OperatorTask::RejectRequest(const net::HttpRequest& request,
                                 const Error& error) {
  Log(LogEvent::kOperatorRefused,
      {{"target", request.target},
       {"code", std::to_string(static_cast<int>(error.code))},
       {"reason", error.message}});
  const auto type = rpc::ParseContentType(HeaderText(request, "Content-Type"))
                        .value_or(rpc::ContentType::kJson);
  server_->Reply(request.id, rpc::HttpStatusOf(error.code),
                 {{"Content-Type", std::string(rpc::ContentTypeText(type))}},
                 rpc::EncodeErrorReply(error, type));
}

void OperatorTask::ReplyText(std::uint64_t request, int status,
                             const std::string& text) {
  server_->Reply(request, status,
                 {{"Content-Type", "text/plain; charset=utf-8"}}, text);
}

void OperatorTask::ReplyMessage(const PendingProcedure& procedure,
                                ResultCode code,
                                const google::protobuf::Message& reply) {
  server_->Reply(
      procedure.request, rpc::HttpStatusOf(code),
      {{"Content-Type", std::string(rpc::ContentTypeText(procedure.type))}},
      rpc::EncodeReply(reply, procedure.type));
}

void OperatorTask::Start(PendingProcedure procedure) {
  const auto* call = std::get_if<rpc::ProcedureCall>(&procedure.query);
  if (call == nullptr) {
    RequestStatus(pending_.Add(std::move(procedure)));
    return;
  }
  std::visit(
      Overloaded{
          [&](const rpc::ValidateRequest& it) {
            const auto reply = rpc::HandleValidate(it);
            ReplyMessage(procedure, CodeOf(reply.result()), reply);
          },
          [&](const rpc::VersionRequest&) {
            const auto reply = rpc::HandleVersion();
            ReplyMessage(procedure, CodeOf(reply.result()), reply);
          },
          [&](const rpc::DrainInstanceRequest& it) {
            mailboxes_.caller->Send(callerpath::DrainChanged{it.drained()});
            mailboxes_.control->Send(controlplane::DrainChanged{it.drained()});
            rpc::DrainInstanceReply reply;
            *reply.mutable_result() = rpc::MakeResult(ResultCode::kDone);
            ReplyMessage(procedure, ResultCode::kDone, reply);
          },
          [&](const rpc::ApplyRequest& it) {
            const std::uint64_t number = pending_.Add(procedure);
            auto step = rpc::HandleApply(it, number);
            if (auto* reply = std::get_if<rpc::ApplyReply>(&step)) {
              pending_.Take(number);
              ReplyMessage(procedure, CodeOf(reply->result()), *reply);
              return;
            }
            mailboxes_.control->Send(
                std::move(std::get<controlplane::ApplyRequested>(step)));
          },
          [&](const auto&) { RequestStatus(pending_.Add(procedure)); }},
      *call);
}

void OperatorTask::RequestStatus(std::uint64_t procedure) {
  mailboxes_.caller->Send(tasks::StatusRequested{procedure});
  mailboxes_.control->Send(tasks::StatusRequested{procedure});
}

void OperatorTask::FinishIfComplete(std::uint64_t procedure) {
  PendingProcedure* it = pending_.Find(procedure);
  if (it == nullptr || !it->path || !it->control) return;
  Finish(procedure, *it);
}

void OperatorTask::Finish(std::uint64_t number, PendingProcedure& procedure) {
  if (const auto* call = std::get_if<rpc::ProcedureCall>(&procedure.query)) {
    Finish(number, procedure, *call);
    return;
  }
  if (std::holds_alternative<MetricsQuery>(procedure.query)) {
    ReplyText(procedure.request, kOk,
              RenderMetrics(*procedure.path, *procedure.control));
  } else if (IsReady(*procedure.path)) {
    ReplyText(procedure.request, kOk, "ready\n");
  } else {
    ReplyText(procedure.request, kServiceUnavailable,
              procedure.path->stopping ? "stopping\n" : "no configuration\n");
  }
  pending_.Take(number);
}

void OperatorTask::Finish(std::uint64_t number, PendingProcedure& procedure,
                          const rpc::ProcedureCall& call) {
  if (const auto* drain = std::get_if<rpc::DrainServerRequest>(&call)) {
    auto step =
        rpc::HandleDrainServer(*drain, procedure.configuration.get(), number);
    if (auto* asked = std::get_if<controlplane::ApplyRequested>(&step)) {
      // Stays pending until the control plane reports the result.
      mailboxes_.control->Send(std::move(*asked));
      return;
    }
    const auto& reply = std::get<rpc::DrainServerReply>(step);
    ReplyMessage(procedure, CodeOf(reply.result()), reply);
  } else if (std::holds_alternative<rpc::ShowRequest>(call)) {
    const auto reply = rpc::HandleShow(procedure.configuration.get());
    ReplyMessage(procedure, CodeOf(reply.result()), reply);
  } else {
    const auto reply = rpc::HandleStatus({settings_.instance, settings_.zone,
                                          *procedure.path, *procedure.control});
    ReplyMessage(procedure, CodeOf(reply.result()), reply);
  }
  pending_.Take(number);
}

void OperatorTask::Expire() {
  for (const std::uint64_t it : pending_.Expired(net::MonotonicNow())) {
    const auto procedure = pending_.Take(it);
    const Error error{ResultCode::kWriteUnknown, "",
                      "the instance did not finish the procedure in time"};
    server_->Reply(
        procedure->request, kServiceUnavailable,
        {{"Content-Type", std::string(rpc::ContentTypeText(procedure->type))}},
        rpc::EncodeErrorReply(error, procedure->type));
  }
}

void OperatorTask::Handle(tasks::PathStatusReady& message) {
  PendingProcedure* it = pending_.Find(message.procedure);
  if (it == nullptr) return;
  it->path = std::move(message.status);
  FinishIfComplete(message.procedure);
}

void OperatorTask::Handle(tasks::ControlStatusReady& message) {
  PendingProcedure* it = pending_.Find(message.procedure);
  if (it == nullptr) return;
  it->control = std::move(message.status);
  it->configuration = message.configuration;
  FinishIfComplete(message.procedure);
}

void OperatorTask::Handle(const controlplane::AnswerApply& message) {
  const auto procedure = pending_.Take(message.procedure);
  // Checking a large document allocates and frees a lot of memory, which the
  // allocator would otherwise keep for this thread.
  malloc_trim(0);
  if (!procedure) return;
  const auto& call = std::get<rpc::ProcedureCall>(procedure->query);
  if (std::holds_alternative<rpc::DrainServerRequest>(call)) {
    ReplyMessage(*procedure, message.code, rpc::MakeDrainServerReply(message));
  } else {
    ReplyMessage(*procedure, message.code, rpc::MakeApplyReply(message));
  }
}

void OperatorTask::Handle(const tasks::PathDrained& /*message*/) {
  if (stopping_) ShutDownTasks("nothing left to finish");
}

void OperatorTask::Handle(const tasks::CallerEnded& message) {
  aborted_calls_ = message.aborted_calls;
  loop_->Stop();
}

void OperatorTask::OnSignal() {
  if (stopping_) {
    ShutDownTasks("second signal");
    return;
  }
  stopping_ = true;
  Log(LogEvent::kProcessStopping, {});
  mailboxes_.caller->Send(callerpath::StopRequested{});
  mailboxes_.control->Send(controlplane::StopRequested{});
  stop_timer_ = std::make_unique<net::Timer>(
      *loop_, net::Timer::Kind::kOnce, settings_.stop_limit,
      [this] { ShutDownTasks("stop limit reached"); });
}

void OperatorTask::ShutDownTasks(const std::string& reason) {
  if (shutting_down_) return;
  shutting_down_ = true;
  Log(LogEvent::kProcessStopping, {{"reason", reason}});
  mailboxes_.caller->Send(tasks::Shutdown{});
  mailboxes_.control->Send(tasks::Shutdown{});
}

void OperatorTask::Log(LogEvent event, std::vector<LogField> fields) {
  log_.Write({event, std::move(fields)}, net::MonotonicNow());
}

}  // namespace ibisladder::operators
