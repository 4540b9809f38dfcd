#include "tests/auto/sessions/world.h"

namespace ibisladder::sessions {
namespace {

std::string Text(const callerpath::Headers& headers) {
  std::string buf;
  for (const auto& [name, value] : headers) {
    buf += " [" + name + ": " + value + "]";
  }
  return buf;
}

std::string Text(CallId id) { return "call " + std::to_string(id.value()); }

/// Empty for what a transcript leaves out.
struct EventText {
  std::string operator()(const callerpath::CallArrived& it) const {
    return Text(it.call) + ": " + it.request.method + " " + it.request.target +
           " id=" + it.request.request_id +
           (it.relayed_by
                ? " relayed by " + std::to_string(it.relayed_by->value())
                : "");
  }
  std::string operator()(const callerpath::CallAbandoned& it) const {
    return Text(it.call) + ": caller left";
  }
  std::string operator()(const callerpath::ServerAnswered& it) const {
    return "attempt " + std::to_string(it.attempt.value()) + ": answer " +
           std::to_string(it.status) + Text(it.headers) + " " + it.body;
  }
  std::string operator()(const callerpath::AttemptFailed& it) const {
    return "attempt " + std::to_string(it.attempt.value()) + ": failure " +
           std::to_string(static_cast<int>(it.failure));
  }
  std::string operator()(const callerpath::OutcomeRequested& it) const {
    return Text(it.call) + (it.settle ? ": settle " : ": outcome of ") +
           it.request_id;
  }
  std::string operator()(const callerpath::AddressesRequested& it) const {
    return Text(it.call) + ": addresses for " + it.service;
  }
  std::string operator()(const callerpath::RelayAnswered& it) const {
    return Text(it.call) + ": relay answered";
  }
  std::string operator()(const callerpath::StopRequested& /*it*/) const {
    return "stop requested";
  }
  std::string operator()(const callerpath::DrainChanged& it) const {
    return it.drained ? "drain" : "undrain";
  }
  template <typename Other>
  std::string operator()(const Other& /*it*/) const {
    return "";
  }
};

struct ActionText {
  std::string operator()(const callerpath::SendAttempt& it) const {
    return "send attempt " + std::to_string(it.attempt.value()) + " to " +
           FormatEndpoint(it.endpoint) + ": " + it.method + " " + it.target +
           Text(it.headers);
  }
  std::string operator()(const callerpath::CancelAttempt& it) const {
    return "close attempt " + std::to_string(it.attempt.value());
  }
  std::string operator()(const callerpath::AnswerCall& it) const {
    const ResultCode code = it.answer.code;
    return Text(it.call) + ": " + std::string(OutcomeName(OutcomeOf(code))) +
           " " + std::to_string(static_cast<int>(code)) + ", status " +
           std::to_string(it.answer.status) +
           (it.answer.retry_after
                ? ", retry after " +
                      std::to_string(ToMillis(*it.answer.retry_after)) + " ms"
                : "") +
           " " + it.answer.body;
  }
  std::string operator()(const callerpath::RelayCall& it) const {
    return Text(it.call) + ": relay to instance " +
           std::to_string(it.home.value());
  }
  std::string operator()(const callerpath::RelayOutcome& it) const {
    return Text(it.call) + ": ask instance " + std::to_string(it.home.value());
  }
  std::string operator()(const callerpath::WriteLog& it) const {
    return "log " + FormatLogLine(it.line);
  }
  std::string operator()(const callerpath::Drained& /*it*/) const {
    return "drained";
  }
  template <typename Other>
  std::string operator()(const Other& /*it*/) const {
    return "";
  }
};

void Note(World& world, std::uint32_t node, const std::string& arrow,
          const std::string& text) {
  if (world.transcript == nullptr || text.empty()) return;
  const Duration time = world.now - TimePoint(Seconds(100));
  world.transcript->push_back(std::to_string(ToMillis(time)) + " ms instance " +
                              std::to_string(node + 1) + arrow + text);
}

}  // namespace

void NoteEvent(World& world, std::uint32_t node,
               const callerpath::Event& event) {
  Note(world, node, " <- ", std::visit(EventText{}, event));
}

void NoteAction(World& world, std::uint32_t node,
                const callerpath::Action& action) {
  Note(world, node, " -> ", std::visit(ActionText{}, action));
}

}  // namespace ibisladder::sessions
