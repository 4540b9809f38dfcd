// Times of single decisions by the number of items that they examine.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "benchmarks/fixture.h"
#include "libs/controlplane/document.h"
#include "libs/declarations/configuration.h"
#include "libs/declarations/parse.h"
#include "libs/detection/detector.h"
#include "libs/gateway/server_limits.h"
#include "libs/requests/request_table.h"
#include "libs/routing/router.h"
#include "libs/wire/peer_messages.h"

namespace ibisladder::benchmarks {
namespace {

constexpr TimePoint kStart(Seconds(100));
/// Virtual time between two decisions, as under load.
constexpr Duration kStep = Micros(100);

std::vector<routing::Candidate> MakeCandidates(std::size_t count) {
  std::vector<routing::Candidate> candidates;
  const FleetSize size;
  for (std::size_t n = 0; n < count; ++n) {
    routing::Candidate it;
    it.id = MakeBackendServerId("service", std::to_string(n));
    it.zone = MakeZone(n, size);
    candidates.push_back(it);
  }
  return candidates;
}

/// One request: placement, answer and load report.
void RouteRequest(benchmark::State& state) {
  const auto count = static_cast<std::size_t>(state.range(0));
  auto router = routing::MakeRouter({}, MakeZone(0, {}), kStart);
  SetCandidates(*router, MakeCandidates(count), 36, kStart);
  Random random(1);
  TimePoint now = kStart;
  routing::RoutingRequest demand;
  for (auto _ : state) {
    now += kStep;
    demand.deadline = now + Seconds(1);
    const auto placement = Place(*router, demand, now, random);
    const auto server = std::get<routing::Dispatch>(placement).server;
    AttemptEnded(*router, server, detection::AttemptEnd::kOk, Millis(25), now);
    ReportLoad(*router, server, {1, 4, false, false}, now);
  }
}
BENCHMARK(RouteRequest)->Arg(6)->Arg(24)->Arg(50)->Arg(200);

void ChooseSubsetOf(benchmark::State& state) {
  const auto count = static_cast<std::size_t>(state.range(0));
  const auto candidates = MakeCandidates(count);
  for (auto _ : state) {
    benchmark::DoNotOptimize(routing::ChooseSubset(candidates, InstanceId(7),
                                                   MakeZone(0, {}), count / 2));
  }
}
BENCHMARK(ChooseSubsetOf)->Arg(24)->Arg(50)->Arg(200);

/// One permit, from the choice of the keeper to its decision, by members.
void GivePermit(benchmark::State& state) {
  std::vector<std::string> members;
  for (int n = 0; n < state.range(0); ++n) {
    members.push_back("entry-zone-" + std::to_string(n));
  }
  const BackendServerId server = MakeBackendServerId("service", "server");
  gateway::PermitBucket bucket;
  TimePoint now = kStart;
  for (auto _ : state) {
    now += kStep;
    const auto keepers = gateway::KeepersOf(server, members);
    benchmark::DoNotOptimize(keepers);
    benchmark::DoNotOptimize(gateway::TakePermit(
        bucket, RequestsPerSecond(50), gateway::KeeperRank::kFirst,
        declarations::Priority::kNormal, now));
  }
}
BENCHMARK(GivePermit)->Arg(32)->Arg(128)->Arg(540);

void TakeOrganisation(benchmark::State& state) {
  const auto count = static_cast<std::uint64_t>(state.range(0));
  const auto limits = routing::MakeOrganisationLimits();
  declarations::Organisation declared;
  declared.max_in_flight = 1000000;
  Random random(1);
  std::uint64_t n = 0;
  for (auto _ : state) {
    const OrganisationId id(n++ % count);
    benchmark::DoNotOptimize(TakeRequest(*limits, declared, id, random));
    ReleaseRequest(*limits, id);
  }
}
BENCHMARK(TakeOrganisation)->Arg(250)->Arg(2500)->Arg(25000);

/// One attempt: start, end and evaluation of its service.
void ObserveAttempt(benchmark::State& state) {
  const auto count = static_cast<std::size_t>(state.range(0));
  auto detector = detection::MakeDetector({}, true, kStart);
  std::vector<detection::Member> members;
  for (const auto& it : MakeCandidates(count)) members.push_back({it.id});
  SetMembers(*detector, members, kStart);
  Random random(1);
  TimePoint now = kStart;
  std::uint64_t n = 0;
  for (auto _ : state) {
    now += kStep;
    const AttemptId attempt(++n);
    AttemptStarted(*detector, members[n % count].id, attempt, now);
    AttemptEnded(*detector, attempt, detection::AttemptEnd::kOk,
                 now + Millis(25));
    benchmark::DoNotOptimize(Evaluate(*detector, now + Millis(25), random));
  }
}
BENCHMARK(ObserveAttempt)->Arg(6)->Arg(24)->Arg(50)->Arg(200);

/// Admission, dispatch and answer of one at-most-once request, including the
/// removal of old eras.
void RecordRequest(benchmark::State& state) {
  const auto per_era = static_cast<std::uint64_t>(state.range(0));
  requests::TableSettings settings;
  settings.instance = InstanceId(1);
  settings.incarnation = Incarnation(1);
  settings.max_records = 1U << 30U;
  auto table = requests::MakeRequestTable(settings, Era(1));
  std::uint64_t n = 0;
  std::uint32_t era = 1;
  for (auto _ : state) {
    if (++n % per_era == 0) AdvanceEra(table, Era(++era));
    const requests::RequestId id{{InstanceId(1), Incarnation(1), Era(era)},
                                 std::to_string(n)};
    const auto fingerprint =
        requests::MakeFingerprint("POST", "/charges", "organisation", "body");
    benchmark::DoNotOptimize(Admit(table, id, fingerprint));
    MarkDispatched(table, id);
    MarkDone(table, id, {201, {{"Content-Type", "application/json"}}, "{}"});
  }
}
BENCHMARK(RecordRequest)->Arg(100)->Arg(555)->Arg(5000);

void FindRoute(benchmark::State& state) {
  FleetSize size;
  size.routes = static_cast<std::size_t>(state.range(0));
  const auto configuration =
      declarations::Compile(ConfigVersion(1), MakeDeclarations(size));
  std::size_t n = 0;
  for (auto _ : state) {
    const auto request = MakeRequest(n += 7919, size);
    const std::string_view path(request.target);
    benchmark::DoNotOptimize(declarations::FindRoute(
        *configuration, request.method, path.substr(0, path.find('?'))));
  }
}
BENCHMARK(FindRoute)->Arg(150)->Arg(1500)->Arg(15000);

void CompileConfiguration(benchmark::State& state) {
  const auto declared =
      MakeDeclarations(Scale(static_cast<double>(state.range(0)) / 100.0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(declarations::Compile(ConfigVersion(1), declared));
  }
}
BENCHMARK(CompileConfiguration)
    ->Arg(5)
    ->Arg(25)
    ->Arg(100)
    ->Unit(benchmark::kMillisecond);

void ParseConfiguration(benchmark::State& state) {
  const std::string text = declarations::FormatDeclarations(
      MakeDeclarations(Scale(static_cast<double>(state.range(0)) / 100.0)));
  for (auto _ : state) {
    const auto parsed = declarations::ParseDeclarations(text);
    if (!parsed) state.SkipWithError(parsed.error().front().message.c_str());
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseConfiguration)
    ->Arg(5)
    ->Arg(25)
    ->Arg(100)
    ->Unit(benchmark::kMillisecond);

std::size_t BytesOf(const controlplane::Document& document,
                    const controlplane::Chunks& known) {
  std::size_t bytes = document.head_bytes.size();
  for (const auto& [digest, chunk] : document.chunks) {
    if (!known.contains(digest)) bytes += chunk->size();
  }
  return bytes;
}

/// Rebuilds the stored document after a change of one service. The bytes are
/// those that an instance with the previous version has to fetch.
void ChangeDocument(benchmark::State& state) {
  auto items =
      MakeDeclarations(Scale(static_cast<double>(state.range(0)) / 100.0));
  const auto first =
      controlplane::MakeDocument(items, {ConfigVersion(1), {}, "a"}, nullptr);
  items.services.front().floor_percent += 1;
  const auto change = [&] {
    return controlplane::MakeDocument(items, {ConfigVersion(2), {}, "b"},
                                      first->get());
  };
  for (auto _ : state) benchmark::DoNotOptimize(change());
  state.counters["bytes"] =
      static_cast<double>(BytesOf(**change(), (*first)->chunks));
}
BENCHMARK(ChangeDocument)
    ->Arg(5)
    ->Arg(25)
    ->Arg(100)
    ->Unit(benchmark::kMillisecond);

/// Decodes all chunks of a version. The bytes are those of the whole document.
void ReadWholeDocument(benchmark::State& state) {
  const auto items =
      MakeDeclarations(Scale(static_cast<double>(state.range(0)) / 100.0));
  const auto document =
      controlplane::MakeDocument(items, {ConfigVersion(1), {}, "a"}, nullptr);
  for (auto _ : state) {
    benchmark::DoNotOptimize(controlplane::ReadDocument(**document));
  }
  state.counters["bytes"] = static_cast<double>(BytesOf(**document, {}));
}
BENCHMARK(ReadWholeDocument)
    ->Arg(5)
    ->Arg(25)
    ->Arg(100)
    ->Unit(benchmark::kMillisecond);

void EncodeHeartbeat(benchmark::State& state) {
  const auto items = static_cast<std::size_t>(state.range(0));
  const auto heartbeat = MakeHeartbeat(items, items, items);
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire::EncodeHeartbeat(heartbeat));
  }
  state.counters["bytes"] =
      static_cast<double>(wire::EncodeHeartbeat(heartbeat).size());
}
BENCHMARK(EncodeHeartbeat)->Arg(0)->Arg(3)->Arg(6)->Arg(12);

void DecodeHeartbeat(benchmark::State& state) {
  const auto items = static_cast<std::size_t>(state.range(0));
  const auto heartbeat = MakeHeartbeat(items, items, items);
  const std::string bytes = wire::EncodeHeartbeat(heartbeat);
  for (auto _ : state) {
    const auto decoded = wire::DecodeHeartbeat(bytes, heartbeat.sender.fleet);
    if (!decoded) state.SkipWithError("not decoded");
  }
}
BENCHMARK(DecodeHeartbeat)->Arg(0)->Arg(3)->Arg(6)->Arg(12);

}  // namespace
}  // namespace ibisladder::benchmarks

BENCHMARK_MAIN();
