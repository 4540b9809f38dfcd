#include "app/daemon.h"

#include <xxhash.h>

#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include "libs/logging/log_writer.h"
#include "plugins/caller/caller_task.h"
#include "plugins/control/control_task.h"
#include "plugins/operators/operator_task.h"

namespace ibisladder {
namespace {

void Log(LogEvent event, std::vector<LogField> fields) {
  logging::LogWriter({}).Write({event, std::move(fields)}, net::MonotonicNow());
}

std::uint64_t DrawRandom() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

tasks::ProcessIdentity MakeIdentity(const settings::DaemonSettings& settings) {
  tasks::ProcessIdentity result;
  result.incarnation = Incarnation(DrawRandom());
  result.fleet = XXH64(settings.fleet.data(), settings.fleet.size(), 0);
  result.random_seed = DrawRandom();
  return result;
}

void LogSettingsError(const std::string& path, const Error& error) {
  Log(LogEvent::kSettingsInvalid,
      {{"file", path},
       {"place", error.place},
       {"code", std::to_string(static_cast<int>(error.code))},
       {"reason", error.message}});
}

tl::unexpected<Error> LogStartFailure(const Error& error) {
  Log(LogEvent::kSocketFailed,
      {{"place", error.place}, {"reason", error.message}});
  return tl::unexpected<Error>(error);
}

}  // namespace

Expected<settings::DaemonSettings> LoadSettings(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    const Error error{ResultCode::kFileUnreadable, "",
                      "the settings file cannot be opened"};
    LogSettingsError(path, error);
    return tl::unexpected<Error>(error);
  }
  std::ostringstream buf;
  buf << file.rdbuf();
  auto result = settings::ParseDaemonSettings(buf.str());
  if (result) return *result;
  for (const auto& it : result.error()) LogSettingsError(path, it);
  return tl::unexpected<Error>(result.error().front());
}

Expected<std::size_t> RunDaemon(const settings::DaemonSettings& settings) {
  const auto identity = MakeIdentity(settings);
  auto caller = caller::CallerTask::Create(settings, identity);
  if (!caller) return LogStartFailure(caller.error());
  auto control = control::ControlTask::Create(settings, identity);
  if (!control) return LogStartFailure(control.error());
  auto operators = operators::OperatorTask::Create(settings);
  if (!operators) return LogStartFailure(operators.error());

  const tasks::Mailboxes mailboxes{
      &(*caller)->mailbox(), &(*control)->mailbox(), &(*operators)->mailbox()};
  Log(LogEvent::kProcessStarted,
      {{"instance", std::to_string(settings.instance.value())},
       {"zone", settings.zone.value()},
       {"incarnation", std::to_string(identity.incarnation.value())},
       {"callers", FormatEndpoint(settings.caller_endpoint)}});
  std::thread caller_thread([&] { (*caller)->Run(mailboxes); });
  std::thread control_thread([&] { (*control)->Run(mailboxes); });
  const std::size_t aborted_calls = (*operators)->Run(mailboxes);
  caller_thread.join();
  control_thread.join();
  Log(LogEvent::kProcessStopped, {{"cut", std::to_string(aborted_calls)}});
  return aborted_calls;
}

}  // namespace ibisladder
