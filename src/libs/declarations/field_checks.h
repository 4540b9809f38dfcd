#ifndef LIBS_DECLARATIONS_FIELD_CHECKS_H_
#define LIBS_DECLARATIONS_FIELD_CHECKS_H_

#include <optional>
#include <string>
#include <string_view>

#include "libs/base/strong_types.h"

/// Format checks for single values, shared by settings, declarations and the
/// command-line tool.
namespace ibisladder::json {

/// 1 to 64 of a-z, 0-9 and "-".
bool IsName(std::string_view text);
constexpr std::string_view kNameRule = "1 to 64 of a-z, 0-9 and \"-\"";

/// Parses "address:port" with an IPv4 address, or an IPv6 address in brackets,
/// and returns the address in canonical form. Rejects host names, port 0 and
/// unspecified addresses.
std::optional<Endpoint> ParseEndpoint(std::string_view text);
constexpr std::string_view kEndpointRule =
    "an IP number with a port, such as \"10.0.0.7:8080\" or \"[fd00::7]:8080\"";

/// Whether `text` is a valid path prefix of a route. Besides the rule below, it
/// may only have visible ASCII characters without '?', '#', '"' and '\\'.
bool IsPathPrefix(std::string_view text);
constexpr std::string_view kPathPrefixRule =
    "\"/\", or segments such as \"/clips/new\" with no \"/\" at the end, no "
    "empty or dot segment, no query and at most 256 bytes; not /ibisladder";

/// Whether `text` is empty or a path without query: at most 256 bytes of
/// visible ASCII characters without '?', '#', '"' and '\\'.
bool IsPath(std::string_view text);
constexpr std::string_view kPathRule =
    "empty, or a path such as \"/health\" without a query";

/// Whether a route may list the method `text`.
bool IsMethod(std::string_view text);
constexpr std::string_view kMethodRule =
    "one of DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT";

/// Whether `text` is a valid operator token.
bool IsToken(std::string_view text);
constexpr std::string_view kTokenRule =
    "16 to 256 printable ASCII characters without blanks";

}  // namespace ibisladder::json

#endif  // LIBS_DECLARATIONS_FIELD_CHECKS_H_
