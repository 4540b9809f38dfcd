#include "tools/ibisladder/help.h"

namespace ibisladder::tool {
namespace {

constexpr std::size_t kSummaryColumn = 34;

constexpr std::string_view kUsageHeader =
    R"(ibisladder: command-line tool for operators of an ibisladder fleet

Usage: ibisladder COMMAND [OPERAND] [FLAGS]

Commands:
)";

constexpr std::string_view kFlagsAndExitCodes = R"(
Flags:
  --endpoint=ADDRESS:PORT,...  operator endpoints of instances, tried in order
                               until one serves the call
  --at=ADDRESS:PORT,...        organisations: metrics addresses of instances, all
                               of which are asked; may be repeated
  --token-file=FILE            file with the operators' token; default: the
                               value of IBISLADDER_TOKEN in the environment
  --json                       prints JSON on the standard output, for scripts
  --service=NAME               status: only the backend servers of this service
  --based-on=VERSION           apply: version that FILE was made from; default:
                               the version in force when the command starts
  --change-id=ID               apply, drain server, undrain server: id of the
                               change, 1 to 64 of a-z, 0-9 and "-"; with the id
                               of an earlier attempt, the change is made at most
                               once; default: a new id

Example session:
  export IBISLADDER_TOKEN=...
  ibisladder validate declarations.json
  ibisladder diff declarations.json --endpoint 10.0.0.7:7003,10.0.1.7:7003
  ibisladder apply declarations.json --endpoint 10.0.0.7:7003,10.0.1.7:7003
  ibisladder status --endpoint 10.0.0.7:7003 --service billing

Exit codes:
  0 done                          6 no such item
  1 internal error                7 unauthorised
  2 wrong usage                   8 outcome of a change unknown
  3 invalid declarations, or      9 a file cannot be read
    some --at did not answer
  4 conflict: changed meanwhile  10 diff: there are differences
  5 unavailable; nothing was changed

`ibisladder help COMMAND` explains a command.
)";

std::string UsageOf(const Command& command) {
  std::string buf(command.name);
  if (!command.operand.empty()) buf += " " + std::string(command.operand);
  return buf;
}

}  // namespace

std::string GeneralHelp() {
  std::string buf(kUsageHeader);
  for (const auto& it : Commands()) {
    std::string line = "  " + UsageOf(it);
    line.resize(std::max(line.size() + 1, kSummaryColumn), ' ');
    buf += line + std::string(it.summary) + "\n";
  }
  std::string line = "  help [COMMAND]";
  line.resize(kSummaryColumn, ' ');
  buf += line + "prints this text, or the help of a command\n";
  return buf + std::string(kFlagsAndExitCodes);
}

std::string CommandHelp(const Command& command) {
  return "Usage: ibisladder " + UsageOf(command) + " [FLAGS]\n\n" +
         std::string(command.help);
}

}  // namespace ibisladder::tool
