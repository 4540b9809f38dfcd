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

/// What the procedures do, apart from transport: pure functions from a call
/// and the instance's state to a reply, or to a change for the control plane.
namespace ibisladder::rpc {

Result MakeResult(ResultCode code, std::string_view message = "");
Result MakeResult(const Error& error);
/// kInvalidArgument with every error; kDone when there is none.
Result MakeResult(const std::vector<Error>& errors);

ValidateReply HandleValidate(const ValidateRequest& request);

/// kNotReady when the instance has no configuration.
ShowReply HandleShow(const declarations::Configuration* configuration);

VersionReply HandleVersion();

/// What one instance knows, as its tasks report it.
struct StatusSource {
  InstanceId instance;
  ZoneName zone;
  callerpath::PathStatus path;
  controlplane::ControlStatus control;
};
StatusReply HandleStatus(const StatusSource& source);

/// A change for the control plane, whose AnswerApply becomes the reply; or the
/// reply at once. `procedure` comes back in the AnswerApply.
using ApplyStep = std::variant<controlplane::ApplyRequested, ApplyReply>;
ApplyStep HandleApply(const ApplyRequest& request, std::uint64_t procedure);
ApplyReply MakeApplyReply(const controlplane::AnswerApply& answer);

/// Changes the `drained` of one backend server in `configuration`. At once:
/// kNotFound, kNotReady, or kDone when it is so already.
using DrainServerStep =
    std::variant<controlplane::ApplyRequested, DrainServerReply>;
DrainServerStep HandleDrainServer(
    const DrainServerRequest& request,
    const declarations::Configuration* configuration, std::uint64_t procedure);
DrainServerReply MakeDrainServerReply(const controlplane::AnswerApply& answer);

}  // namespace ibisladder::rpc

#endif  // LIBS_RPC_REPLIES_H_
