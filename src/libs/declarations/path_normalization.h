#ifndef LIBS_DECLARATIONS_PATH_NORMALIZATION_H_
#define LIBS_DECLARATIONS_PATH_NORMALIZATION_H_

#include <string>
#include <string_view>

/// Spellings of a path that a backend server may read as another path.
namespace ibisladder::declarations::Internal {

/// Whether the path has no escapes, parameters, backslashes, empty segments or
/// segments that start with a dot, and so only one spelling.
bool IsPlainPath(std::string_view path);

/// The path as a lenient backend server may read it: escapes decoded once,
/// backslashes as slashes, parameters (";...") left out, empty and dot
/// segments resolved.
std::string NormalizePath(std::string_view path);

}  // namespace ibisladder::declarations::Internal

#endif  // LIBS_DECLARATIONS_PATH_NORMALIZATION_H_
