#include "tests/auto/sessions/simulation.h"

namespace ibisladder::sessions {
namespace {

using callerpath::AttemptFailed;
using callerpath::AttemptFailure;
using callerpath::SendAttempt;
using callerpath::ServerAnswered;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

std::string NameOf(ServerMode mode) {
  constexpr const char* kNames[] = {"ok",
                                    "definite shed",
                                    "bare 503",
                                    "connection refused",
                                    "reset before running",
                                    "reset after running",
                                    "stall",
                                    "no answer",
                                    "wrong echo",
                                    "wrong body",
                                    "truncated",
                                    "false not-run",
                                    "drains"};
  return kNames[static_cast<std::size_t>(mode)];
}

std::string RequestIdOf(const SendAttempt& attempt) {
  for (const auto& [name, value] : attempt.headers) {
    if (name == "Idempotency-Key") return value;
  }
  return "";
}

ServerAnswered MakeAnswer(const SendAttempt& attempt, int status,
                          const std::string& echo) {
  const std::string body = ExpectedBody(RequestIdOf(attempt));
  return {attempt.attempt,
          status,
          {{"Ibisladder-Request-Id", echo},
           {"Content-Length", std::to_string(body.size())}},
          body};
}

/// Reports the end of an attempt to the instance unless that has been
/// restarted.
void ReportToInstance(Simulation& sim, std::uint32_t node, Duration wait,
                      const callerpath::Event& event) {
  if (IsLost(sim, kBackendServers, node)) return;
  const std::uint64_t generation = sim.nodes[node].generation;
  Schedule(sim, wait, [&sim, node, event, generation] {
    if (sim.nodes[node].generation != generation) return;
    Feed(sim, node, event);
  });
}

bool RunsRequest(Simulation& sim, ServerMode mode) {
  switch (mode) {
    case ServerMode::kShed:
    case ServerMode::kRefused:
    case ServerMode::kResetBefore:
      return false;
    case ServerMode::kPlain503:
      return UniformBelow(sim.random, 2) == 0;
    default:
      return true;
  }
}

/// Returns the end of the attempt as the instance sees it; none for kNoAnswer.
std::vector<callerpath::Event> AttemptEvents(const SendAttempt& attempt,
                                             ServerMode mode) {
  const std::string id = RequestIdOf(attempt);
  ServerAnswered answer = MakeAnswer(attempt, kOk, id);
  switch (mode) {
    case ServerMode::kShed:
      answer = MakeAnswer(attempt, kUnavailable, id);
      answer.headers.emplace_back("Ibisladder-Not-Run", id);
      return {answer};
    case ServerMode::kPlain503:
      return {MakeAnswer(attempt, kUnavailable, id)};
    case ServerMode::kRefused:
      return {AttemptFailed{attempt.attempt, AttemptFailure::kConnectFailed}};
    case ServerMode::kResetBefore:
    case ServerMode::kResetAfter:
      return {AttemptFailed{attempt.attempt, AttemptFailure::kConnectionLost}};
    case ServerMode::kNoAnswer:
      return {};
    case ServerMode::kWrongEcho:
      answer = MakeAnswer(attempt, kOk, id + "x");
      answer.body[0] = 'R';
      return {answer};
    case ServerMode::kWrongBody:
      answer.body += "?";
      return {answer};
    case ServerMode::kTruncated:
      return {AttemptFailed{attempt.attempt, AttemptFailure::kTruncated}};
    case ServerMode::kInvalidNotRun:
      answer = MakeAnswer(attempt, kUnavailable, id);
      answer.headers.emplace_back("Ibisladder-Not-Run", id + "x");
      return {answer};
    case ServerMode::kDraining:
      answer.headers.emplace_back("Ibisladder-Load",
                                  "in_flight=1, slots=1, state=draining");
      return {answer};
    default:
      return {answer};
  }
}

}  // namespace

std::string ExpectedBody(const std::string& id) { return "result of " + id; }

void Serve(Simulation& sim, std::uint32_t node, const SendAttempt& attempt) {
  if (IsLost(sim, node, kBackendServers)) return;
  const std::size_t server = attempt.endpoint.port % kServers;
  const ServerMode mode = sim.modes[server];
  if (mode != ServerMode::kOk) {
    ++sim.event_counts["server: " + NameOf(mode)];
  }
  if (RunsRequest(sim, mode))
    ++sim.observations.executions[RequestIdOf(attempt)];
  const Duration wait =
      mode == ServerMode::kStall
          ? Seconds(8)
          : Millis(5 + static_cast<int>(UniformBelow(sim.random, 20)));
  for (const auto& it : AttemptEvents(attempt, mode))
    ReportToInstance(sim, node, wait, it);
}

}  // namespace ibisladder::sessions
