#ifndef TOOLS_IBISLADDER_DIFFERENCE_H_
#define TOOLS_IBISLADDER_DIFFERENCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/declarations/declarations.h"
#include "libs/declarations/json_document.h"

/// Differences between two versions of the declarations. Parts are matched by
/// name, so their order in the document does not matter.
namespace ibisladder::tool {

enum class DifferenceKind : std::uint8_t { kAdded, kRemoved, kChanged };

struct Difference {
  DifferenceKind kind;
  /// Kind and name of the part, such as "backend server billing/b1".
  std::string item;
  /// For kChanged only: the field and its values.
  std::string field;
  json::OrderedJson before;
  json::OrderedJson after;
};

std::vector<Difference> Compare(const declarations::Declarations& before,
                                const declarations::Declarations& after);

/// Returns one line for each difference: "+ item", "- item" or
/// "~ item: field before -> after".
std::string FormatDifferences(const std::vector<Difference>& differences);
json::OrderedJson DifferencesToJson(const std::vector<Difference>& differences);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_DIFFERENCE_H_
