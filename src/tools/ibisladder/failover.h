#ifndef TOOLS_IBISLADDER_FAILOVER_H_
#define TOOLS_IBISLADDER_FAILOVER_H_

#include <vector>

#include "tools/ibisladder/channel.h"

namespace ibisladder::tool {

/// Returns the result code of a reply to any procedure, or kInternal if `body`
/// is not a reply.
ResultCode CodeOfReply(const std::string& body);

/// Tries the endpoints in order until one gives a conclusive answer. Goes on to
/// the next if an instance cannot be reached, its reply is lost, or it reports
/// a temporary failure or an unknown outcome. Repeating a call is harmless:
/// every call is a query, carries a change id, or sets a state that a repeat
/// leaves as it is.
CallResult SendInOrder(const std::vector<Endpoint>& endpoints,
                       const Sender& send, const rpc::ProcedureCall& call);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_FAILOVER_H_
