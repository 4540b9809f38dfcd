#include "tools/ibisladder/change.h"

#include "libs/rpc/replies.h"
#include "tools/ibisladder/report.h"

namespace ibisladder::tool {
namespace {

constexpr int kMaxAttempts = 5;
constexpr Duration kRetryDelay = Millis(500);

ResultCode CodeOf(const ChangeResult& change) {
  return static_cast<ResultCode>(change.result.code());
}

/// Reads an ApplyReply or a DrainServerReply, which have the same fields.
ChangeResult ReadReply(const CallResult& result) {
  if (const Error error = DeliveryError(result, true);
      error.code != ResultCode::kDone) {
    return {rpc::MakeResult(error), 0};
  }
  rpc::ApplyReply reply;
  if (!rpc::DecodeReply(result.body, reply) || !reply.has_result()) {
    return {rpc::MakeResult(ResultCode::kWriteUnknown,
                            "the answer from " + result.detail +
                                " is not a valid reply to this call, so "
                                "the change may have been made"),
            0};
  }
  return {reply.result(), reply.version()};
}

/// Whether a call was refused as invalid or unauthorised. Nothing was changed
/// then, and a repeat would be refused as well.
bool IsRefusal(ResultCode code) {
  return code == ResultCode::kInvalidArgument ||
         code == ResultCode::kUnauthorised;
}

}  // namespace

ChangeResult SendChange(const Environment& env,
                        const rpc::ProcedureCall& call) {
  bool may_have_executed = false;
  ChangeResult change;
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (i > 0) env.sleep(kRetryDelay);
    const CallResult result = env.channel(call);
    change = ReadReply(result);
    may_have_executed = may_have_executed || result.may_have_executed ||
                        CodeOf(change) == ResultCode::kWriteUnknown;
    if (CodeOf(change) == ResultCode::kDone) return change;
    if (!may_have_executed || IsRefusal(CodeOf(change))) break;
    if (CodeOf(change) == ResultCode::kConflict) break;
  }
  if (may_have_executed && CodeOf(change) != ResultCode::kWriteUnknown) {
    const std::string last = change.result.message();
    change.result = rpc::MakeResult(
        ResultCode::kWriteUnknown,
        "the change may have been made, as the outcome of an attempt is "
        "unknown; the last result was: " +
            last);
  }
  return change;
}

}  // namespace ibisladder::tool
