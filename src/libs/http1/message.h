#ifndef LIBS_HTTP1_MESSAGE_H_
#define LIBS_HTTP1_MESSAGE_H_

#include <cstddef>
#include <string>

#include "libs/net/http_types.h"

/// HTTP/1.1 messages on the data path (RFC 9112).
namespace ibisladder::http1 {

using net::FindHeader;
using net::Headers;

/// Size limits of received messages.
struct Limits {
  /// Request line or status line with all fields, bytes.
  std::size_t header_bytes = 32U << 10U;
  /// Body after decoding, bytes.
  std::size_t body_bytes = 16U << 20U;
};

/// A complete request.
struct Request {
  std::string method;
  /// Path with query, as received.
  std::string target;
  Headers headers;
  std::string body;
  /// Whether the connection may be reused after the response.
  bool keep_alive = true;
};

/// A complete response.
struct Response {
  int status = 0;
  Headers headers;
  std::string body;
  /// Whether the connection may be reused for another request.
  bool keep_alive = true;
};

/// Why received bytes were rejected.
enum class ParseFailure {
  kMalformed,
  kHeadersTooLarge,
  kBodyTooLarge,
};

/// Returns "malformed", "headers_too_large" or "body_too_large", for logs.
const char* FailureName(ParseFailure failure);

/// Returns the bytes of a request, without the hop-by-hop fields and Expect of
/// `headers`. Requests that have a body, and POST, PUT and PATCH, get a
/// Content-Length.
std::string FormatRequest(const Request& request, bool close);

/// Returns the bytes of a response, with a Content-Length unless the status is
/// 204 or 304. `to_head`: the response answers a HEAD request, so the body is
/// left out and a Content-Length in the headers is kept.
std::string FormatResponse(const Response& response, bool close, bool to_head);

}  // namespace ibisladder::http1

#endif  // LIBS_HTTP1_MESSAGE_H_
