#include "tools/ibisladder/failover.h"

namespace ibisladder::tool {
namespace {

/// Whether another instance may succeed where this one failed.
bool IsTransient(ResultCode code) {
  return code == ResultCode::kUnavailable || code == ResultCode::kNotReady ||
         code == ResultCode::kStopping || code == ResultCode::kWriteUnknown;
}

bool MayHaveExecuted(const CallResult& result) {
  return result.delivery == Delivery::kReplyLost ||
         (result.delivery == Delivery::kAnswered &&
          CodeOfReply(result.body) == ResultCode::kWriteUnknown);
}

}  // namespace

ResultCode CodeOfReply(const std::string& body) {
  rpc::ValidateReply reply;
  if (!rpc::DecodeReply(body, reply) || !reply.has_result()) {
    return ResultCode::kInternal;
  }
  return static_cast<ResultCode>(reply.result().code());
}

CallResult SendInOrder(const std::vector<Endpoint>& endpoints,
                       const Sender& send, const rpc::ProcedureCall& call) {
  CallResult best;
  bool may_have_executed = false;
  std::string details;
  for (const auto& it : endpoints) {
    CallResult result = send(it, call);
    const bool answered = result.delivery == Delivery::kAnswered;
    result.may_have_executed = may_have_executed;
    if (answered && !IsTransient(CodeOfReply(result.body))) return result;
    may_have_executed = may_have_executed || MayHaveExecuted(result);
    if (!answered) {
      details += (details.empty() ? "" : "; ") + result.detail;
    }
    // An instance's answer says more than a failed connection.
    if (answered || best.delivery != Delivery::kAnswered) {
      best = std::move(result);
    }
  }
  best.may_have_executed = may_have_executed;
  if (best.delivery != Delivery::kAnswered) {
    best.delivery =
        may_have_executed ? Delivery::kReplyLost : Delivery::kNotSent;
    best.detail = details;
  }
  return best;
}

}  // namespace ibisladder::tool
