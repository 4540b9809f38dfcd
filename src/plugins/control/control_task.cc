#include "plugins/control/control_task.h"

#include <utility>

namespace ibisladder::control {
namespace {

constexpr Duration kTickInterval = Millis(50);
constexpr Duration kSweepInterval = Seconds(1);

controlplane::ControlPlaneSettings PlaneSettings(
    const settings::DaemonSettings& settings,
    const tasks::ProcessIdentity& identity) {
  controlplane::ControlPlaneSettings result;
  result.fleet = settings.fleet;
  result.instance = settings.instance;
  result.incarnation = identity.incarnation;
  result.zone = settings.zone;
  result.caller_endpoint = settings.caller_endpoint;
  result.peer_endpoint = settings.peer_endpoint;
  result.seeds = settings.seeds;
  result.heartbeat_interval = settings.heartbeat_interval;
  result.list_interval = settings.list_interval;
  result.peer_timeout = settings.peer_timeout;
  result.peers_per_round = settings.peers_per_round;
  result.store_timeout = settings.store_timeout;
  return result;
}

}  // namespace

Expected<std::unique_ptr<ControlTask>> ControlTask::Create(
    const settings::DaemonSettings& settings,
    const tasks::ProcessIdentity& identity) {
  auto loop = net::EventLoop::Create();
  if (!loop) return tl::unexpected<Error>(loop.error());
  auto udp = net::UdpSocket::Bind(**loop, settings.peer_endpoint);
  if (!udp) return tl::unexpected<Error>(udp.error());
  const wire::Sender sender{identity.fleet, settings.instance,
                            identity.incarnation, 0};
  auto peers = PeerStreams::Listen(**loop, settings.peer_endpoint, sender);
  if (!peers) return tl::unexpected<Error>(peers.error());
  return std::unique_ptr<ControlTask>(
      new ControlTask(std::move(*loop), std::move(*udp), std::move(*peers),
                      settings, identity));
}

ControlTask::ControlTask(std::unique_ptr<net::EventLoop> loop,
                         std::unique_ptr<net::UdpSocket> udp,
                         std::unique_ptr<PeerStreams> peers,
                         const settings::DaemonSettings& settings,
                         const tasks::ProcessIdentity& identity)
    : fleet_(identity.fleet),
      loop_(std::move(loop)),
      mailbox_(*loop_),
      udp_(std::move(udp)),
      peers_(std::move(peers)),
      platform_(*loop_, settings.platform_endpoint, settings.store_timeout),
      plane_(controlplane::MakeControlPlane(PlaneSettings(settings, identity),
                                            net::MonotonicNow())),
      random_(identity.random_seed + 1),
      log_({}) {
  ConnectSignals();
}

void ControlTask::ConnectSignals() {
  const auto step = [this](const auto& event) { StepPlane(event); };
  udp_->signal_received().connect(
      sigc::mem_fun(*this, &ControlTask::OnDatagram));
  peers_->signal_event().connect(step);
  peers_->signal_relay().connect([this](const tasks::CallerMessage& message) {
    mailboxes_.caller->Send(message);
  });
  peers_->signal_refused().connect(
      sigc::mem_fun(*this, &ControlTask::LogDropped));
  platform_.signal_store().connect(step);
  platform_.signal_list().connect(step);
  mailbox_.signal_received().connect(
      sigc::mem_fun(*this, &ControlTask::OnMessage));
}

void ControlTask::Run(const tasks::Mailboxes& mailboxes) {
  mailboxes_ = mailboxes;
  const net::Timer tick(*loop_, net::Timer::Kind::kPeriodic, kTickInterval,
                        [this] { StepPlane(controlplane::Tick{}); });
  const net::Timer sweep(*loop_, net::Timer::Kind::kPeriodic, kSweepInterval,
                         [this] {
                           const TimePoint now = net::MonotonicNow();
                           peers_->ExpireFetches(now);
                           platform_.CloseIdle(now);
                         });
  loop_->Run();
}

void ControlTask::StepPlane(const controlplane::Event& event) {
  auto actions =
      controlplane::Step(*plane_, event, net::MonotonicNow(), random_);
  for (const auto& action : actions) {
    std::visit([this](const auto& it) { Perform(it); }, action);
  }
}

void ControlTask::LogDropped(const Error& error) {
  log_.Write({LogEvent::kDatagramDropped,
              {{"code", std::to_string(static_cast<int>(error.code))},
               {"place", error.place},
               {"reason", error.message}}},
             net::MonotonicNow());
}

void ControlTask::OnDatagram(net::Datagram& datagram) {
  if (!wire::IsCreditDatagram(datagram.bytes)) {
    StepPlane(controlplane::DatagramReceived{datagram.peer,
                                             std::move(datagram.bytes)});
    return;
  }
  auto credit = wire::DecodeCreditDatagram(datagram.bytes, fleet_);
  if (!credit) {
    LogDropped(Error{credit.error().code, FormatEndpoint(datagram.peer),
                     "a message about credit"});
    return;
  }
  if (auto* it = std::get_if<wire::CreditRequestDatagram>(&*credit)) {
    mailboxes_.caller->Send(
        callerpath::CreditRequested{datagram.peer, std::move(it->request)});
  } else {
    mailboxes_.caller->Send(callerpath::CreditReplied{
        std::get<wire::CreditReplyDatagram>(*credit).reply});
  }
}

void ControlTask::OnMessage(tasks::ControlMessage& message) {
  std::visit([this](const auto& it) { Handle(it); }, message);
}

void ControlTask::Handle(const callerpath::AskCredit& message) {
  udp_->Send(message.to, wire::EncodeCreditDatagram(wire::CreditRequestDatagram{
                             fleet_, message.request}));
}

void ControlTask::Handle(const callerpath::AnswerCredit& message) {
  udp_->Send(message.to, wire::EncodeCreditDatagram(
                             wire::CreditReplyDatagram{fleet_, message.reply}));
}

void ControlTask::Handle(const tasks::RelayReply& message) {
  peers_->AnswerRelay(message);
}

void ControlTask::Handle(const tasks::StatusRequested& message) {
  mailboxes_.operators->Send(tasks::ControlStatusReady{
      message.procedure, controlplane::StatusOf(*plane_, net::MonotonicNow()),
      configuration_});
}

void ControlTask::Handle(const tasks::Shutdown& /*message*/) { loop_->Stop(); }

void ControlTask::Perform(const controlplane::SendDatagram& action) {
  udp_->Send(action.to, action.bytes);
}

void ControlTask::Perform(const controlplane::AnswerFetch& action) {
  peers_->AnswerFetch(action);
}

void ControlTask::Perform(const controlplane::FetchFromPeer& action) {
  peers_->Fetch(action, net::MonotonicNow());
}

void ControlTask::Perform(const controlplane::InstallConfiguration& action) {
  configuration_ = action.configuration;
  mailboxes_.caller->Send(
      callerpath::ConfigurationInstalled{action.configuration});
}

void ControlTask::Perform(const controlplane::ReportFleet& action) {
  mailboxes_.caller->Send(action.fleet);
}

void ControlTask::Perform(const controlplane::ReportServersLeaving& action) {
  mailboxes_.caller->Send(callerpath::ServersLeaving{action.servers});
}

void ControlTask::Perform(const controlplane::ReportEvidence& action) {
  mailboxes_.caller->Send(action.evidence);
}

void ControlTask::Perform(const controlplane::AnswerApply& action) {
  mailboxes_.operators->Send(action);
}

void ControlTask::Perform(const controlplane::WriteLog& action) {
  log_.Write(action.line, net::MonotonicNow());
}

}  // namespace ibisladder::control
