#ifndef TOOLS_IBISLADDER_HELP_H_
#define TOOLS_IBISLADDER_HELP_H_

#include <string>

#include "tools/ibisladder/commands.h"

namespace ibisladder::tool {

/// Returns the text of `ibisladder help`.
std::string GeneralHelp();
/// Returns the text of `ibisladder help COMMAND`.
std::string CommandHelp(const Command& command);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_HELP_H_
