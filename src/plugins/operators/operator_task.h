#ifndef PLUGINS_OPERATORS_OPERATOR_TASK_H_
#define PLUGINS_OPERATORS_OPERATOR_TASK_H_

#include <memory>
#include <string>

#include "libs/logging/log_writer.h"
#include "libs/net/http_server.h"
#include "libs/rpc/procedures.h"
#include "libs/settings/daemon_settings.h"
#include "libs/tasks/task_messages.h"
#include "plugins/operators/pending_procedures.h"

namespace ibisladder::operators {

/// Serves the operator endpoint and controls the planned stop. Runs in the main
/// thread, which receives the process's signals.
class OperatorTask {
 public:
  /// kInternal if the operator endpoint cannot be bound.
  static Expected<std::unique_ptr<OperatorTask>> Create(
      const settings::DaemonSettings& settings);

  net::Mailbox<tasks::OperatorMessage>& mailbox() { return mailbox_; }

  /// Runs until the stop is complete. Returns the number of aborted calls.
  std::size_t Run(const tasks::Mailboxes& mailboxes);

 private:
  OperatorTask(std::unique_ptr<net::EventLoop> loop,
               std::unique_ptr<net::HttpServer> server,
               const settings::DaemonSettings& settings);

  // HTTP.
  void OnRequest(const net::HttpRequest& request);
  void OnProcedure(const net::HttpRequest& request);
  void RejectRequest(const net::HttpRequest& request, const Error& error);
  void ReplyText(std::uint64_t request, int status, const std::string& text);
  void ReplyMessage(const PendingProcedure& procedure, ResultCode code,
                    const google::protobuf::Message& reply);

  // Procedures; some wait for other tasks.
  void Start(PendingProcedure procedure);
  void RequestStatus(std::uint64_t procedure);
  void FinishIfComplete(std::uint64_t procedure);
  void Finish(std::uint64_t number, PendingProcedure& procedure);
  void Finish(std::uint64_t number, PendingProcedure& procedure,
              const rpc::ProcedureCall& call);
  void Expire();

  // Messages from other tasks.
  void Handle(tasks::PathStatusReady& message);
  void Handle(tasks::ControlStatusReady& message);
  void Handle(const controlplane::AnswerApply& message);
  void Handle(const tasks::PathDrained& message);
  void Handle(const tasks::CallerEnded& message);

  // Stop.
  void OnSignal();
  void ShutDownTasks(const std::string& reason);
  void Log(LogEvent event, std::vector<LogField> fields);

  std::unique_ptr<net::EventLoop> loop_;
  std::unique_ptr<net::HttpServer> server_;
  net::Mailbox<tasks::OperatorMessage> mailbox_;
  settings::DaemonSettings settings_;
  tasks::Mailboxes mailboxes_;
  PendingProcedures pending_;
  logging::LogWriter log_;
  bool stopping_ = false;
  bool shutting_down_ = false;
  std::size_t aborted_calls_ = 0;
  std::unique_ptr<net::Timer> stop_timer_;
};

}  // namespace ibisladder::operators

#endif  // PLUGINS_OPERATORS_OPERATOR_TASK_H_
