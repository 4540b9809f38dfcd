#include "libs/rpc/replies.h"
#include "tools/ibisladder/change.h"
#include "tools/ibisladder/commands.h"
#include "tools/ibisladder/declaration_commands.h"
#include "tools/ibisladder/report.h"

namespace ibisladder::tool {
namespace {

/// Returns the version in force, or 0 if an instance reports that it has no
/// configuration yet.
Expected<std::uint64_t> VersionInForce(const Environment& env) {
  const auto shown = Query<rpc::ShowReply>(env, rpc::ShowRequest());
  if (shown) return shown->version();
  if (shown.error().code == ResultCode::kNotReady) return 0;
  return tl::unexpected(shown.error());
}

json::OrderedJson ToJson(const rpc::ApplyRequest& request,
                         const ChangeResult& change) {
  return {{"code", change.result.code()},
          {"message", change.result.message()},
          {"version", change.version},
          {"based_on", request.based_on()},
          {"change_id", request.change_id()}};
}

ExitCode ReportChange(const Invocation& invocation, const Environment& env,
                      const rpc::ApplyRequest& request,
                      const ChangeResult& change) {
  const auto& [options, operands] = invocation;
  const auto code = static_cast<ResultCode>(change.result.code());
  if (!change.result.errors().empty()) {
    return ReportResult(env, options.json, change.result, operands[0]);
  }
  if (options.json) {
    PrintJson(env, ToJson(request, change));
    return ExitCodeOf(code);
  }
  if (code == ResultCode::kDone) {
    env.out << "version " << change.version << " is in force (based on "
            << request.based_on() << ", change " << request.change_id()
            << ")\n";
    return ExitCode::kOk;
  }
  if (code == ResultCode::kConflict) {
    env.err << operands[0]
            << ": nothing was changed; to see how the file differs from the "
               "declarations in force, run "
            << "`ibisladder diff`\n";
  }
  if (code == ResultCode::kWriteUnknown) {
    env.err << operands[0]
            << ": to make the change at most once, repeat the command with "
               "--based-on="
            << request.based_on() << " --change-id=" << request.change_id()
            << "\n";
  }
  return ReportResult(env, options.json, change.result);
}

}  // namespace

ExitCode RunApply(const Invocation& invocation, const Environment& env) {
  const auto& [options, operands] = invocation;
  auto file = ReadDeclarationsFile(env, options.json, operands[0]);
  if (!file) return file.error();
  rpc::ApplyRequest request;
  if (options.based_on) {
    request.set_based_on(*options.based_on);
  } else {
    const auto version = VersionInForce(env);
    if (!version) return ReportError(env, options.json, version.error());
    request.set_based_on(*version);
  }
  request.set_declarations_json(std::move(file->text));
  request.set_change_id(options.change_id.empty() ? env.make_change_id()
                                                  : options.change_id);
  const ChangeResult change = SendChange(env, request);
  return ReportChange(invocation, env, request, change);
}

}  // namespace ibisladder::tool
