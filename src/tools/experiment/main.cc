// ibisladder-experiment: measures detection times and false ejections.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdint>
#include <iostream>

#include "tools/experiment/costs.h"
#include "tools/experiment/measures.h"

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of all runs");
ABSL_FLAG(int, threads, 4, "Number of threads");
ABSL_FLAG(int, instances, 36, "Entry instances in front of each service");
ABSL_FLAG(int, runs, 8, "Runs of each service, failure and policy");
ABSL_FLAG(bool, quick, false, "Fewer and shorter runs, for rough results");
ABSL_FLAG(bool, costs, false,
          "Print CPU time and memory of the detector instead");
ABSL_FLAG(bool, json, false, "Print JSON instead of tables");

int main(int argc, char** argv) {
  using ibisladder::Seconds;
  absl::SetProgramUsageMessage(
      "Measures detection times and false ejections in virtual time and "
      "compares them with those of simpler policies.\n  ibisladder-experiment "
      "[--quick] [--json] [--seed N]");
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_costs)) {
    std::cout << ibisladder::experiment::FormatCosts();
    return 0;
  }
  ibisladder::experiment::MeasureSettings settings;
  settings.seed = absl::GetFlag(FLAGS_seed);
  settings.threads = absl::GetFlag(FLAGS_threads);
  settings.instances = absl::GetFlag(FLAGS_instances);
  settings.runs = absl::GetFlag(FLAGS_runs);
  if (absl::GetFlag(FLAGS_quick)) {
    constexpr int kQuickTime = 240;
    settings.runs = 1;
    settings.curve_runs = 1;
    settings.healthy_time = Seconds(kQuickTime);
    settings.is_quick = true;
  }
  const auto measures = ibisladder::experiment::Measure(settings);
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << ToJson(measures).dump(2) << "\n";
  } else {
    std::cout << FormatTable(measures);
  }
  return 0;
}
