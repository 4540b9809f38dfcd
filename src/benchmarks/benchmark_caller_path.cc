// Times of whole steps of the caller path with configurations of up to the
// target's size.
#include <benchmark/benchmark.h>

#include <utility>
#include <variant>

#include "benchmarks/fixture.h"

namespace ibisladder::benchmarks {
namespace {

constexpr TimePoint kStart(Seconds(100));
constexpr Duration kTick = Millis(10);

const callerpath::SendAttempt* FindAttempt(const callerpath::Actions& actions) {
  for (const auto& it : actions) {
    if (const auto* send = std::get_if<callerpath::SendAttempt>(&it)) {
      return send;
    }
  }
  return nullptr;
}

std::size_t LogBytes(const callerpath::Actions& actions) {
  std::size_t bytes = 0;
  for (const auto& it : actions) {
    if (const auto* log = std::get_if<callerpath::WriteLog>(&it)) {
      bytes += FormatLogLine(log->line).size() + 1;
    }
  }
  return bytes;
}

callerpath::ServerAnswered MakeAnswer(const callerpath::SendAttempt& send) {
  callerpath::ServerAnswered answer;
  answer.attempt = send.attempt;
  answer.status = 200;
  for (const auto& [name, value] : send.headers) {
    if (name == "Idempotency-Key") {
      answer.headers.emplace_back("Ibisladder-Request-Id", value);
    }
  }
  answer.headers.emplace_back("Ibisladder-Load",
                              "in_flight=1, slots=4, state=ok");
  answer.body = "{\"items\": []}";
  return answer;
}

/// One idempotent call: arrival, dispatch and answer. The bytes are those of
/// its log lines. The argument is the size in percent of the target.
void ServeCall(benchmark::State& state) {
  const FleetSize size = Scale(static_cast<double>(state.range(0)) / 100.0);
  Random random(1);
  const auto path = MakeLoadedPath(size, kStart, random);
  TimePoint now = kStart;
  std::uint64_t call = 0;
  for (auto _ : state) {
    // 111 calls per second.
    now += Millis(9);
    const auto sent =
        Step(*path,
             callerpath::CallArrived{
                 CallId(++call), MakeRequest(call * 7919, size), {}},
             now, random);
    const auto* send = FindAttempt(sent);
    if (send == nullptr) {
      state.SkipWithError("not dispatched");
      break;
    }
    const auto answered =
        Step(*path, MakeAnswer(*send), now + Millis(5), random);
    if (call == 1) {
      const std::size_t bytes = LogBytes(sent) + LogBytes(answered);
      state.counters["bytes"] = static_cast<double>(bytes);
    }
  }
}
BENCHMARK(ServeCall)->Arg(5)->Arg(25)->Arg(100);

/// One tick of 10 ms under 111 calls per second, without the time of the calls.
/// It includes its part of the evaluation every 100 ms and of the updates to
/// peers every 500 ms.
void RunTicks(benchmark::State& state) {
  const FleetSize size = Scale(static_cast<double>(state.range(0)) / 100.0);
  Random random(1);
  const auto path = MakeLoadedPath(size, kStart, random);
  TimePoint now = kStart;
  std::uint64_t call = 0;
  for (auto _ : state) {
    state.PauseTiming();
    now += kTick;
    const auto sent =
        Step(*path,
             callerpath::CallArrived{
                 CallId(++call), MakeRequest(call * 7919, size), {}},
             now, random);
    if (const auto* send = FindAttempt(sent)) {
      Step(*path, MakeAnswer(*send), now + Millis(5), random);
    }
    state.ResumeTiming();
    benchmark::DoNotOptimize(
        Step(*path, callerpath::Tick{}, now + Millis(5), random));
  }
}
BENCHMARK(RunTicks)->Arg(5)->Arg(25)->Arg(100)->Iterations(2000);

/// One member leaves or joins, and all services get the new number of
/// instances.
void ChangeFleet(benchmark::State& state) {
  const FleetSize size = Scale(static_cast<double>(state.range(0)) / 100.0);
  Random random(1);
  const auto path = MakeLoadedPath(size, kStart, random);
  auto fleet = MakeFleet(size);
  const auto last = fleet.members.back();
  for (auto _ : state) {
    if (fleet.members.size() == size.instances) {
      fleet.members.pop_back();
    } else {
      fleet.members.push_back(last);
    }
    benchmark::DoNotOptimize(Step(*path, fleet, kStart, random));
  }
}
BENCHMARK(ChangeFleet)
    ->Arg(5)
    ->Arg(25)
    ->Arg(100)
    ->Unit(benchmark::kMillisecond);

/// Installs a new version in which all items are present.
void InstallConfiguration(benchmark::State& state) {
  const FleetSize size = Scale(static_cast<double>(state.range(0)) / 100.0);
  Random random(1);
  const auto path = MakeLoadedPath(size, kStart, random);
  std::uint64_t version = 1;
  for (auto _ : state) {
    state.PauseTiming();
    const auto next =
        declarations::Compile(ConfigVersion(++version), MakeDeclarations(size));
    state.ResumeTiming();
    benchmark::DoNotOptimize(
        Step(*path, callerpath::ConfigurationInstalled{next}, kStart, random));
  }
}
BENCHMARK(InstallConfiguration)
    ->Arg(5)
    ->Arg(25)
    ->Arg(100)
    ->Unit(benchmark::kMillisecond);

/// Answers a caller that requests addresses. The argument is the number of
/// instances.
void AnswerAddresses(benchmark::State& state) {
  FleetSize size = Scale(0.05);
  size.instances = static_cast<std::size_t>(state.range(0));
  Random random(1);
  const auto path = MakeLoadedPath(size, kStart, random);
  std::uint64_t call = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        Step(*path, callerpath::AddressesRequested{CallId(++call), ""}, kStart,
             random));
  }
}
BENCHMARK(AnswerAddresses)->Arg(32)->Arg(128)->Arg(540);

/// Merges one peer's evidence about 24 servers.
void MergeEvidence(benchmark::State& state) {
  const FleetSize size = Scale(static_cast<double>(state.range(0)) / 100.0);
  Random random(1);
  const auto path = MakeLoadedPath(size, kStart, random);
  const auto digests = MakeHeartbeat(0, 0, 24).evidence;
  std::uint32_t peer = 1;
  TimePoint now = kStart;
  for (auto _ : state) {
    now += Millis(5);
    peer = peer % 539 + 2;
    benchmark::DoNotOptimize(
        Step(*path, callerpath::PeerEvidence{InstanceId(peer), digests}, now,
             random));
  }
}
BENCHMARK(MergeEvidence)->Arg(5)->Arg(25)->Arg(100);

}  // namespace
}  // namespace ibisladder::benchmarks

BENCHMARK_MAIN();
