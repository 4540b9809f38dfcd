#include "tools/ibisladder/commands.h"

#include <algorithm>
#include <array>

#include "tools/ibisladder/help.h"
#include "tools/ibisladder/report.h"

namespace ibisladder::tool {
namespace {

constexpr std::array<Command, 12> kCommands = {{
    {"validate", "FILE", "checks declarations, changes nothing",
     R"(Checks a declarations file in full and lists every error with its place as a
JSON pointer and what would be right. Needs no instance; with --endpoint the
instance checks the file too. FILE may be "-", the standard input.

  ibisladder validate declarations.json
  git show main:declarations.json | ibisladder validate -
)",
     EndpointRequirement::kNone, RunValidate},
    {"apply", "FILE", "puts declarations into force",
     R"(Checks a declarations file and puts it into force as the next version,
everywhere within seconds. The change is accepted only if the version that it
is based on is still in force; otherwise nothing is changed and the exit code
is 4. Without --based-on that is the version in force when the command starts;
name it when the file was made from an earlier one:

  ibisladder show --endpoint 10.0.0.7:7003 >declarations.json   # version 41
  $EDITOR declarations.json
  ibisladder apply declarations.json --based-on 41 --endpoint 10.0.0.7:7003

A call whose reply is lost is repeated with the same change id. With exit code
8 the outcome is still not known: repeat the command with the --change-id and
the --based-on that it printed, and the change is made once at the most.
)",
     EndpointRequirement::kOneOrMore, RunApply},
    {"diff", "FILE", "compares declarations with those in force",
     R"(Lists what `apply FILE` would change: "+" added, "-" removed, "~" changed.
The order inside the file does not count. The exit code is 0 when there is no
difference and 10 when there is one.

  ibisladder diff declarations.json --endpoint 10.0.0.7:7003
)",
     EndpointRequirement::kOneOrMore, RunDiff},
    {"show", "", "prints the declarations in force",
     R"(Prints the declarations in force with every field; the version goes to the
standard error output, so that the file can be kept under version control.

  ibisladder show --endpoint 10.0.0.7:7003 >declarations.json
)",
     EndpointRequirement::kOneOrMore, RunShow},
    {"status", "", "state of an instance, its peers and backend servers",
     R"(Shows what the first instance that answers knows: the version in force,
whether the platform's store answers, its peers, and each backend server with
its state and the reason. Instances judge by their own work, so two of them
may differ. docs/OPERATORS.md tells what each state means and what to do.

  ibisladder status --endpoint 10.0.0.7:7003
  ibisladder status --endpoint 10.0.0.7:7003 --service billing --json
)",
     EndpointRequirement::kOneOrMore, RunStatus},
    {"drain server", "SERVICE/SERVER", "gives a backend server no new work",
     R"(Sets `drained` of a backend server in the declarations in force: it gets no
new work anywhere in the fleet, and what it runs is finished. Set the field in
the file under version control too, or the next apply undoes it.

  ibisladder drain server billing/b1 --endpoint 10.0.0.7:7003
)",
     EndpointRequirement::kOneOrMore, RunDrainServer},
    {"undrain server", "SERVICE/SERVER", "gives it work again",
     R"(Clears `drained` of a backend server in the declarations in force.

  ibisladder undrain server billing/b1 --endpoint 10.0.0.7:7003
)",
     EndpointRequirement::kOneOrMore, RunUndrainServer},
    {"drain instance", "", "hands an entry instance to no more callers",
     R"(The instance at the one endpoint is not handed out to callers any more,
serves what still arrives and goes on running, until `undrain instance` or a
stop.

  ibisladder drain instance --endpoint 10.0.0.7:7003
)",
     EndpointRequirement::kExactlyOne, RunDrainInstance},
    {"undrain instance", "", "hands it out again",
     R"(Undoes `drain instance` at the one endpoint.

  ibisladder undrain instance --endpoint 10.0.0.7:7003
)",
     EndpointRequirement::kExactlyOne, RunUndrainInstance},
    {"explain", "REQUEST-ID LOG...", "what happened to one request, and why",
     R"(Reads the logs of the platform's entry instances and tells what happened to
one request in order of time: where it was sent, what was known of that server
then and since when, what failed, and the cause of its final answer. Damaged
lines are passed over. LOG may be "-", the standard input. Machines' clocks may
differ.

  ibisladder explain 9c41d07be2a35f68 edge-1.log edge-2.log
)",
     EndpointRequirement::kNone, RunExplain},
    {"summary", "LOG...", "counts requests that were not served, by cause",
     R"(Reads the logs of the platform's entry instances and counts the requests that
were not served, by cause, and those that were sent again, by reason. Lines that
the instances left out under load are told on the standard error output.

  ibisladder summary edge-*.log
)",
     EndpointRequirement::kNone, RunSummary},
    {"version", "", "version of the tool, and of an instance",
     R"(Prints the tool's version; with --endpoint that of the instance too.

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
                     UsageError("no command \"" + topic[0] +
                                "\"; `ibisladder help` lists them"));
}

/// Empty when operands and options suit the command.
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
    return name + " does not take \"" + operands[min_operands] +
           "\"; see `ibisladder help " + name + "`";
  }
  if (command.endpoints == EndpointRequirement::kExactlyOne &&
      options.endpoints.size() != 1) {
    return name + " needs exactly one --endpoint, the instance's own";
  }
  if (command.endpoints != EndpointRequirement::kNone &&
      options.endpoints.empty()) {
    return name +
           " needs --endpoint ADDRESS:PORT, an instance's operator "
           "endpoint";
  }
  if (!options.endpoints.empty() && options.token.empty()) {
    return "calls need a token: give --token-file FILE or set "
           "IBISLADDER_TOKEN";
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
                       UsageError("no command \"" + words[0] +
                                  "\"; `ibisladder help` lists them"));
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
