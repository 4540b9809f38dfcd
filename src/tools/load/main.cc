#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cmath>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include "libs/declarations/field_checks.h"
#include "tools/load/fleet_document.h"
#include "tools/load/load_run.h"

ABSL_FLAG(std::string, entry, "", "ADDRESS:PORT of an entry instance");
ABSL_FLAG(
    std::string, direct, "",
    "ADDRESS:PORT of a backend server, called alternately with the entry");
ABSL_FLAG(std::string, method, "GET", "method of the calls");
ABSL_FLAG(std::string, path, "/", "path of the calls");
ABSL_FLAG(std::string, service, "", "service whose addresses are requested");
ABSL_FLAG(bool, at_most_once, false, "send request ids with a ticket");
ABSL_FLAG(double, rate, 0,
          "calls per second to each target, timed from their intended start; "
          "0: closed loop");
ABSL_FLAG(int, concurrency, 1, "calls in flight in the closed loop");
ABSL_FLAG(double, seconds, 10, "counted length of the run in seconds");
ABSL_FLAG(double, warm_up_seconds, 1,
          "time before it, in seconds, that is not counted");
ABSL_FLAG(int, body_bytes, 0, "body size of each call in bytes");
ABSL_FLAG(bool, json, false, "print JSON instead of a table");
ABSL_FLAG(bool, print_fleet, false,
          "print the declarations of a large fleet and make no calls");

namespace {

using ibisladder::Duration;
using ibisladder::Endpoint;
using ibisladder::load::LoadSettings;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr double kMicrosPerSecond = 1e6;

Duration ToDuration(double seconds) {
  return Duration(std::llround(seconds * kMicrosPerSecond));
}

/// Returns false when an address is malformed.
bool ReadTargets(LoadSettings& settings) {
  const auto entry =
      ibisladder::json::ParseEndpoint(absl::GetFlag(FLAGS_entry));
  if (!entry) return false;
  settings.entry = *entry;
  const std::string direct = absl::GetFlag(FLAGS_direct);
  if (direct.empty()) return true;
  settings.direct = ibisladder::json::ParseEndpoint(direct);
  return settings.direct.has_value();
}

std::optional<LoadSettings> ReadSettings() {
  LoadSettings result;
  if (!ReadTargets(result)) return std::nullopt;
  result.method = absl::GetFlag(FLAGS_method);
  result.path = absl::GetFlag(FLAGS_path);
  result.service = absl::GetFlag(FLAGS_service);
  result.at_most_once = absl::GetFlag(FLAGS_at_most_once);
  result.rate = absl::GetFlag(FLAGS_rate);
  const int concurrency = absl::GetFlag(FLAGS_concurrency);
  const int body_bytes = absl::GetFlag(FLAGS_body_bytes);
  result.length = ToDuration(absl::GetFlag(FLAGS_seconds));
  result.warm_up = ToDuration(absl::GetFlag(FLAGS_warm_up_seconds));
  const bool is_good = result.rate >= 0 && concurrency > 0 && body_bytes >= 0 &&
                       result.length > Duration(0) &&
                       result.warm_up >= Duration(0);
  if (!is_good) return std::nullopt;
  result.concurrency = static_cast<std::size_t>(concurrency);
  result.body_bytes = static_cast<std::size_t>(body_bytes);
  return result;
}

int RunLoad(const LoadSettings& settings) {
  // By default, libevent's timers have a resolution of 1 ms, which would delay
  // calls.
  setenv("EVENT_PRECISE_TIMER", "1", 1);
  const auto loop = ibisladder::net::EventLoop::Create();
  if (!loop) return kExitFailed;
  ibisladder::load::LoadRun run(**loop, settings);
  run.Start();
  (*loop)->Run();
  if (!run.has_started()) {
    std::cerr
        << "ibisladder-load: no ticket received from the entry instance\n";
    return kExitFailed;
  }
  const auto summary = run.Result();
  std::cout << (absl::GetFlag(FLAGS_json)
                    ? ibisladder::load::FormatJson(summary)
                    : ibisladder::load::FormatTable(summary));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Calls a backend server alternately directly and through an entry "
      "instance.\n"
      "  ibisladder-load --entry ADDRESS:PORT [--direct ADDRESS:PORT] ...\n"
      "Exit status: 0 success, 1 failure, 2 usage error.");
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_print_fleet)) {
    std::cout << ibisladder::load::MakeFleetDocument({}) << "\n";
    return 0;
  }
  const auto settings = ReadSettings();
  if (!settings) {
    std::cerr << "ibisladder-load: invalid flags: --entry and --direct take "
                 "ADDRESS:PORT, --seconds and --concurrency must be above 0, "
                 "other numbers at least 0; see --help\n";
    return kExitUsage;
  }
  return RunLoad(*settings);
}
