#ifndef LIBS_DECLARATIONS_CONSISTENCY_H_
#define LIBS_DECLARATIONS_CONSISTENCY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "libs/declarations/declarations.h"
#include "libs/declarations/json_document.h"

/// Checks across the parts of a document: names, references, ids.
namespace ibisladder::declarations {

/// Refuses a name that stands twice, and a name whose id is that of another.
class IdRegistry {
 public:
  explicit IdRegistry(json::Errors& errors) : errors_(errors) {}

  /// `pointer` is the place of the name.
  void Add(std::uint64_t id, std::string_view name, const std::string& pointer);

 private:
  struct Entry {
    std::string name;
    std::string pointer;
  };

  json::Errors& errors_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

/// Duplicates, collisions of ids, references and values that contradict each
/// other. The single fields must have passed their checks.
void CheckConsistency(const Declarations& declarations, json::Errors& errors);

}  // namespace ibisladder::declarations

#endif  // LIBS_DECLARATIONS_CONSISTENCY_H_
