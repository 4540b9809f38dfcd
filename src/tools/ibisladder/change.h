#ifndef TOOLS_IBISLADDER_CHANGE_H_
#define TOOLS_IBISLADDER_CHANGE_H_

#include <cstdint>

#include "tools/ibisladder/environment.h"

namespace ibisladder::tool {

/// Result of a change to the declarations.
struct ChangeResult {
  /// kWriteUnknown if the change may have been accepted without a reply that
  /// confirms it.
  rpc::Result result;
  /// Version that contains the change, if it was accepted.
  std::uint64_t version = 0;
};

/// Sends a change (Apply or DrainServer, with its change id). Sends the same
/// call again, a limited number of times, if the reply was lost or the outcome
/// is unknown. After that only kDone is conclusive: a later conflict or outage
/// says nothing about the attempt whose outcome is unknown.
ChangeResult SendChange(const Environment& env, const rpc::ProcedureCall& call);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_CHANGE_H_
