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
  /// Number of fields of the head. Each takes memory beyond its bytes.
  std::size_t fields = 128;
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
  /// Whether the response may be sent in chunks (HTTP/1.1).
  bool accepts_chunks = true;
  /// The body was not stored; the request must not be executed.
  bool is_body_dropped = false;
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

/// Returns whether the response states the length of its body, other than by
/// chunks.
bool HasLength(const Response& response);

/// Returns the bytes of the head of a response whose body follows in parts: as
/// many bytes as it states, or in chunks.
std::string FormatHead(const Response& response, bool close);

/// Returns a part of a body that is sent in chunks; "" for an empty part.
std::string FormatChunk(std::string_view part);

/// Follows the last chunk.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace ibisladder::http1

#endif  // LIBS_HTTP1_MESSAGE_H_
