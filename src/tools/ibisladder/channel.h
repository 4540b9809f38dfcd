#ifndef TOOLS_IBISLADDER_CHANNEL_H_
#define TOOLS_IBISLADDER_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <string>

#include "libs/rpc/procedures.h"

/// Transport between the tool's commands and the instances.
namespace ibisladder::tool {

enum class Delivery : std::uint8_t {
  kAnswered,
  /// No part of the call was sent.
  kNotSent,
  /// The call may have been executed, but no reply arrived.
  kReplyLost,
};

struct CallResult {
  Delivery delivery = Delivery::kNotSent;
  /// Binary reply message, if answered.
  std::string body;
  /// Endpoint that answered, or the reason why none did.
  std::string detail;
  /// An instance may have executed the call although `body` does not show it:
  /// its reply was lost or reported an unknown outcome.
  bool may_have_executed = false;
};

/// Sends a call to one instance.
using Sender =
    std::function<CallResult(const Endpoint&, const rpc::ProcedureCall&)>;
/// Sends a call to the instances that --endpoint names.
using Channel = std::function<CallResult(const rpc::ProcedureCall&)>;

/// An answer to a question at an instance's metrics address.
struct InstanceAnswer {
  int status = 0;
  std::string body;
};
/// Gets a path from one instance's metrics address.
using Fetcher = std::function<Expected<InstanceAnswer>(const Endpoint&,
                                                       const std::string&)>;

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_CHANNEL_H_
