#include "tools/ibisladder/help.h"

namespace ibisladder::tool {
namespace {

constexpr std::size_t kSummaryColumn = 34;

constexpr std::string_view kUsageHeader =
    R"(ibisladder: the operators' tool of an ibisladder fleet

Usage: ibisladder COMMAND [OPERAND] [FLAGS]

Commands:
)";

constexpr std::string_view kFlagsAndExitCodes = R"(
Flags:
  --endpoint=ADDRESS:PORT,...  operator endpoints of instances, tried in order
  --token-file=FILE            file with the operators' token; without it the
                               token is taken from IBISLADDER_TOKEN
  --json                       JSON on the standard output, for scripts
  --service=NAME               status: this service's backend servers only
  --based-on=VERSION           apply: the version that FILE was made from
  --change-id=ID               apply, drain, undrain: id of the change; with
                               the id of an earlier try, the change is made
                               once at the most

A first session:
  export IBISLADDER_TOKEN=...
  ibisladder validate declarations.json
  ibisladder diff declarations.json --endpoint 10.0.0.7:7003,10.0.1.7:7003
  ibisladder apply declarations.json --endpoint 10.0.0.7:7003,10.0.1.7:7003
  ibisladder status --endpoint 10.0.0.7:7003 --service billing

Exit codes:
  0 done                          6 no such item
  1 internal error                7 unauthorised
  2 wrong usage                   8 outcome of a change not known
  3 invalid declarations          9 a file cannot be read
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
  buf += line + "this text, or that of a command\n";
  return buf + std::string(kFlagsAndExitCodes);
}

std::string CommandHelp(const Command& command) {
  return "Usage: ibisladder " + UsageOf(command) + " [FLAGS]\n\n" +
         std::string(command.help);
}

}  // namespace ibisladder::tool
