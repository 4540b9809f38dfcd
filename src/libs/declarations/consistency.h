#ifndef LIBS_DECLARATIONS_CONSISTENCY_H_
#define LIBS_DECLARATIONS_CONSISTENCY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "libs/declarations/declarations.h"
#include "libs/declarations/json_document.h"

/// Checks that concern several parts of a document: names, references, ids.
namespace ibisladder::declarations {

/// Reports duplicate names, and different names with the same id.
class IdRegistry {
 public:
  explicit IdRegistry(json::Errors& errors) : errors_(errors) {}

  /// `pointer` is the JSON pointer of the name.
  void Add(std::uint64_t id, std::string_view name, const std::string& pointer);

 private:
  struct Entry {
    std::string name;
    std::string pointer;
  };

  json::Errors& errors_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

/// Reports duplicates, id collisions, unknown references and contradictory
/// values. Fields that failed their own checks hold their defaults, and an
/// invalid method its JSON pointer; empty names and endpoints are skipped.
void CheckConsistency(const Declarations& declarations, json::Errors& errors);

}  // namespace ibisladder::declarations

#endif  // LIBS_DECLARATIONS_CONSISTENCY_H_
