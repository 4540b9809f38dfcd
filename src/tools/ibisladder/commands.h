#ifndef TOOLS_IBISLADDER_COMMANDS_H_
#define TOOLS_IBISLADDER_COMMANDS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tools/ibisladder/environment.h"
#include "tools/ibisladder/exit_code.h"

/// The commands of the operators' tool.
namespace ibisladder::tool {

ExitCode RunValidate(const Invocation& invocation, const Environment& env);
ExitCode RunApply(const Invocation& invocation, const Environment& env);
ExitCode RunDiff(const Invocation& invocation, const Environment& env);
ExitCode RunShow(const Invocation& invocation, const Environment& env);
ExitCode RunStatus(const Invocation& invocation, const Environment& env);
ExitCode RunDrainServer(const Invocation& invocation, const Environment& env);
ExitCode RunUndrainServer(const Invocation& invocation, const Environment& env);
ExitCode RunDrainInstance(const Invocation& invocation, const Environment& env);
ExitCode RunUndrainInstance(const Invocation& invocation,
                            const Environment& env);
ExitCode RunExplain(const Invocation& invocation, const Environment& env);
ExitCode RunSummary(const Invocation& invocation, const Environment& env);
ExitCode RunVersion(const Invocation& invocation, const Environment& env);

/// Endpoints that a command needs.
enum class EndpointRequirement : std::uint8_t {
  kNone,
  kOneOrMore,
  kExactlyOne
};

struct Command {
  /// One or two words, such as "drain server".
  std::string_view name;
  /// Names of the operands; empty when there are none. "..." at the end: the
  /// last one may be repeated.
  std::string_view operand;
  std::string_view summary;
  /// Explanation with examples, for `ibisladder help NAME`.
  std::string_view help;
  EndpointRequirement endpoints;
  ExitCode (*run)(const Invocation&, const Environment&);
};

std::span<const Command> Commands();

/// Finds the command of `words`, checks its operands and options, runs it.
ExitCode RunCommand(const std::vector<std::string>& words,
                    const Options& options, const Environment& env);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_COMMANDS_H_
