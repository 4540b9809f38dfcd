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

/// A small fleet of real processes on loopback, and its evidence.
namespace ibisladder::process {

constexpr std::chrono::milliseconds kLongTimeout(15000);

/// What a caller was told, from the stand-in's records.
struct CallRecord {
  std::string id;
  std::string outcome;
  int code = 0;
  int tries = 0;
  bool whole = true;
};

/// A finished or running stand-in caller.
struct CallerRun {
  ChildProcess process;
  std::string record_file;
  std::string out_file;
};

struct FleetOptions {
  int instances = 3;
  int servers = 4;
  int service_ms = 5;
  /// Puts server 1 behind a link that SetLink cuts.
  bool linked_server = false;
  /// Changes to each instance's settings.
  nlohmann::json settings = nlohmann::json::object();
};

/// Platform, entry instances 1..n and one backend process with the servers s1..
/// of the service "shop", with routes /browse (idempotent) and /charge
/// (at-most-once). Ends all of them when it goes out of scope.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);

  /// Starts everything, applies the declarations and waits until all instances
  /// are ready. Throws std::runtime_error with the logs when they do not get
  /// so.
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
  /// Where the declarations say that the server is.
  Endpoint DeclaredEndpoint(int number) const;

  /// Replaces the platform's instance list; numbers in `leaving` are told so.
  void List(const std::vector<int>& instances,
            const std::vector<int>& leaving = {},
            const std::vector<std::string>& leaving_servers = {}) const;
  void SetPlatformFaults(const nlohmann::json& faults) const;
  /// Mode of a backend server, as its stand-in takes it.
  void SetServerMode(int number, const nlohmann::json& mode) const;

  /// State of the link to server 1, as its stand-in takes it.
  void SetLink(const nlohmann::json& link) const;
  /// State of a backend server as an instance reports it, such as "ejected".
  std::string ServerState(int instance, const std::string& server) const;

  /// Calls an operators' procedure in JSON; null when there was no answer.
  nlohmann::json Call(int instance, const std::string& procedure,
                      const nlohmann::json& request) const;
  /// Declarations as applied by Start, for changes.
  nlohmann::json Declarations() const;
  nlohmann::json Apply(int instance, const nlohmann::json& declarations,
                       std::uint64_t based_on,
                       const std::string& change_id) const;
  bool IsReady(int instance) const;
  std::uint64_t VersionOf(int instance) const;

  /// Starts a stand-in caller against `entries` with further flags.
  CallerRun StartCaller(const std::vector<int>& entries,
                        const std::vector<std::string>& flags);
  /// Waits for the caller and reads its records.
  std::vector<CallRecord> Finish(CallerRun& run,
                                 std::chrono::milliseconds timeout) const;

  /// Executions by request id, over all backend servers.
  std::map<std::string, int> Executions() const;
  /// Lines of one server in the execution log.
  int ExecutionsOf(int server) const;
  /// Logs of all processes, for failure messages.
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

/// The independent judge of at-most-once: no id executed twice, no id told
/// "not-run" executed, every answer whole. Empty when all holds, else the
/// violations.
std::string FindAtMostOnceViolations(
    const std::vector<CallRecord>& records,
    const std::map<std::string, int>& executions);

}  // namespace ibisladder::process

#endif  // TESTS_PROCESS_FLEET_H_
