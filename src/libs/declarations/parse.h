#ifndef LIBS_DECLARATIONS_PARSE_H_
#define LIBS_DECLARATIONS_PARSE_H_

#include <string>
#include <string_view>
#include <vector>

#include "libs/base/result_code.h"
#include "libs/declarations/declarations.h"

/// Reads and writes declarations as JSON, in a form suited to version control.
namespace ibisladder::declarations {

/// Parses and checks the whole document. Returns all errors at once (up to
/// json::kMaxErrors), each with its JSON pointer and the expected value.
/// Unknown fields are errors.
tl::expected<Declarations, std::vector<Error>> ParseDeclarations(
    std::string_view json);

/// Writes every field in a fixed order: equal declarations give equal text.
std::string FormatDeclarations(const Declarations& declarations);

}  // namespace ibisladder::declarations

#endif  // LIBS_DECLARATIONS_PARSE_H_
