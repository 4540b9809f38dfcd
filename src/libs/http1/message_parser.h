#ifndef LIBS_HTTP1_MESSAGE_PARSER_H_
#define LIBS_HTTP1_MESSAGE_PARSER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "libs/http1/message.h"

/// Strict incremental parsers based on http-parser. They use no sockets: they
/// take bytes and return complete messages.
namespace ibisladder::http1 {

namespace Internal {
struct ParserState;
struct ParserStateDeleter {
  void operator()(ParserState* it) const;
};
using ParserStatePtr = std::unique_ptr<ParserState, ParserStateDeleter>;
}  // namespace Internal

/// Returns whether the body of a request is stored, called when the head of a
/// request with a body is complete.
using BodyFilter = std::function<bool(const Request& head)>;

struct FeedResult {
  /// Bytes that were parsed; the others must be fed again.
  std::size_t consumed = 0;
  std::optional<ParseFailure> failure;
};

/// Parses the requests of one connection, in order. Ignores requests after one
/// that closes the connection.
class RequestParser {
 public:
  /// Without a filter, all bodies are stored. A request whose body is not
  /// stored is returned when its head is complete, and its body is dropped.
  static RequestParser Create(const Limits& limits, BodyFilter filter = {});

  /// Appends the requests that `bytes` complete to `out`. After a failure no
  /// further request is parsed; requests already in `out` are valid.
  std::optional<ParseFailure> Feed(std::string_view bytes,
                                   std::vector<Request>& out);
  /// Like Feed, but stops after `max_requests` requests.
  FeedResult FeedUpTo(std::size_t max_requests, std::string_view bytes,
                      std::vector<Request>& out);

  /// Returns whether a request has started and is incomplete.
  bool in_message() const;
  /// Returns whether the body of a request that was returned already is being
  /// received and dropped.
  bool is_dropping() const;
  /// Returns whether the head of the incomplete request is complete.
  bool in_body() const;
  /// Returns the memory that the incomplete request takes, bytes.
  std::size_t held_bytes() const;
  /// Returns whether the incomplete request expects "100 Continue"; true only
  /// once per request.
  bool TakeExpectsContinue();

 private:
  explicit RequestParser(Internal::ParserStatePtr state);

  Internal::ParserStatePtr state_;
};

/// Parses the responses of one connection, in order. Drops interim responses
/// (1xx).
class ResponseParser {
 public:
  static ResponseParser Create(const Limits& limits);

  /// Sets whether the following responses answer HEAD requests, and so have no
  /// body.
  void ExpectHead(bool is_head);
  /// Appends the responses that `bytes` complete to `out`.
  std::optional<ParseFailure> Feed(std::string_view bytes,
                                   std::vector<Response>& out);
  /// Call when the peer closed the connection regularly. Completes a response
  /// whose body ends with the connection.
  std::optional<ParseFailure> FeedEnd(std::vector<Response>& out);

  /// Returns whether a response has started and is incomplete.
  bool in_message() const;
  /// Number of bytes that were received of the incomplete response's body and
  /// not taken.
  std::size_t body_bytes() const;
  /// Returns the incomplete response without its body. Call only if there are
  /// bytes of its body.
  Response PartialHead() const;
  /// Takes the received part of the incomplete response's body. It counts
  /// towards no limit any more, and is missing in the complete response.
  std::string TakeBody();

 private:
  explicit ResponseParser(Internal::ParserStatePtr state);

  Internal::ParserStatePtr state_;
};

}  // namespace ibisladder::http1

#endif  // LIBS_HTTP1_MESSAGE_PARSER_H_
