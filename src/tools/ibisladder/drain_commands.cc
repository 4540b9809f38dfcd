#include "libs/declarations/field_checks.h"
#include "tools/ibisladder/change.h"
#include "tools/ibisladder/commands.h"
#include "tools/ibisladder/report.h"

// Commands drain and undrain, for backend servers and instances.
namespace ibisladder::tool {
namespace {

/// Attempts in all if other operators change the declarations at the same time.
constexpr int kMaxAttempts = 3;

Expected<rpc::DrainServerRequest> ParseServerName(const std::string& operand) {
  const auto slash = operand.find('/');
  const std::string service = operand.substr(0, slash);
  const std::string server =
      slash == std::string::npos ? "" : operand.substr(slash + 1);
  if (!json::IsName(service) || !json::IsName(server)) {
    return Fail(
        ResultCode::kInvalidRequest, operand,
        "expected SERVICE/SERVER, such as billing/b1, each a name of 1 to 64 "
        "of a-z, 0-9 and \"-\"");
  }
  rpc::DrainServerRequest request;
  request.set_service(service);
  request.set_server(server);
  return request;
}

/// Sends the change, and again under a new change id after a conflict. The
/// instance sets the flag in the declarations in force, so that a repeat keeps
/// the changes of others.
ChangeResult SendDrain(const Invocation& invocation, const Environment& env,
                       rpc::DrainServerRequest& request) {
  request.set_change_id(invocation.options.change_id.empty()
                            ? env.make_change_id()
                            : invocation.options.change_id);
  ChangeResult change = SendChange(env, request);
  for (int i = 1; i < kMaxAttempts; ++i) {
    const auto code = static_cast<ResultCode>(change.result.code());
    if (code != ResultCode::kConflict) break;
    request.set_change_id(env.make_change_id());
    change = SendChange(env, request);
  }
  return change;
}

ExitCode ChangeServer(const Invocation& invocation, const Environment& env,
                      bool drained) {
  const auto& [options, operands] = invocation;
  auto request = ParseServerName(operands[0]);
  if (!request) return ReportError(env, options.json, request.error());
  request->set_drained(drained);
  const ChangeResult change = SendDrain(invocation, env, *request);
  const auto code = static_cast<ResultCode>(change.result.code());
  if (code != ResultCode::kDone) {
    return ReportResult(env, options.json, change.result, operands[0]);
  }
  if (options.json) {
    PrintJson(env, {{"code", change.result.code()},
                    {"server", operands[0]},
                    {"drained", drained},
                    {"version", change.version}});
  } else {
    env.out << operands[0] << (drained ? " is drained" : " is not drained")
            << " from version " << change.version << " on\n";
  }
  return ExitCode::kOk;
}

ExitCode ChangeInstance(const Invocation& invocation, const Environment& env,
                        bool drained) {
  const auto& options = invocation.options;
  rpc::DrainInstanceRequest request;
  request.set_drained(drained);
  const auto reply = Query<rpc::DrainInstanceReply>(env, request);
  if (!reply) return ReportError(env, options.json, reply.error());
  const std::string endpoint = FormatEndpoint(options.endpoints[0]);
  if (options.json) {
    PrintJson(env, {{"code", reply->result().code()},
                    {"endpoint", endpoint},
                    {"drained", drained}});
  } else {
    env.out << "the instance at " << endpoint
            << (drained ? " is drained\n" : " is not drained\n");
  }
  return ExitCode::kOk;
}

}  // namespace

ExitCode RunDrainServer(const Invocation& invocation, const Environment& env) {
  return ChangeServer(invocation, env, true);
}

ExitCode RunUndrainServer(const Invocation& invocation,
                          const Environment& env) {
  return ChangeServer(invocation, env, false);
}

ExitCode RunDrainInstance(const Invocation& invocation,
                          const Environment& env) {
  return ChangeInstance(invocation, env, true);
}

ExitCode RunUndrainInstance(const Invocation& invocation,
                            const Environment& env) {
  return ChangeInstance(invocation, env, false);
}

}  // namespace ibisladder::tool
