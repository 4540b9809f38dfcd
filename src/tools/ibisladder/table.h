#ifndef TOOLS_IBISLADDER_TABLE_H_
#define TOOLS_IBISLADDER_TABLE_H_

#include <string>
#include <vector>

namespace ibisladder::tool {

using TableRow = std::vector<std::string>;

/// Replaces control characters, which a terminal would interpret, with "?".
std::string PrintableText(std::string text);

/// Formats rows as aligned columns, two blanks apart. The first row is the
/// heading. Control characters are replaced, and empty cells print as "-".
std::string FormatTable(const std::vector<TableRow>& rows);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_TABLE_H_
