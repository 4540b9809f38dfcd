#include "tools/ibisladder/declaration_commands.h"

#include "libs/declarations/parse.h"
#include "libs/rpc/replies.h"
#include "tools/ibisladder/commands.h"
#include "tools/ibisladder/difference.h"
#include "tools/ibisladder/report.h"

// Commands validate, diff, show and version.
namespace ibisladder::tool {
namespace {

using json::OrderedJson;

std::string CountText(std::size_t n, const std::string& noun) {
  return std::to_string(n) + " " + noun + (n == 1 ? "" : "s");
}

std::string Summary(const declarations::Declarations& declarations) {
  std::size_t servers = 0;
  for (const auto& it : declarations.services) servers += it.servers.size();
  return CountText(declarations.services.size(), "service") + ", " +
         CountText(servers, "backend server") + ", " +
         CountText(declarations.routes.size(), "route") + ", " +
         CountText(declarations.organisations.size(), "organisation");
}

/// Has an instance validate the file too.
ExitCode ValidateOnInstance(const Invocation& invocation,
                            const Environment& env,
                            const DeclarationsFile& file) {
  rpc::ValidateRequest request;
  request.set_declarations_json(file.text);
  const CallResult result = env.channel(request);
  const bool as_json = invocation.options.json;
  if (const Error error = DeliveryError(result, false);
      error.code != ResultCode::kDone) {
    return ReportError(env, as_json, error);
  }
  rpc::ValidateReply reply;
  if (!rpc::DecodeReply(result.body, reply) || !reply.has_result()) {
    return ReportError(
        env, as_json,
        {ResultCode::kInternal, result.detail,
         "the answer is not a valid reply to this call; check that "
         "the address is an instance's operator endpoint"});
  }
  const auto code = static_cast<ResultCode>(reply.result().code());
  if (code == ResultCode::kDone) return ExitCode::kOk;
  return ReportResult(env, as_json, reply.result(), invocation.operands[0]);
}

}  // namespace

tl::expected<DeclarationsFile, ExitCode> ReadDeclarationsFile(
    const Environment& env, bool as_json, const std::string& file) {
  auto text = env.read_file(file);
  if (!text) return tl::unexpected(ReportError(env, as_json, text.error()));
  auto parsed = declarations::ParseDeclarations(*text);
  if (!parsed) {
    return tl::unexpected(ReportFileErrors(env, as_json, file, parsed.error()));
  }
  return DeclarationsFile{std::move(*text), std::move(*parsed)};
}

ExitCode RunValidate(const Invocation& invocation, const Environment& env) {
  const auto& [options, operands] = invocation;
  const auto file = ReadDeclarationsFile(env, options.json, operands[0]);
  if (!file) return file.error();
  if (!options.endpoints.empty()) {
    const ExitCode code = ValidateOnInstance(invocation, env, *file);
    if (code != ExitCode::kOk) return code;
  }
  if (options.json) {
    PrintJson(env, {{"code", static_cast<int>(ResultCode::kDone)},
                    {"place", operands[0]},
                    {"message", "valid"}});
  } else {
    env.out << operands[0] << ": valid: " << Summary(file->declarations)
            << "\n";
  }
  return ExitCode::kOk;
}

ExitCode RunDiff(const Invocation& invocation, const Environment& env) {
  const auto& [options, operands] = invocation;
  const auto file = ReadDeclarationsFile(env, options.json, operands[0]);
  if (!file) return file.error();
  const auto shown = Query<rpc::ShowReply>(env, rpc::ShowRequest());
  if (!shown) return ReportError(env, options.json, shown.error());
  const auto in_force =
      declarations::ParseDeclarations(shown->declarations_json());
  if (!in_force) {
    return ReportFileErrors(env, options.json, "(declarations in force)",
                            in_force.error());
  }
  const auto differences = Compare(*in_force, file->declarations);
  if (options.json) {
    PrintJson(env, {{"version", shown->version()},
                    {"changes", DifferencesToJson(differences)}});
  } else {
    env.out << FormatDifferences(differences);
    env.err << "version " << shown->version() << " is in force; "
            << CountText(differences.size(), "difference") << "\n";
  }
  return differences.empty() ? ExitCode::kOk : ExitCode::kDifferent;
}

ExitCode RunShow(const Invocation& invocation, const Environment& env) {
  const auto shown = Query<rpc::ShowReply>(env, rpc::ShowRequest());
  if (!shown) return ReportError(env, invocation.options.json, shown.error());
  if (!invocation.options.json) {
    env.out << shown->declarations_json();
    env.err << "version " << shown->version() << "\n";
    return ExitCode::kOk;
  }
  const auto document =
      OrderedJson::parse(shown->declarations_json(), nullptr, false);
  PrintJson(env, {{"version", shown->version()}, {"declarations", document}});
  return ExitCode::kOk;
}

ExitCode RunVersion(const Invocation& invocation, const Environment& env) {
  const auto& options = invocation.options;
  const std::string own = rpc::HandleVersion().program();
  OrderedJson document = {{"tool", own}};
  if (!options.endpoints.empty()) {
    const auto reply = Query<rpc::VersionReply>(env, rpc::VersionRequest());
    if (!reply) return ReportError(env, options.json, reply.error());
    document["instance"] = reply->program();
  }
  if (options.json) {
    PrintJson(env, document);
    return ExitCode::kOk;
  }
  for (const auto& [name, value] : document.items()) {
    env.out << name << ": " << value.get<std::string>() << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace ibisladder::tool
