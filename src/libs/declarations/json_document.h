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

/// Parses JSON text with the checks that the JSON library lacks: size, depth
/// and duplicate keys.
namespace ibisladder::json {

using Json = nlohmann::json;
/// Keeps the order of insertion, for output.
using OrderedJson = nlohmann::ordered_json;
using Errors = std::vector<Error>;

/// Maximum nesting of objects and arrays.
constexpr int kMaxDepth = 16;
/// Maximum number of values kept in a document.
constexpr std::size_t kMaxValues = 100'000;
/// Maximum number of errors reported for one document.
constexpr std::size_t kMaxErrors = 1000;

/// Appends an error unless there are kMaxErrors already. The last one says that
/// further errors are left out.
void AddError(Errors& errors, ResultCode code, const std::string& pointer,
              std::string message);

/// Returns `pointer` extended by one key, escaped according to RFC 6901.
std::string PointerTo(const std::string& pointer, std::string_view key);
std::string PointerTo(const std::string& pointer, std::size_t index);

/// Returns the value for use in a message: its JSON text, truncated if long, or
/// "an object" or "an array".
std::string DescribeValue(const Json& value);

/// One step of a path from a value to a value inside it.
struct Step {
  bool is_array = false;
  /// Key, if the outer value is an object.
  std::string key;
  /// Index, if the outer value is an array.
  std::size_t index = 0;
};

/// An array element that has just been parsed.
struct Element {
  const std::vector<Step>& steps;
  const Json& value;

  /// IsIn({"services", "servers"}): whether the element is in the array
  /// `servers` of an element of the top-level array `services`.
  bool IsIn(std::initializer_list<std::string_view> arrays) const;
  std::string Pointer() const;
};

/// Consumes an array element during parsing, so that long arrays need not be
/// kept as JSON. Returns false to keep the element in the document.
using ElementReader = std::function<bool(const Element&)>;

/// Parses `text`. Adds to `errors`, to which `reader` may add its own:
/// kTooLarge (bytes, or values that `reader` does not consume), kNotJson (with
/// line and column), kOutOfRange (nesting), and kDuplicateName for each
/// repeated key of an object. After any of these but kDuplicateName, the
/// document is null.
Json ParseDocument(std::string_view text, std::size_t max_bytes, Errors& errors,
                   const ElementReader& reader = nullptr);

}  // namespace ibisladder::json

#endif  // LIBS_DECLARATIONS_JSON_DOCUMENT_H_
