#ifndef TOOLS_IBISLADDER_HTTP_SENDER_H_
#define TOOLS_IBISLADDER_HTTP_SENDER_H_

#include <string>

#include "tools/ibisladder/channel.h"

namespace ibisladder::tool {

/// Returns a Sender that posts each call over HTTP, authorised by `token`, and
/// blocks until it is answered or fails.
Sender MakeHttpSender(const std::string& token);

/// Gets a path over HTTP. Blocks until it is answered or fails.
Expected<InstanceAnswer> FetchOverHttp(const Endpoint& endpoint,
                                       const std::string& target);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_HTTP_SENDER_H_
