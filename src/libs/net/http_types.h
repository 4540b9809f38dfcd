#ifndef LIBS_NET_HTTP_TYPES_H_
#define LIBS_NET_HTTP_TYPES_H_

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Shapes that the HTTP server and client share.
namespace ibisladder::net {

/// Header fields in order; names compare without case.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Value of the first field of that name; null when there is none.
const std::string* FindHeader(const Headers& headers, std::string_view name);

/// Whether two field names are the same.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Whether a field belongs to one connection only (RFC 9110, 7.6.1), or is
/// written by the transport itself.
bool IsHopByHop(std::string_view name);

/// Value of a parameter in a target's query, decoded; empty when it is missing.
std::string QueryValue(const std::string& target, const char* name);

namespace Internal {

Headers CopyHeaders(const evkeyvalq* fields);
std::string CopyBody(evbuffer* body);

}  // namespace Internal
}  // namespace ibisladder::net

#endif  // LIBS_NET_HTTP_TYPES_H_
