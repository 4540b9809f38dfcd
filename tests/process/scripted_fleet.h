#ifndef TESTS_PROCESS_SCRIPTED_FLEET_H_
#define TESTS_PROCESS_SCRIPTED_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "tests/process/entry_fleet.h"
#include "tests/process/raw_caller.h"
#include "tests/process/scripted_server.h"

namespace ibisladder::process {

/// What the caller of one request got.
struct CallResult {
  ReceivedAnswer answer;
  /// Number of attempts that servers answered.
  int attempts = 0;
  Duration took{};
};

/// For messages of failed assertions.
std::string Describe(const CallResult& result);

/// A real `ibisladder-entry` process before servers that all give the same
/// answer.
class ScriptedFleet {
 public:
  ScriptedFleet();

  /// Sends one request, for a target that starts with `prefix`, and waits for
  /// the end of its connection.
  CallResult Call(const std::string& method, const std::string& prefix,
                  std::size_t body_bytes, const ScriptedAnswer& answer);
  bool IsRunning() { return fleet_.IsRunning(1); }

 private:
  int answered() const;
  std::string Request(const std::string& method, const std::string& prefix,
                      std::size_t body_bytes);
  void AwaitServers();
  void RunLoop(Duration time);

  EntryFleet fleet_;
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  int last_call_ = 0;
};

}  // namespace ibisladder::process

#endif  // TESTS_PROCESS_SCRIPTED_FLEET_H_
