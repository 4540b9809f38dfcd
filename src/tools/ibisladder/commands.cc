#include "tools/ibisladder/commands.h"

#include <algorithm>
#include <array>

#include "tools/ibisladder/help.h"
#include "tools/ibisladder/report.h"

namespace ibisladder::tool {
namespace {

constexpr std::array<Command, 13> kCommands = {{
    {"validate", "FILE", "checks a declarations file and changes nothing",
     R"(Checks a declarations file in full and lists every error with its place, a
JSON pointer, and what is accepted there. No instance is needed; with --endpoint
an instance checks the file too. FILE may be "-" for the standard input.

  ibisladder validate declarations.json
  git show main:declarations.json | ibisladder validate -
)",
     EndpointRequirement::kNone, RunValidate},
    {"apply", "FILE", "puts a declarations file into force",
     R"(Checks a declarations file and puts it into force as the next version. All
instances use it within seconds. The change is accepted only if the version that
it is based on is still in force. Otherwise nothing is changed and the exit code
is 4. By default, the change is based on the version that is in force when the
command starts. If the file was made from an earlier version, pass that one with
--based-on:

  ibisladder show --endpoint 10.0.0.7:7003 >declarations.json   # version 41
  $EDITOR declarations.json
  ibisladder apply declarations.json --based-on 41 --endpoint 10.0.0.7:7003

If the reply to a call is lost, the call is repeated with the same change id.
Exit code 8 means that the outcome is still unknown. Repeat the command then
with the --based-on and --change-id that it printed: the change is made at most
once.
)",
     EndpointRequirement::kOneOrMore, RunApply},
    {"diff", "FILE", "compares a file with the declarations in force",
     R"(Lists what `apply FILE` would change: "+" is added, "-" is removed, "~" is
changed. The order of the parts in the file does not matter. The exit code is 0
if there is no difference and 10 if there is one.

  ibisladder diff declarations.json --endpoint 10.0.0.7:7003
)",
     EndpointRequirement::kOneOrMore, RunDiff},
    {"show", "", "prints the declarations in force",
     R"(Prints the declarations in force with every field. The version goes to the
standard error output, so that the standard output is a file that can be kept
under version control.

  ibisladder show --endpoint 10.0.0.7:7003 >declarations.json
)",
     EndpointRequirement::kOneOrMore, RunShow},
    {"status", "", "shows an instance, its peers and backend servers",
     R"(Shows what the first instance that answers knows: the version in force,
whether the platform's store answers, its peers, and each backend server with
its state and the reason. Each instance evaluates the backend servers itself, by
its own requests and by evidence from its peers, so two instances may show
different states. docs/OPERATORS.md explains each state and what to do.

  ibisladder status --endpoint 10.0.0.7:7003
  ibisladder status --endpoint 10.0.0.7:7003 --service billing --json
)",
     EndpointRequirement::kOneOrMore, RunStatus},
    {"drain server", "SERVICE/SERVER", "stops new requests to a backend server",
     R"(Sets `drained` of a backend server in the declarations in force. No instance
sends it new requests, and those that it is running are finished. Set the field
in the file under version control too, or the next apply undoes it.

  ibisladder drain server billing/b1 --endpoint 10.0.0.7:7003
)",
     EndpointRequirement::kOneOrMore, RunDrainServer},
    {"undrain server", "SERVICE/SERVER", "lets it get requests again",
     R"(Clears `drained` of a backend server in the declarations in force. Clear the
field in the file under version control too, or the next apply undoes it.

  ibisladder undrain server billing/b1 --endpoint 10.0.0.7:7003
)",
     EndpointRequirement::kOneOrMore, RunUndrainServer},
    {"drain instance", "", "stops offering an entry instance to callers",
     R"(Callers no longer get the address of the instance at the one endpoint. It
serves the requests that still arrive and goes on running, until
`undrain instance` or until it is stopped.

  ibisladder drain instance --endpoint 10.0.0.7:7003
)",
     EndpointRequirement::kExactlyOne, RunDrainInstance},
    {"undrain instance", "", "offers it to callers again",
     R"(Undoes `drain instance` for the instance at the one endpoint.

  ibisladder undrain instance --endpoint 10.0.0.7:7003
)",
     EndpointRequirement::kExactlyOne, RunUndrainInstance},
    {"explain", "REQUEST-ID LOG...",
     "shows what happened to a request, and why",
     R"(Reads the logs of the platform's entry instances and shows what happened to
one request, in order of time: where it was sent, the last state of that server
in the log and how old it was, which attempts failed, and the cause of the final
answer. Damaged lines are skipped. LOG may be "-" for the standard input. The
clocks of different machines may differ.

  ibisladder explain 9c41d07be2a35f68 edge-1.log edge-2.log
)",
     EndpointRequirement::kNone, RunExplain},
    {"summary", "LOG...", "counts requests that were not served, by cause",
     R"(Reads the logs of the platform's entry instances and counts the requests that
were not served, by cause, and those that were sent again, by reason. The number
of log lines that the instances dropped under load goes to the standard error
output. LOG may be "-" for the standard input.

  ibisladder summary edge-*.log
)",
     EndpointRequirement::kNone, RunSummary},
    {"organisations", "", "shows who sends how many requests, and the quotas",
     R"(Asks instances at their metrics addresses and shows each organisation that
sent requests in the last 10 s: the requests that arrived, were admitted and
were refused, summed over the instances that answered, its quota, how many
instances limit it, and the keeper of the quota. A second table shows the
version that is in force at each instance and when it was last verified. The
exit code is 3 if some instance did not answer. An instance answers 4 questions
a second.

  ibisladder organisations --at 10.0.0.7:9100 --at 10.0.1.7:9100
  ibisladder organisations --at 10.0.0.7:9100,10.0.1.7:9100 --json
)",
     EndpointRequirement::kMetricsAddresses, RunOrganisations},
    {"version", "", "prints the version of the tool and an instance",
     R"(Prints the version of the tool and, with --endpoint, that of the first instance
that answers.

  ibisladder version
)",
     EndpointRequirement::kNone, RunVersion},
}};

std::size_t WordCount(std::string_view name) {
  return 1 +
         static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

const Command* FindCommand(const std::vector<std::string>& words) {
  for (const auto& it : kCommands) {
    const std::size_t count = WordCount(it.name);
    if (words.size() < count) continue;
    const std::string name = count == 1 ? words[0] : words[0] + " " + words[1];
    if (it.name == name) return &it;
  }
  return nullptr;
}

Error UsageError(std::string message) {
  return {ResultCode::kInvalidRequest, "", std::move(message)};
}

ExitCode RunHelp(const std::vector<std::string>& words,
                 const Environment& env) {
  const std::vector<std::string> topic(words.begin() + 1, words.end());
  if (topic.empty()) {
    env.out << GeneralHelp();
    return ExitCode::kOk;
  }
  if (const Command* command = FindCommand(topic); command != nullptr) {
    env.out << CommandHelp(*command);
    return ExitCode::kOk;
  }
  return ReportError(env, false,
                     UsageError("unknown command \"" + topic[0] +
                                "\"; `ibisladder help` lists the commands"));
}

/// Returns an error message, or an empty text if the command accepts the
/// operands and options.
std::string CheckUsage(const Command& command, const Invocation& invocation) {
  const std::size_t min_operands =
      command.operand.empty() ? 0 : WordCount(command.operand);
  const bool is_repeatable = command.operand.ends_with("...");
  const auto& [options, operands] = invocation;
  const std::string name(command.name);
  if (operands.size() < min_operands) {
    return name + " needs " + std::string(command.operand) +
           "; see `ibisladder help " + name + "`";
  }
  if (operands.size() > min_operands && !is_repeatable) {
    return name + ": unexpected operand \"" + operands[min_operands] +
           "\"; see `ibisladder help " + name + "`";
  }
  if (command.endpoints == EndpointRequirement::kExactlyOne &&
      options.endpoints.size() != 1) {
    return name +
           " needs exactly one --endpoint ADDRESS:PORT, the operator endpoint "
           "of that instance";
  }
  if (command.endpoints == EndpointRequirement::kMetricsAddresses) {
    if (!options.at.empty()) return "";
    return name + " needs --at ADDRESS:PORT, an instance's metrics address";
  }
  if (command.endpoints != EndpointRequirement::kNone &&
      options.endpoints.empty()) {
    return name +
           " needs --endpoint ADDRESS:PORT, an instance's operator "
           "endpoint";
  }
  if (!options.endpoints.empty() && options.token.empty()) {
    return "calls to an instance need the operators' token: pass --token-file "
           "FILE or set IBISLADDER_TOKEN";
  }
  return "";
}

}  // namespace

std::span<const Command> Commands() { return kCommands; }

ExitCode RunCommand(const std::vector<std::string>& words,
                    const Options& options, const Environment& env) {
  if (words.empty()) {
    env.err << GeneralHelp();
    return ExitCode::kUsage;
  }
  if (words[0] == "help") return RunHelp(words, env);
  const Command* command = FindCommand(words);
  if (command == nullptr) {
    return ReportError(env, options.json,
                       UsageError("unknown command \"" + words[0] +
                                  "\"; `ibisladder help` lists the commands"));
  }
  const Invocation invocation{
      options,
      {words.begin() + static_cast<std::ptrdiff_t>(WordCount(command->name)),
       words.end()}};
  if (const auto problem = CheckUsage(*command, invocation); !problem.empty()) {
    return ReportError(env, options.json, UsageError(problem));
  }
  return command->run(invocation, env);
}

}  // namespace ibisladder::tool
