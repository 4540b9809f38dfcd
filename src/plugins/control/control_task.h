#ifndef PLUGINS_CONTROL_CONTROL_TASK_H_
#define PLUGINS_CONTROL_CONTROL_TASK_H_

#include <memory>

#include "libs/base/random.h"
#include "libs/controlplane/control_plane.h"
#include "libs/logging/log_writer.h"
#include "libs/net/udp_socket.h"
#include "libs/settings/daemon_settings.h"
#include "libs/tasks/process_identity.h"
#include "libs/tasks/task_messages.h"
#include "plugins/control/peer_streams.h"
#include "plugins/control/platform_client.h"

namespace ibisladder::control {

/// Owns the control plane and the connections to peers and the platform. Feeds
/// the control plane events and carries out its actions.
class ControlTask {
 public:
  /// kInternal when the peer endpoint cannot be bound.
  static Expected<std::unique_ptr<ControlTask>> Create(
      const settings::DaemonSettings& settings,
      const tasks::ProcessIdentity& identity);

  net::Mailbox<tasks::ControlMessage>& mailbox() { return mailbox_; }

  /// Runs until Shutdown arrives. `mailboxes` has those of the other tasks.
  void Run(const tasks::Mailboxes& mailboxes);

 private:
  ControlTask(std::unique_ptr<net::EventLoop> loop,
              std::unique_ptr<net::UdpSocket> udp,
              std::unique_ptr<PeerStreams> peers,
              const settings::DaemonSettings& settings,
              const tasks::ProcessIdentity& identity);

  void ConnectSignals();
  void StepPlane(const controlplane::Event& event);
  void LogDropped(const Error& error);

  void OnDatagram(net::Datagram& datagram);
  void OnMessage(tasks::ControlMessage& message);
  void Handle(const callerpath::AskCredit& message);
  void Handle(const callerpath::AnswerCredit& message);
  void Handle(const tasks::RelayReply& message);
  void Handle(const tasks::StatusRequested& message);
  void Handle(const tasks::Shutdown& message);
  template <typename Event>
  void Handle(const Event& event) {
    StepPlane(event);
  }

  void Perform(const controlplane::SendDatagram& action);
  void Perform(const controlplane::AnswerFetch& action);
  void Perform(const controlplane::FetchFromPeer& action);
  void Perform(const controlplane::InstallConfiguration& action);
  void Perform(const controlplane::ReportFleet& action);
  void Perform(const controlplane::ReportServersLeaving& action);
  void Perform(const controlplane::ReportEvidence& action);
  void Perform(const controlplane::AnswerApply& action);
  void Perform(const controlplane::WriteLog& action);
  /// Calls to the platform.
  template <typename Action>
  void Perform(const Action& action) {
    platform_.Send(action);
  }

  /// Hash of the fleet's name.
  std::uint64_t fleet_;
  std::unique_ptr<net::EventLoop> loop_;
  net::Mailbox<tasks::ControlMessage> mailbox_;
  std::unique_ptr<net::UdpSocket> udp_;
  std::unique_ptr<PeerStreams> peers_;
  PlatformClient platform_;
  tasks::Mailboxes mailboxes_;
  controlplane::ControlPlanePtr plane_;
  declarations::ConfigurationPtr configuration_;
  Random random_;
  logging::LogWriter log_;
};

}  // namespace ibisladder::control

#endif  // PLUGINS_CONTROL_CONTROL_TASK_H_
