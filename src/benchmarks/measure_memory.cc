// Prints the heap bytes of each kind of state at three sizes, and the resident
// bytes of the whole process.
#include <malloc.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "benchmarks/fixture.h"
#include "libs/declarations/configuration.h"
#include "libs/requests/request_table.h"
#include "libs/routing/router.h"

namespace ibisladder::benchmarks {
namespace {

constexpr TimePoint kStart(Seconds(100));

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Returns the heap bytes of the object that `make` returns.
std::size_t Measure(const std::function<std::shared_ptr<void>()>& make) {
  const std::size_t before = HeapBytes();
  const auto kept = make();
  return HeapBytes() - before;
}

using Maker = std::function<std::shared_ptr<void>(std::size_t)>;

void PrintKind(const char* kind, const std::vector<std::size_t>& sizes,
               const Maker& make) {
  std::vector<std::size_t> bytes;
  for (const std::size_t n : sizes) {
    bytes.push_back(Measure([&] { return make(n); }));
    std::printf("heap bytes,%s,%zu,%zu\n", kind, n, bytes.back());
  }
  std::fflush(stdout);
}

struct PathAndRandom {
  Random random{1};
  callerpath::CallerPathPtr path;
};

std::shared_ptr<void> MakePath(const FleetSize& size) {
  auto kept = std::make_shared<PathAndRandom>();
  kept->path = MakeLoadedPath(size, kStart, kept->random);
  return kept;
}

FleetSize SmallSize() {
  FleetSize size;
  size.instances = 1;
  size.services = 1;
  size.servers = 1;
  size.routes = 1;
  size.organisations = 1;
  return size;
}

std::shared_ptr<void> MakeConfiguration(const FleetSize& size) {
  return std::const_pointer_cast<declarations::Configuration>(
      declarations::Compile(ConfigVersion(1), MakeDeclarations(size)));
}

/// Returns a request table with `count` done requests that have a small answer.
std::shared_ptr<void> MakeTable(std::size_t count) {
  requests::TableSettings settings;
  settings.instance = InstanceId(1);
  settings.incarnation = Incarnation(1);
  auto table = std::make_shared<requests::RequestTable>(
      requests::MakeRequestTable(settings, Era(1)));
  const auto fingerprint =
      requests::MakeFingerprint("POST", "/charges", "organisation", "body");
  for (std::size_t n = 0; n < count; ++n) {
    const requests::RequestId id{{InstanceId(1), Incarnation(1), Era(1)},
                                 "caller-" + std::to_string(n)};
    Admit(*table, id, fingerprint);
    MarkDispatched(*table, id);
    MarkDone(*table, id,
             {201, {{"Content-Type", "application/json"}}, "{\"ok\": true}"});
  }
  return table;
}

std::shared_ptr<void> MakeLimits(std::size_t count) {
  std::shared_ptr<routing::OrganisationLimits> limits =
      routing::MakeOrganisationLimits();
  declarations::Organisation declared;
  declared.max_in_flight = 1;
  Random random(1);
  for (std::uint64_t n = 0; n < count; ++n) {
    TakeRequest(*limits, declared, OrganisationId(n), random);
  }
  return limits;
}

/// Returns the resident bytes of this process.
std::size_t ResidentBytes() {
  std::size_t whole = 0;
  std::size_t resident = 0;
  std::ifstream("/proc/self/statm") >> whole >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Prints the resident bytes of the process with everything loaded, and while a
/// second version is installed beside the first. Must run first, since earlier
/// measurements would leave memory behind.
void PrintResident() {
  for (const std::size_t percent : {5U, 25U, 100U}) {
    const FleetSize size = Scale(static_cast<double>(percent) / 100.0);
    PathAndRandom kept;
    kept.path = MakeLoadedPath(size, kStart, kept.random);
    malloc_trim(0);
    std::printf("resident bytes,everything_percent,%zu,%zu\n", percent,
                ResidentBytes());
    const auto next =
        declarations::Compile(ConfigVersion(2), MakeDeclarations(size));
    Step(*kept.path, callerpath::ConfigurationInstalled{next}, kStart,
         kept.random);
    std::printf("resident bytes,changing_everything_percent,%zu,%zu\n", percent,
                ResidentBytes());
  }
}

void Run() {
  PrintResident();
  PrintKind("configuration_server", {50, 800, 8200}, [](std::size_t n) {
    FleetSize size = SmallSize();
    size.servers = n;
    size.services = (n + 23) / 24;
    return MakeConfiguration(size);
  });
  PrintKind("configuration_route", {150, 1500, 15000}, [](std::size_t n) {
    FleetSize size = SmallSize();
    size.routes = n;
    return MakeConfiguration(size);
  });
  PrintKind("configuration_organisation", {250, 2500, 25000},
            [](std::size_t n) {
              FleetSize size = SmallSize();
              size.organisations = n;
              return MakeConfiguration(size);
            });
  PrintKind("caller_path_server_with_configuration", {50, 800, 8200},
            [](std::size_t n) {
              FleetSize size = SmallSize();
              size.servers = n;
              size.services = (n + 23) / 24;
              return MakePath(size);
            });
  PrintKind("caller_path_instance", {32, 128, 540}, [](std::size_t n) {
    FleetSize size = SmallSize();
    size.instances = n;
    return MakePath(size);
  });
  PrintKind("request_record", {1000, 10000, 100000},
            [](std::size_t n) { return MakeTable(n); });
  PrintKind("organisation_in_use", {250, 2500, 25000},
            [](std::size_t n) { return MakeLimits(n); });
  PrintKind("everything_percent", {5, 25, 100}, [](std::size_t n) {
    return MakePath(Scale(static_cast<double>(n) / 100.0));
  });
}

}  // namespace
}  // namespace ibisladder::benchmarks

int main() {
  ibisladder::benchmarks::Run();
  return 0;
}
