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

ExitCode RunOrganisations(const Invocation& invocation, const Environment& env);

/// Number of endpoints that a command requires; kNone: they are optional.
enum class EndpointRequirement : std::uint8_t {
  kNone,
  kOneOrMore,
  kExactlyOne,
  /// Metrics addresses with --at instead.
  kMetricsAddresses
};

struct Command {
  /// One word or two, such as "drain server".
  std::string_view name;
  /// Names of the operands; empty if there are none. A trailing "..." means
  /// that the last one can be repeated.
  std::string_view operand;
  /// One line for `ibisladder help`.
  std::string_view summary;
  /// Explanation with examples, for `ibisladder help NAME`.
  std::string_view help;
  EndpointRequirement endpoints;
  ExitCode (*run)(const Invocation&, const Environment&);
};

std::span<const Command> Commands();

/// Runs the command that `words` start with, after checking its operands and
/// options. Without words, prints the general help and returns kUsage.
ExitCode RunCommand(const std::vector<std::string>& words,
                    const Options& options, const Environment& env);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_COMMANDS_H_
