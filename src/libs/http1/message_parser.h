#ifndef LIBS_HTTP1_MESSAGE_PARSER_H_
#define LIBS_HTTP1_MESSAGE_PARSER_H_

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "libs/http1/message.h"

/// Strict incremental parsers over http-parser. No sockets: bytes go in, whole
/// messages come out.
namespace ibisladder::http1 {

namespace Internal {
struct ParserState;
struct ParserStateDeleter {
  void operator()(ParserState* it) const;
};
using ParserStatePtr = std::unique_ptr<ParserState, ParserStateDeleter>;
}  // namespace Internal

/// Requests of one connection, in order.
class RequestParser {
 public:
  static RequestParser Create(const Limits& limits);

  /// Appends the requests that `bytes` complete to `out`. After a failure the
  /// connection has no further valid request; those in `out` are good.
  std::optional<ParseFailure> Feed(std::string_view bytes,
                                   std::vector<Request>& out);

  /// Whether a request has begun and is not whole.
  bool in_message() const;
  /// Whether the request that has begun waits for "100 Continue". True once.
  bool TakeExpectsContinue();

 private:
  explicit RequestParser(Internal::ParserStatePtr state);

  Internal::ParserStatePtr state_;
};

/// Responses of one connection, in order; interim ones (1xx) are dropped.
class ResponseParser {
 public:
  static ResponseParser Create(const Limits& limits);

  /// The next response answers a HEAD request and has no body.
  void ExpectHead(bool is_head);
  std::optional<ParseFailure> Feed(std::string_view bytes,
                                   std::vector<Response>& out);
  /// The peer closed the connection in order: completes a response whose body
  /// ends with the connection.
  std::optional<ParseFailure> FeedEnd(std::vector<Response>& out);

  /// Whether a response has begun and is not whole.
  bool in_message() const;

 private:
  explicit ResponseParser(Internal::ParserStatePtr state);

  Internal::ParserStatePtr state_;
};

}  // namespace ibisladder::http1

#endif  // LIBS_HTTP1_MESSAGE_PARSER_H_
