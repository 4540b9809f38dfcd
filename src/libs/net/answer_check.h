#ifndef LIBS_NET_ANSWER_CHECK_H_
#define LIBS_NET_ANSWER_CHECK_H_

#include <string>

#include "libs/net/http_client.h"

/// Checks of answers that were read with evhttp, which accepts any number as
/// status and any bytes in fields, and ignores transfer codings other than
/// chunks.
namespace ibisladder::net {

/// Whether this is a valid final answer to a request with this method, whose
/// length does not depend on the end of the connection: if only that ends an
/// answer, a complete one cannot be told from a truncated one.
bool IsValidAnswer(const HttpAnswer& answer, const std::string& method);

}  // namespace ibisladder::net

#endif  // LIBS_NET_ANSWER_CHECK_H_
