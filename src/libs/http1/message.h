#ifndef LIBS_HTTP1_MESSAGE_H_
#define LIBS_HTTP1_MESSAGE_H_

#include <cstddef>
#include <string>

#include "libs/net/http_types.h"

/// HTTP/1.1 messages on the data path (RFC 9112).
namespace ibisladder::http1 {

using net::FindHeader;
using net::Headers;

/// What a peer may send.
struct Limits {
  /// Request line or status line with all fields, bytes.
  std::size_t header_bytes = 32U << 10U;
  /// Body after decoding, bytes.
  std::size_t body_bytes = 16U << 20U;
};

/// A whole request.
struct Request {
  std::string method;
  /// Path with query, as received.
  std::string target;
  Headers headers;
  std::string body;
  /// Whether the connection may be used after the answer.
  bool keep_alive = true;
};

/// A whole response.
struct Response {
  int status = 0;
  Headers headers;
  std::string body;
  /// Whether the connection may be used for another request.
  bool keep_alive = true;
};

/// Why bytes are no acceptable message.
enum class ParseFailure {
  kMalformed,
  kHeadersTooLarge,
  kBodyTooLarge,
};

/// "malformed", "headers_too_large" or "body_too_large", for logs.
const char* FailureName(ParseFailure failure);

/// The bytes of a request with a Content-Length; hop-by-hop fields of `headers`
/// are left out.
std::string FormatRequest(const Request& request, bool close);

/// The bytes of a response with a Content-Length. `to_head`: answers a HEAD
/// request, so that the body is left out and its length kept as given.
std::string FormatResponse(const Response& response, bool close, bool to_head);

}  // namespace ibisladder::http1

#endif  // LIBS_HTTP1_MESSAGE_H_
