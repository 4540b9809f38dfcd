#ifndef PLUGINS_CALLER_CALLER_TASK_H_
#define PLUGINS_CALLER_CALLER_TASK_H_

#include <map>
#include <memory>
#include <unordered_map>
#include <variant>

#include "libs/base/random.h"
#include "libs/callerpath/caller_path.h"
#include "libs/logging/log_writer.h"
#include "libs/net/http_client.h"
#include "libs/net/http_server.h"
#include "libs/settings/daemon_settings.h"
#include "libs/tasks/process_identity.h"
#include "libs/tasks/task_messages.h"
#include "plugins/caller/relay_client.h"

namespace ibisladder::caller {

/// Owns the connections to callers and backend servers, and the caller path:
/// feeds it events and carries out its actions.
class CallerTask {
 public:
  /// Fails with kInternal when the caller endpoint cannot be bound.
  static Expected<std::unique_ptr<CallerTask>> Create(
      const settings::DaemonSettings& settings,
      const tasks::ProcessIdentity& identity);

  net::Mailbox<tasks::CallerMessage>& mailbox() { return mailbox_; }

  /// Runs until Shutdown; `mailboxes` are those of the other tasks.
  void Run(const tasks::Mailboxes& mailboxes);

 private:
  /// Receiver of an answer: an HTTP request id or a relay.
  using Origin = std::variant<std::uint64_t, tasks::RelayOrigin>;

  CallerTask(std::unique_ptr<net::EventLoop> loop,
             std::unique_ptr<net::HttpServer> server,
             const settings::DaemonSettings& settings,
             const tasks::ProcessIdentity& identity);

  void ConnectSignals();
  void StepPath(const callerpath::Event& event);
  void ReportEra(TimePoint now);

  // Events from sockets.
  void OnRequest(net::HttpRequest& request);
  void OnAbandoned(std::uint64_t request);
  void OnAnswer(net::HttpAnswer& answer);
  void OnAttemptError(const net::HttpError& error);
  void OnProbeAnswer(net::HttpAnswer& answer);
  void OnProbeError(const net::HttpError& error);

  // Events from other tasks.
  void OnMessage(tasks::CallerMessage& message);
  void Handle(const tasks::RelayArrived& message);
  void Handle(const tasks::RelayOutcomeArrived& message);
  void Handle(const tasks::RelayCancelled& message);
  void Handle(const tasks::RelayStreamClosed& message);
  void Handle(const tasks::StatusRequested& message);
  void Handle(const tasks::Shutdown& message);
  template <typename Event>
  void Handle(const Event& event) {
    StepPath(event);
  }

  // Actions of the caller path.
  void Perform(const callerpath::SendAttempt& action);
  void Perform(const callerpath::CancelAttempt& action);
  void Perform(const callerpath::AnswerCall& action);
  void Perform(const callerpath::RelayCall& action);
  void Perform(const callerpath::RelayOutcome& action);
  void Perform(const callerpath::SendProbe& action);
  void Perform(const callerpath::PublishServerUpdate& action);
  void Perform(const callerpath::AskCredit& action);
  void Perform(const callerpath::AnswerCredit& action);
  void Perform(const callerpath::WriteLog& action);
  void Perform(const callerpath::StopCompleted& action);

  CallId RegisterCall(const Origin& origin);
  void Abandon(CallId call);

  std::unique_ptr<net::EventLoop> loop_;
  std::unique_ptr<net::HttpServer> server_;
  net::Mailbox<tasks::CallerMessage> mailbox_;
  net::HttpClient attempts_;
  net::HttpClient probes_;
  RelayClient relays_;
  tasks::Mailboxes mailboxes_;
  callerpath::CallerPathPtr path_;
  Random random_;
  logging::LogWriter log_;
  std::uint64_t last_call_ = 0;
  Era reported_era_;
  std::unordered_map<CallId, Origin> origins_;
  std::unordered_map<std::uint64_t, CallId> calls_by_request_;
  std::map<tasks::RelayOrigin, CallId> calls_by_relay_;
};

}  // namespace ibisladder::caller

#endif  // PLUGINS_CALLER_CALLER_TASK_H_
