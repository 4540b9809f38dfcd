#ifndef LIBS_DECLARATIONS_PATH_NORMALIZATION_H_
#define LIBS_DECLARATIONS_PATH_NORMALIZATION_H_

#include <string>
#include <string_view>

/// Spellings of a path that a backend server may take for another path.
namespace ibisladder::declarations::Internal {

/// No escapes, empty segments, dot segments, parameters or backslashes, so
/// that the path has only this spelling.
bool IsPlainPath(std::string_view path);

/// The path as a lenient backend server may read it: escapes decoded once,
/// backslashes as slashes, parameters (";...") left out, empty and dot
/// segments resolved.
std::string NormalizePath(std::string_view path);

}  // namespace ibisladder::declarations::Internal

#endif  // LIBS_DECLARATIONS_PATH_NORMALIZATION_H_
