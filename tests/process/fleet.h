#ifndef TESTS_PROCESS_FLEET_H_
#define TESTS_PROCESS_FLEET_H_

#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libs/base/strong_types.h"
#include "tests/auto/support/port_range.h"
#include "tests/process/child_process.h"

/// A small fleet of real processes on loopback, and checks of its records.
namespace ibisladder::process {

constexpr std::chrono::milliseconds kLongTimeout(15000);

/// Result of one call, as the stand-in caller recorded it.
struct CallRecord {
  std::string id;
  std::string outcome;
  int code = 0;
  int tries = 0;
  /// Whether the answer belonged to this call.
  bool whole = true;
};

/// A running or finished stand-in caller.
struct CallerRun {
  ChildProcess process;
  std::string record_file;
  std::string out_file;
};

struct FleetOptions {
  int instances = 3;
  int servers = 4;
  int service_ms = 5;
  /// Puts server 1 behind a link that SetLink can cut.
  bool linked_server = false;
  /// Changes to each instance's settings.
  nlohmann::json settings = nlohmann::json::object();
};

/// The platform's stand-in, entry instances 1..n, and one backend process with
/// the servers s1.. of the service "shop". Its routes are /browse (idempotent)
/// and /charge (at-most-once). Kills all processes when it goes out of scope.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);

  /// Starts everything, applies the declarations and waits until all instances
  /// are ready. Throws std::runtime_error with the logs when this takes too
  /// long.
  void Start();

  void StartPlatform();
  void StartInstance(int number);
  void StartBackend();
  void StartLink();
  ChildProcess& instance(int number) { return instances_.at(number); }
  ChildProcess& backend() { return *backend_; }
  void KillPlatform() { platform_.reset(); }

  Endpoint CallerEndpoint(int number) const;
  Endpoint PeerEndpoint(int number) const;
  Endpoint OperatorEndpoint(int number) const;
  Endpoint PlatformEndpoint() const;
  Endpoint ServerEndpoint(int number) const;
  /// Address of the server in the declarations, which is that of the link if it
  /// has one.
  Endpoint DeclaredEndpoint(int number) const;

  /// Replaces the platform's instance list. Instances in `leaving` and servers
  /// in `leaving_servers` are listed as leaving.
  void SetInstanceList(
      const std::vector<int>& instances, const std::vector<int>& leaving = {},
      const std::vector<std::string>& leaving_servers = {}) const;
  void SetPlatformFaults(const nlohmann::json& faults) const;
  /// Sets the mode of a backend server; see standins/backend.cc.
  void SetServerMode(int number, const nlohmann::json& mode) const;

  /// Sets the state of the link to server 1; see standins/relay.cc.
  void SetLink(const nlohmann::json& link) const;
  /// Returns the state of a backend server as an instance reports it, such as
  /// "ejected", or an empty string.
  std::string ServerState(int instance, const std::string& server) const;

  /// Calls an operator procedure with JSON. Returns null when there is no
  /// answer.
  nlohmann::json Call(int instance, const std::string& procedure,
                      const nlohmann::json& request) const;
  /// Returns the declarations that Start applies.
  nlohmann::json Declarations() const;
  nlohmann::json Apply(int instance, const nlohmann::json& declarations,
                       std::uint64_t based_on,
                       const std::string& change_id) const;
  bool IsReady(int instance) const;
  /// Returns the configuration version of an instance; 0 when there is none.
  std::uint64_t VersionOf(int instance) const;

  /// Starts a stand-in caller that uses the instances `entries`.
  CallerRun StartCaller(const std::vector<int>& entries,
                        const std::vector<std::string>& flags);
  /// Waits until the caller ends and reads its records. Throws
  /// std::runtime_error when it still runs after `timeout`.
  std::vector<CallRecord> Finish(CallerRun& run,
                                 std::chrono::milliseconds timeout) const;

  /// Returns the number of executions by request id, over all backend servers.
  std::map<std::string, int> Executions() const;
  /// Returns the number of executions on one server.
  int ExecutionsOf(int server) const;
  /// Returns the ends of all processes' logs, for failure messages.
  std::string Logs() const;

 private:
  Endpoint At(int offset) const;
  std::string File(const std::string& name) const;
  std::string Program(const std::string& name) const;

  FleetOptions options_;
  testing::PortRange ports_;
  std::string directory_;
  int runs_ = 0;
  std::unique_ptr<ChildProcess> platform_;
  std::unique_ptr<ChildProcess> backend_;
  std::unique_ptr<ChildProcess> link_;
  std::map<int, ChildProcess> instances_;
};

/// Checks at-most-once by the servers' execution log, independently of the
/// entry instances: no request id with a ticket was executed twice, none
/// reported as "not-run" was executed, each one reported as "done" was
/// executed, and all answers belong to their calls. Returns the violations, or
/// an empty string.
std::string FindAtMostOnceViolations(
    const std::vector<CallRecord>& records,
    const std::map<std::string, int>& executions);

}  // namespace ibisladder::process

#endif  // TESTS_PROCESS_FLEET_H_
