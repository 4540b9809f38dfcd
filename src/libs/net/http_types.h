#ifndef LIBS_NET_HTTP_TYPES_H_
#define LIBS_NET_HTTP_TYPES_H_

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Types and header functions shared by the HTTP server and client.
namespace ibisladder::net {

/// Header fields in order. Names are case-insensitive.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field of that name, or null.
const std::string* FindHeader(const Headers& headers, std::string_view name);

/// Compares without regard to ASCII case, as for field names.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Whether a field is hop-by-hop (RFC 9110, 7.6.1) or is written by the
/// transport, so that it must not be forwarded.
bool IsHopByHop(std::string_view name);

/// Returns the decoded value of a parameter in the target's query, or an empty
/// string.
std::string QueryValue(const std::string& target, const char* name);

/// Returns the decoded parameters of the target's query in order, or nullopt if
/// one of them has no "=" or no name.
std::optional<Headers> QueryParameters(const std::string& target);

/// Whether an answer may have this status (RFC 9110, 15). Nothing here asks for
/// another protocol, so that 101 is none.
bool IsStatus(int status);

/// Whether another answer follows one with this status, which has no body.
bool IsInterimStatus(int status);

/// Whether a field name may have this byte (RFC 9110, 5.6.2).
bool IsTokenByte(char byte);

/// Whether a field value may have this byte (RFC 9110, 5.5).
bool IsFieldValueByte(char byte);

/// Whether the body is sent as it is or in chunks, not in another coding.
bool HasKnownTransferCoding(const Headers& headers);

namespace Internal {

Headers CopyHeaders(const evkeyvalq* fields);
std::string CopyBody(evbuffer* body);

}  // namespace Internal
}  // namespace ibisladder::net

#endif  // LIBS_NET_HTTP_TYPES_H_
