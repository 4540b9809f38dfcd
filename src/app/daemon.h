#ifndef APP_DAEMON_H_
#define APP_DAEMON_H_

#include <string>

#include "libs/base/result_code.h"
#include "libs/settings/daemon_settings.h"

/// Runs one entry instance: its three tasks and their threads.
namespace ibisladder {

/// Reads and checks a settings file. Logs all errors and returns the first.
Expected<settings::DaemonSettings> LoadSettings(const std::string& path);

/// Runs until a planned stop is complete. Returns the number of calls that were
/// still open then and were aborted.
Expected<std::size_t> RunDaemon(const settings::DaemonSettings& settings);

}  // namespace ibisladder

#endif  // APP_DAEMON_H_
