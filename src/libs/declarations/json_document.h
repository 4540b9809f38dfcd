#ifndef LIBS_DECLARATIONS_JSON_DOCUMENT_H_
#define LIBS_DECLARATIONS_JSON_DOCUMENT_H_

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/result_code.h"

/// JSON text as a document, with the checks that the JSON library leaves out:
/// size, depth and duplicate keys.
namespace ibisladder::json {

using Json = nlohmann::json;
/// Keeps the order of insertion, for output.
using OrderedJson = nlohmann::ordered_json;
using Errors = std::vector<Error>;

/// Objects and arrays inside each other at the most.
constexpr int kMaxDepth = 16;
/// Values that a document keeps at the most.
constexpr std::size_t kMaxValues = 100'000;
/// Errors reported for one document at the most.
constexpr std::size_t kMaxErrors = 1000;

/// Appends an error, up to kMaxErrors.
void AddError(Errors& errors, ResultCode code, const std::string& pointer,
              std::string message);

/// `pointer` extended by one key, escaped as RFC 6901 asks.
std::string PointerTo(const std::string& pointer, std::string_view key);
std::string PointerTo(const std::string& pointer, std::size_t index);

/// The value as it is shown in a message: its text, cut when it is long.
std::string DescribeValue(const Json& value);

/// One step from a value to a value inside it.
struct Step {
  bool is_array = false;
  /// Key of an object.
  std::string key;
  /// Index of an array.
  std::size_t index = 0;
};

/// An element of an array, as soon as it has been read.
struct Element {
  const std::vector<Step>& steps;
  const Json& value;

  /// Whether the element stands in the array of that name; each further name
  /// is that of an array inside the elements of the one before.
  bool IsIn(std::initializer_list<std::string_view> arrays) const;
  std::string Pointer() const;
};

/// Takes an element out of the document, so that long arrays need not be kept
/// as JSON; false: the element stays.
using ElementReader = std::function<bool(const Element&)>;

/// kTooLarge (bytes, or values that no reader takes), kNotJson (with line and
/// column), kOutOfRange for depth, or kDuplicateName for each key that an
/// object holds twice. Errors are added to `errors`, to which `reader` may add
/// its own; the document is null after a fatal one.
Json ParseDocument(std::string_view text, std::size_t max_bytes, Errors& errors,
                   const ElementReader& reader = nullptr);

}  // namespace ibisladder::json

#endif  // LIBS_DECLARATIONS_JSON_DOCUMENT_H_
