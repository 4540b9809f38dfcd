#include "tests/auto/sessions/simulation.h"

namespace ibisladder::sessions {
namespace {

constexpr int kOk = 200;

std::string CheckOutcome(const CallerResult& result, int executions) {
  const std::string code = std::to_string(static_cast<int>(result.answer.code));
  switch (OutcomeOf(result.answer.code)) {
    case Outcome::kNotRun:
      return executions == 0 ? "" : "told not run (" + code + "), but it ran: ";
    case Outcome::kDone:
      return executions == 1 ? "" : "told done, but it did not run once: ";
    case Outcome::kUnknown:
      break;
  }
  return "";
}

std::string CheckAnswerBody(const CallerResult& result) {
  if (result.answer.code != ResultCode::kDone) return "";
  if (result.answer.status != kOk) return "";
  return result.answer.body == ExpectedBody(result.id)
             ? ""
             : "answer of another request: ";
}

}  // namespace

std::string FindViolation(const Observations& observations) {
  for (const auto& [id, n] : observations.executions) {
    if (n > 1 && id.starts_with("t1.")) return "ran more than once: " + id;
  }
  for (const auto& it : observations.results) {
    const auto found = observations.executions.find(it.id);
    const int n = found == observations.executions.end() ? 0 : found->second;
    if (it.is_at_most_once) {
      if (const auto fault = CheckOutcome(it, n); !fault.empty()) {
        return fault + it.id;
      }
    }
    if (const auto fault = CheckAnswerBody(it); !fault.empty()) {
      return fault + it.id;
    }
  }
  return "";
}

}  // namespace ibisladder::sessions
