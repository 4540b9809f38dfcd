#ifndef TOOLS_IBISLADDER_REPORT_H_
#define TOOLS_IBISLADDER_REPORT_H_

#include <string>
#include <vector>

#include "libs/declarations/json_document.h"
#include "libs/rpc/procedures.h"
#include "tools/ibisladder/environment.h"
#include "tools/ibisladder/exit_code.h"

/// Reports errors and results of commands, as text or as JSON for scripts.
namespace ibisladder::tool {

/// Prints "ibisladder: PLACE: MESSAGE (code N)" to `env.err`, or with --json an
/// object with "code", "place" and "message" to `env.out`. Returns the exit
/// code of the error.
ExitCode ReportError(const Environment& env, bool as_json, const Error& error);

/// Prints all errors of a file, a line "FILE: POINTER: MESSAGE (code N)" for
/// each, or with --json one object with all of them. Returns kInvalid.
ExitCode ReportFileErrors(const Environment& env, bool as_json,
                          const std::string& file,
                          const std::vector<Error>& errors);

/// Reports a result other than kDone. `file` is the file that the call was made
/// from, if any.
ExitCode ReportResult(const Environment& env, bool as_json,
                      const rpc::Result& result, const std::string& file = "");

/// Returns the error of a call without an answer, or kDone if it was answered.
/// If `is_change`, a lost reply leaves the outcome unknown.
Error DeliveryError(const CallResult& result, bool is_change);

/// Sends a call and decodes its reply. Returns an error if there is no valid
/// reply, or if its result is not kDone. Not for changes with a change id: it
/// does not report unknown outcomes.
template <typename Reply>
Expected<Reply> Query(const Environment& env, const rpc::ProcedureCall& call) {
  const CallResult result = env.channel(call);
  if (result.delivery != Delivery::kAnswered) {
    return tl::unexpected(DeliveryError(result, false));
  }
  Reply reply;
  if (!rpc::DecodeReply(result.body, reply) || !reply.has_result()) {
    return Fail(
        ResultCode::kInternal, result.detail,
        "the answer is not a valid reply to this call; check that the address "
        "is an instance's operator endpoint");
  }
  auto code = static_cast<ResultCode>(reply.result().code());
  if (code == ResultCode::kDone) return reply;
  // A query changes nothing, so its outcome cannot be unknown.
  if (code == ResultCode::kWriteUnknown) code = ResultCode::kUnavailable;
  return Fail(code, result.detail, reply.result().message());
}

void PrintJson(const Environment& env, const json::OrderedJson& document);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_REPORT_H_
