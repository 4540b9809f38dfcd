#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

#include "app/daemon.h"
#include "libs/logging/log_writer.h"

ABSL_FLAG(std::string, settings, "", "path of the settings file (JSON)");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Entry instance of ibisladder.\n"
      "  ibisladderd --settings FILE\n"
      "SIGTERM or SIGINT lets calls in flight finish, up to stop_limit_ms;\n"
      "a second signal aborts them.\n"
      "Exit status: 0 stopped, 1 failed, 2 usage, 3 invalid settings.");
  absl::ParseCommandLine(argc, argv);
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    std::cerr << "ibisladderd: --settings FILE is required; see --help\n";
    return kExitUsage;
  }
  ibisladder::logging::StartLogging(argv[0]);
  const auto settings = ibisladder::LoadSettings(path);
  if (!settings) return kExitSettings;
  return ibisladder::RunDaemon(*settings) ? 0 : kExitFailed;
}
