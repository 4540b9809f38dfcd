// Measures messages, bytes, platform calls and times of whole fleets of control
// planes in virtual time, with the fleet and the fake store of the tests.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "benchmarks/fixture.h"
#include "tests/auto/controlplane/fleet.h"

namespace ibisladder::benchmarks {
namespace {

using controlplane::Fleet;

constexpr std::uint32_t kZones = 6;
/// UDP and IPv4 headers of one datagram.
constexpr double kHeaderBytes = 28;
constexpr Duration kSettleTime = Seconds(30);
constexpr Duration kWindow = Seconds(10);
constexpr Duration kEvidenceInterval = Millis(500);
constexpr std::size_t kDigests = 24;

void Print(const char* unit, const char* name, std::uint32_t size,
           double value) {
  std::printf("%s,%s,%u,%.6g\n", unit, name, size, value);
  std::fflush(stdout);
}

std::uint64_t DatagramsSent(Fleet& fleet) {
  std::uint64_t sum = 0;
  for (std::uint32_t i = 0; i < fleet.size(); ++i) {
    if (!fleet.node(i).runs) continue;
    sum += StatusOf(*fleet.node(i).plane, fleet.now()).counters.datagrams_sent;
  }
  return sum;
}

/// Runs the fleet while each instance publishes evidence, as the caller path
/// does under load.
void RunWithEvidence(Fleet& fleet, Duration duration) {
  const auto digests = MakeHeartbeat(0, 0, kDigests).evidence;
  for (Duration spent{}; spent < duration; spent += kEvidenceInterval) {
    for (std::uint32_t i = 0; i < fleet.size(); ++i) {
      fleet.Feed(i, controlplane::ServerUpdateReady{digests, {}});
    }
    fleet.Run(kEvidenceInterval);
  }
}

/// Means per second and instance; platform_calls is per second of the whole
/// fleet, and cpu_percent is the CPU time of an instance in percent of a core.
struct Rates {
  double datagrams = 0;
  double bytes = 0;
  double platform_calls = 0;
  double cpu_percent = 0;
};

Rates MeasureRates(Fleet& fleet, Duration window) {
  const auto datagrams = DatagramsSent(fleet);
  const auto bytes = fleet.datagram_bytes();
  const auto calls = fleet.platform_calls();
  const auto start = std::chrono::steady_clock::now();
  RunWithEvidence(fleet, window);
  const std::chrono::duration<double> cpu =
      std::chrono::steady_clock::now() - start;
  const double seconds = ToSeconds(window);
  const double instance_seconds =
      seconds * static_cast<double>(fleet.Running());
  Rates rates;
  rates.datagrams =
      static_cast<double>(DatagramsSent(fleet) - datagrams) / instance_seconds;
  rates.bytes =
      static_cast<double>(fleet.datagram_bytes() - bytes) / instance_seconds +
      rates.datagrams * kHeaderBytes;
  rates.platform_calls =
      static_cast<double>(fleet.platform_calls() - calls) / seconds;
  rates.cpu_percent = 100 * cpu.count() / instance_seconds;
  return rates;
}

void PrintRates(const char* when, std::uint32_t size, const Rates& rates) {
  const std::string prefix(when);
  Print("datagrams/s", (prefix + " sent by an instance").c_str(), size,
        rates.datagrams);
  Print("bytes/s", (prefix + " sent by an instance").c_str(), size,
        rates.bytes);
  Print("calls/s", (prefix + " platform calls of the fleet").c_str(), size,
        rates.platform_calls);
  Print("% of a core", (prefix + " control of an instance").c_str(), size,
        rates.cpu_percent);
}

std::size_t CountWithVersion(Fleet& fleet, std::uint64_t version) {
  return fleet.Count([version](controlplane::Node& it) {
    return !it.installed.empty() && it.installed.back().value() >= version;
  });
}

/// Applies a change and returns the seconds until all running instances have
/// installed it.
double SecondsToInstall(Fleet& fleet, std::uint64_t version, int services) {
  fleet.Apply(1, "change-" + std::to_string(version),
              ConfigVersion(version - 1),
              controlplane::MakeDeclarations(services, 24, 4 * services, 10));
  return ToSeconds(fleet.RunUntil(Seconds(60), [&fleet, version] {
    return CountWithVersion(fleet, version) == fleet.Running();
  }));
}

/// Returns whether the instance hands out the address of a stopped one.
bool ListsStoppedInstance(Fleet& fleet, const controlplane::Node& node) {
  return std::ranges::any_of(node.handed_out, [&fleet](std::uint32_t other) {
    return !fleet.node(other).runs;
  });
}

/// Runs until at most `fraction` of the running instances hand out a stopped
/// one, and returns the time.
Duration RunUntilLossNoticed(Fleet& fleet, double fraction) {
  return fleet.RunUntil(Seconds(60), [&fleet, fraction] {
    const std::size_t outdated = fleet.Count([&fleet](controlplane::Node& it) {
      return ListsStoppedInstance(fleet, it);
    });
    return static_cast<double>(outdated) <=
           fraction * static_cast<double>(fleet.Running());
  });
}

void MeasureZoneLoss(Fleet& fleet) {
  const std::uint32_t size = fleet.size();
  for (std::uint32_t i = 0; i < size; i += kZones) fleet.Kill(i);
  const Duration until_most = RunUntilLossNoticed(fleet, 0.1);
  Print("s", "zone lost; noticed by 9 in 10", size, ToSeconds(until_most));
  const Duration until_all = until_most + RunUntilLossNoticed(fleet, 0);
  Print("s", "zone lost; noticed by all", size, ToSeconds(until_all));
  PrintRates("after a zone's loss:", size, MeasureRates(fleet, Seconds(10)));
  for (std::uint32_t i = 0; i < size; i += kZones) fleet.Start(i);
  PrintRates("zone returns:", size, MeasureRates(fleet, Seconds(10)));
}

void MeasureOutage(Fleet& fleet) {
  fleet.faults().store_down = true;
  PrintRates("store down:", fleet.size(), MeasureRates(fleet, kWindow));
  fleet.faults().store_down = false;
  PrintRates("store back:", fleet.size(), MeasureRates(fleet, Seconds(5)));
}

/// Replaces one instance after the other by a new incarnation, much more often
/// than in operation, so that the cost of one replacement is measurable.
void MeasureRestarts(Fleet& fleet, const Rates& steady) {
  constexpr int kRestarts = 10;
  constexpr Duration kGap = Seconds(1);
  const auto bytes = fleet.datagram_bytes();
  for (int n = 0; n < kRestarts; ++n) {
    const auto i = static_cast<std::uint32_t>(3 * n + 1);
    fleet.Kill(i);
    fleet.Start(i);
    RunWithEvidence(fleet, kGap);
  }
  const double spent = static_cast<double>(fleet.datagram_bytes() - bytes) /
                       static_cast<double>(fleet.size());
  const double steady_bytes = (steady.bytes - steady.datagrams * kHeaderBytes) *
                              ToSeconds(kGap * kRestarts);
  Print("bytes", "one restart: beyond steady; sent by an instance",
        fleet.size(), (spent - steady_bytes) / kRestarts);
}

/// Runs until at least `fraction` of the running instances hand out at least
/// `fraction` of them, and returns the time.
Duration RunUntilKnown(Fleet& fleet, double fraction) {
  return fleet.RunUntil(Seconds(60), [&fleet, fraction] {
    const double required = fraction * static_cast<double>(fleet.Running());
    const std::size_t informed =
        fleet.Count([required](controlplane::Node& it) {
          return static_cast<double>(it.handed_out.size()) >= required;
        });
    return static_cast<double>(informed) >= required;
  });
}

/// Cuts all links between the first and the second half of the zones, and
/// restores them.
void MeasureRegions(Fleet& fleet) {
  const auto region = [](std::uint32_t i) { return i % kZones < kZones / 2; };
  for (std::uint32_t a = 0; a < fleet.size(); ++a) {
    for (std::uint32_t b = 0; b < fleet.size(); ++b) {
      if (region(a) != region(b)) fleet.faults().cuts.emplace(a, b);
    }
  }
  RunWithEvidence(fleet, kWindow);
  PrintRates("regions parted:", fleet.size(), MeasureRates(fleet, kWindow));
  fleet.faults().cuts.clear();
  const Duration until_most = RunUntilKnown(fleet, 0.9);
  Print("s", "regions joined; nine in ten know nine in ten", fleet.size(),
        ToSeconds(until_most));
  const Duration until_all = until_most + RunUntilKnown(fleet, 1);
  Print("s", "regions joined; all know all (at most 60)", fleet.size(),
        std::min(ToSeconds(until_all), 60.0));
}

/// Returns the heap bytes of this process.
double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void MeasureFleet(std::uint32_t size) {
  const double before = HeapBytes();
  Fleet fleet(size, /*seed=*/1, kZones);
  for (std::uint32_t i = 0; i < size; ++i) fleet.Start(i);
  PrintRates("all start at once:", size, MeasureRates(fleet, Seconds(5)));
  Print("s", "first version in force everywhere", size,
        SecondsToInstall(fleet, 1, 3));
  RunWithEvidence(fleet, kSettleTime);
  Print("heap bytes", "control plane of an instance", size,
        (HeapBytes() - before) / size);
  double longest = 0;
  for (std::uint64_t version = 2; version < 7; ++version) {
    longest = std::max(longest, SecondsToInstall(fleet, version, 3));
    fleet.Run(Seconds(3));
  }
  Print("s", "longest of five changes in force everywhere", size, longest);
  const Rates steady = MeasureRates(fleet, kWindow);
  PrintRates("steady:", size, steady);
  MeasureRestarts(fleet, steady);
  MeasureOutage(fleet);
  MeasureRegions(fleet);
  MeasureZoneLoss(fleet);
}

}  // namespace
}  // namespace ibisladder::benchmarks

/// The arguments are fleet sizes; the default is 32, 128 and 540.
int main(int argc, char** argv) {
  std::vector<std::uint32_t> sizes = {32, 128, 540};
  if (argc > 1) sizes.clear();
  for (int n = 1; n < argc; ++n) {
    sizes.push_back(static_cast<std::uint32_t>(std::stoul(argv[n])));
  }
  for (const std::uint32_t size : sizes) {
    ibisladder::benchmarks::MeasureFleet(size);
  }
  return 0;
}
