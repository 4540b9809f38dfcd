#ifndef LIBS_RPC_REPLIES_H_
#define LIBS_RPC_REPLIES_H_

#include <operators.pb.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libs/base/result_code.h"
#include "libs/callerpath/caller_path.h"
#include "libs/controlplane/control_plane.h"
#include "libs/declarations/configuration.h"

/// The procedures themselves: pure functions that turn a call and the
/// instance's state into a reply, or into a change for the control plane.
namespace ibisladder::rpc {

Result MakeResult(ResultCode code, std::string_view message = "");
Result MakeResult(const Error& error);
/// kInvalidArgument with all errors, or kDone if there are none.
Result MakeResult(const std::vector<Error>& errors);

ValidateReply HandleValidate(const ValidateRequest& request);

/// kNotReady if `configuration` is null.
ShowReply HandleShow(const declarations::Configuration* configuration);

VersionReply HandleVersion();

/// State of one instance as reported by its tasks.
struct StatusSource {
  InstanceId instance;
  ZoneName zone;
  callerpath::PathStatus path;
  controlplane::ControlStatus control;
};
StatusReply HandleStatus(const StatusSource& source);

/// A change for the control plane, or a reply that can be sent at once. The
/// control plane reports the result of the change in an AnswerApply with the
/// same `procedure`, which MakeApplyReply turns into the reply.
using ApplyResult = std::variant<controlplane::ApplyRequested, ApplyReply>;
ApplyResult HandleApply(const ApplyRequest& request, std::uint64_t procedure);
ApplyReply MakeApplyReply(const controlplane::AnswerApply& answer);

/// Sets `drained` of one backend server in `configuration`. Replies at once
/// with kInvalidArgument, kNotFound or kNotReady, or with kDone if nothing
/// changes.
using DrainServerResult =
    std::variant<controlplane::ApplyRequested, DrainServerReply>;
DrainServerResult HandleDrainServer(
    const DrainServerRequest& request,
    const declarations::Configuration* configuration, std::uint64_t procedure);
DrainServerReply MakeDrainServerReply(const controlplane::AnswerApply& answer);

}  // namespace ibisladder::rpc

#endif  // LIBS_RPC_REPLIES_H_
