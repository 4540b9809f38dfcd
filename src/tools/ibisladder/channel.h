#ifndef TOOLS_IBISLADDER_CHANNEL_H_
#define TOOLS_IBISLADDER_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <string>

#include "libs/rpc/procedures.h"

/// How the tool's commands reach the instances.
namespace ibisladder::tool {

enum class Delivery : std::uint8_t {
  kAnswered,
  /// No byte of the call left.
  kNotSent,
  /// The call may have been carried out.
  kReplyLost,
};

struct CallResult {
  Delivery delivery = Delivery::kNotSent;
  /// Binary reply message, when answered.
  std::string body;
  /// Who answered, or why nobody did.
  std::string detail;
  /// Another instance may have carried the call out before this result.
  bool may_have_executed = false;
};

/// Sends a call to one instance.
using Sender =
    std::function<CallResult(const Endpoint&, const rpc::ProcedureCall&)>;
/// Sends a call to the instances of the options.
using Channel = std::function<CallResult(const rpc::ProcedureCall&)>;

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_CHANNEL_H_
