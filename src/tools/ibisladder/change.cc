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

/// ApplyReply and DrainServerReply have the same fields.
ChangeResult ReadReply(const CallResult& result) {
  if (const Error error = DeliveryError(result, true);
      error.code != ResultCode::kDone) {
    return {rpc::MakeResult(error), 0};
  }
  rpc::ApplyReply reply;
  if (!rpc::DecodeReply(result.body, reply) || !reply.has_result()) {
    return {rpc::MakeResult(ResultCode::kWriteUnknown,
                            "the answer of " + result.detail +
                                " is not a reply of this procedure"),
            0};
  }
  return {reply.result(), reply.version()};
}

/// Invalid and unauthorised calls are refused before anything is changed, and
/// a repeat is refused again.
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
    change.result =
        rpc::MakeResult(ResultCode::kWriteUnknown,
                        "a reply was lost, and a later try got: " + last);
  }
  return change;
}

}  // namespace ibisladder::tool
