#include "tests/process/scripted_fleet.h"

#include <stdexcept>

#include "platform/wire_names.h"

namespace ibisladder::process {
namespace {

constexpr int kServers = 12;
constexpr int kStatusOk = 200;
constexpr Duration kCallTimeout = Seconds(8);

std::string NameOf(int server) { return "scripted-" + std::to_string(server); }

}  // namespace

std::string Describe(const CallResult& result) {
  return "status " + std::to_string(result.answer.status) + ", " +
         std::to_string(result.answer.body.size()) + " bytes, " +
         (result.answer.is_whole ? "whole" : "not whole") + ", " +
         std::to_string(result.attempts) + " attempts, " +
         std::to_string(ToMillis(result.took)) + " ms\n" + result.answer.head;
}

ScriptedFleet::ScriptedFleet() : fleet_({1, 0, 1, {}, {}}) {
  for (int i = 0; i < kServers; ++i) {
    const Endpoint endpoint = fleet_.UnusedEndpoint(i);
    servers_.push_back(
        std::make_unique<ScriptedServer>(fleet_.loop(), endpoint, NameOf(i)));
    fleet_.ListServer(NameOf(i), endpoint);
  }
  AwaitServers();
}

CallResult ScriptedFleet::Call(const std::string& method,
                               const std::string& prefix,
                               std::size_t body_bytes,
                               const ScriptedAnswer& answer) {
  for (const auto& it : servers_) it->SetAnswer(answer);
  const int before = answered();
  const TimePoint from = net::MonotonicNow();
  const RawCaller caller(fleet_.loop(), fleet_.CallerEndpoint(1),
                         Request(method, prefix, body_bytes));
  const net::Timer poll(fleet_.loop(), net::Timer::Kind::kPeriodic, Millis(1),
                        [&] {
                          if (caller.has_ended()) fleet_.loop().Stop();
                        });
  RunLoop(kCallTimeout);
  return {ReadAnswer(caller.received()), answered() - before,
          net::MonotonicNow() - from};
}

int ScriptedFleet::answered() const {
  int n = 0;
  for (const auto& it : servers_) n += it->answered();
  return n;
}

/// Returns a request that differs from all others, since an instance refuses
/// requests like those that have made servers fail.
std::string ScriptedFleet::Request(const std::string& method,
                                   const std::string& prefix,
                                   std::size_t body_bytes) {
  const std::string number = std::to_string(++last_call_);
  std::string body(body_bytes, 'u');
  if (body_bytes > 0) body.replace(0, number.size(), number);
  std::string bytes = method + " " + prefix + number + " HTTP/1.1\r\n";
  bytes += "Host: 127.0.0.1\r\nConnection: close\r\n";
  bytes += std::string(platform::kRequestId) + ": call-" + number + "\r\n";
  if (body_bytes > 0 || method == "POST") {
    bytes += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  }
  return bytes + "\r\n" + body;
}

/// The instance reads the list of servers after it is ready.
void ScriptedFleet::AwaitServers() {
  constexpr int kTries = 250;
  constexpr Duration kPause = Millis(20);
  ScriptedAnswer whole;
  whole.fields = "Content-Length: 2\r\n";
  whole.body = "ok";
  for (int i = 0; i < kTries; ++i) {
    if (Call("GET", "/browse/", 0, whole).answer.status == kStatusOk) return;
    RunLoop(kPause);
  }
  throw std::runtime_error("the servers are not used");
}

void ScriptedFleet::RunLoop(Duration time) {
  const net::Timer end(fleet_.loop(), net::Timer::Kind::kOnce, time,
                       [this] { fleet_.loop().Stop(); });
  fleet_.loop().Run();
}

}  // namespace ibisladder::process
