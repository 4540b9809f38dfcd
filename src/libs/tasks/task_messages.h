#ifndef LIBS_TASKS_TASK_MESSAGES_H_
#define LIBS_TASKS_TASK_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>

#include "libs/callerpath/caller_path.h"
#include "libs/callerpath/messages.h"
#include "libs/controlplane/control_plane.h"
#include "libs/controlplane/messages.h"
#include "libs/net/frame_stream.h"
#include "libs/net/mailbox.h"

/// Messages between the tasks of one daemon.
namespace ibisladder::tasks {

/// Where to send the answer to a relayed call: a connection of the control task
/// and the peer's number for the exchange on that connection.
struct RelayOrigin {
  net::StreamId stream;
  std::uint64_t exchange = 0;

  friend auto operator<=>(const RelayOrigin&, const RelayOrigin&) = default;
};

// To the caller task.

struct RelayArrived {
  RelayOrigin origin;
  InstanceId relayed_by;
  callerpath::CallRequest request;
};
struct RelayOutcomeArrived {
  RelayOrigin origin;
  InstanceId relayed_by;
  std::string request_id;
  bool settle = false;
};
struct RelayCancelled {
  RelayOrigin origin;
};
/// Cancels all relayed calls of a connection of the control task.
struct RelayStreamClosed {
  net::StreamId stream;
};

// To the caller task and the control task.

/// Answered with PathStatusReady or ControlStatusReady.
struct StatusRequested {
  std::uint64_t procedure = 0;
};
/// The task answers its open calls and ends its loop.
struct Shutdown {};

using CallerMessage =
    std::variant<callerpath::ConfigurationInstalled, callerpath::FleetChanged,
                 callerpath::ServersLeaving, callerpath::PeerEvidence,
                 callerpath::CreditRequested, callerpath::CreditReplied,
                 callerpath::StopRequested, callerpath::DrainChanged,
                 RelayArrived, RelayOutcomeArrived, RelayCancelled,
                 RelayStreamClosed, StatusRequested, Shutdown>;

// To the control task.

struct RelayReply {
  RelayOrigin origin;
  callerpath::CallerAnswer answer;
};

using ControlMessage =
    std::variant<controlplane::ServerUpdateReady, controlplane::EraAdvanced,
                 controlplane::ApplyRequested, controlplane::StopRequested,
                 controlplane::DrainChanged, callerpath::AskCredit,
                 callerpath::AnswerCredit, RelayReply, StatusRequested,
                 Shutdown>;

// To the operator task.

struct PathStatusReady {
  std::uint64_t procedure = 0;
  callerpath::PathStatus status;
};
struct ControlStatusReady {
  std::uint64_t procedure = 0;
  controlplane::ControlStatus status;
  /// Null until the first one is installed.
  declarations::ConfigurationPtr configuration;
};
/// All requests that a planned stop waits for are finished.
struct PathDrained {};
/// The caller task has ended; `aborted_calls` calls were still open.
struct CallerEnded {
  std::size_t aborted_calls = 0;
};

using OperatorMessage =
    std::variant<PathStatusReady, ControlStatusReady, controlplane::AnswerApply,
                 PathDrained, CallerEnded>;

/// The mailboxes of all tasks. They must outlive the tasks' threads.
struct Mailboxes {
  net::Mailbox<CallerMessage>* caller = nullptr;
  net::Mailbox<ControlMessage>* control = nullptr;
  net::Mailbox<OperatorMessage>* operators = nullptr;
};

}  // namespace ibisladder::tasks

#endif  // LIBS_TASKS_TASK_MESSAGES_H_
