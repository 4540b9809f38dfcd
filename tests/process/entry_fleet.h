#ifndef TESTS_PROCESS_ENTRY_FLEET_H_
#define TESTS_PROCESS_ENTRY_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/net/http_client.h"
#include "tests/auto/platform/store_standin.h"
#include "tests/auto/support/port_range.h"
#include "tests/process/child_process.h"
#include "tests/process/closing_server.h"

/// Several real `ibisladder-entry` processes under steady traffic before
/// backend servers that name limits. The store's stand-in, the servers and the
/// callers share one event loop.
namespace ibisladder::process {

/// A request as its caller saw it.
struct FleetCall {
  TimePoint sent_at;
  /// Empty as long as there is neither an answer nor a closed connection.
  std::optional<TimePoint> ended_at;
  /// 0 if the connection was closed without an answer.
  int status = 0;
  /// Of a refusal; empty without the field.
  std::string retry_after;
};

class EntryFleet {
 public:
  struct Options {
    int instances = 8;
    int servers = 6;
    double requests_per_second = 120;
    /// Value of the store's configuration; empty: two routes without problems.
    std::string configuration;
    /// Added to the requests of Run.
    net::Headers headers;
  };

  /// Starts everything except the traffic. Throws std::runtime_error when an
  /// instance does not become ready.
  explicit EntryFleet(const Options& options);
  ~EntryFleet();
  EntryFleet(const EntryFleet&) = delete;
  EntryFleet& operator=(const EntryFleet&) = delete;

  /// Sends requests to the instances by turns for `time`; every second one is
  /// at-most-once.
  void Run(Duration time);
  /// Waits as long as a request in flight may take.
  void Settle();
  /// Waits until the requests of Run have ended, at most as long.
  void RunUntilSettled();
  /// Fields that the server adds to its answers from now on. `server` counts
  /// from 1.
  void SetHeaders(int server, const net::Headers& headers);
  /// Requests with this target crash the servers from now on; each is replaced
  /// after a while by one with another name at the same address.
  void SetCrashingTarget(const std::string& target);
  /// Sends one request to a random instance.
  void SendTo(const std::string& target) { SendBody(target, ""); }
  void SendBody(const std::string& target, const std::string& body);
  /// Returns the statuses of the requests that SendTo sent; 0 without an
  /// answer.
  std::vector<int> StatusesOfSent() const;
  /// Returns when servers executed requests that SendTo sent.
  std::vector<TimePoint> ExecutionsOfSent() const;
  /// Kills an instance and starts it again. `instance` counts from 1.
  void Restart(int instance);

  /// Adds a server of the test's own to the store's list.
  void ListServer(const std::string& name, const Endpoint& endpoint);
  /// Returns an endpoint that nothing else uses in a fleet of up to four
  /// instances. `i` is from 0 to 48.
  Endpoint UnusedEndpoint(int i) const { return At(kUnusedOffset + i); }
  net::EventLoop& loop() { return *loop_; }

  std::vector<FleetCall> CallsSince(TimePoint since) const;
  /// Returns the largest number of requests that the server got within
  /// `window`, in any such time between `from` and `to`.
  std::size_t MostWithin(int server, Duration window, TimePoint from,
                         TimePoint to) const;
  std::size_t CountAt(int server, TimePoint from, TimePoint to) const;
  /// Number of executions of at-most-once requests beyond their first ones.
  std::size_t repeated_at_most_once() const;
  /// Returns the number of log lines of all instances with this text.
  std::size_t CountLogLines(const std::string& text) const;
  bool IsRunning(int instance);
  /// Returns the largest resident memory of the instance so far, bytes.
  std::size_t PeakMemory(int instance) const;
  Endpoint CallerEndpoint(int instance) const { return PortOf(instance, 0); }
  Endpoint ReadyEndpoint(int instance) const { return PortOf(instance, 1); }
  Endpoint DirectoryEndpoint(int instance) const { return PortOf(instance, 2); }
  Endpoint PeerEndpoint(int instance) const { return PortOf(instance, 3); }
  Endpoint MetricsEndpoint(int instance) const { return PortOf(instance, 4); }

 private:
  static constexpr int kUnusedOffset = 50;

  Endpoint At(int offset) const;
  Endpoint PortOf(int instance, int port) const;
  std::string File(const std::string& name) const;
  void StartServers();
  void StartInstance(int instance);
  void AwaitReady(int instance);
  void SendCall();
  void ReplaceServer(int server);
  void EndCall(std::uint64_t number, int status, const net::Headers& headers);
  void RunLoop(Duration time);

  Options options_;
  testing::PortRange ports_;
  std::string directory_;
  std::unique_ptr<net::EventLoop> loop_ = std::move(*net::EventLoop::Create());
  platform::StoreStandin store_;
  Executions executions_;
  std::vector<std::unique_ptr<ClosingServer>> servers_;
  /// Crashed servers, which may still be on the call stack.
  std::vector<std::unique_ptr<ClosingServer>> crashed_servers_;
  std::vector<std::unique_ptr<net::Timer>> restarts_;
  std::vector<std::string> names_;
  std::string crashing_target_;
  int last_name_ = 0;
  Random random_;
  net::HttpClient client_;
  std::map<int, ChildProcess> instances_;
  std::uint64_t last_call_ = 0;
  int last_ready_status_ = 0;
  std::map<std::uint64_t, FleetCall> calls_;
  std::map<std::uint64_t, int> sent_statuses_;
};

}  // namespace ibisladder::process

#endif  // TESTS_PROCESS_ENTRY_FLEET_H_
