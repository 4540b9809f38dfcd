#ifndef TOOLS_IBISLADDER_DECLARATION_COMMANDS_H_
#define TOOLS_IBISLADDER_DECLARATION_COMMANDS_H_

#include <string>

#include "libs/declarations/declarations.h"
#include "tools/ibisladder/environment.h"
#include "tools/ibisladder/exit_code.h"

namespace ibisladder::tool {

/// A valid declarations file.
struct DeclarationsFile {
  std::string text;
  declarations::Declarations declarations;
};

/// Reads and validates a file. Reports its errors and returns their exit code.
tl::expected<DeclarationsFile, ExitCode> ReadDeclarationsFile(
    const Environment& env, bool as_json, const std::string& file);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_DECLARATION_COMMANDS_H_
