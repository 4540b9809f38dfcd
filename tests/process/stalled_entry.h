#ifndef TESTS_PROCESS_STALLED_ENTRY_H_
#define TESTS_PROCESS_STALLED_ENTRY_H_

#include <functional>
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

/// A real `ibisladder-entry` that is stalled again and again under steady
/// traffic. The store's stand-in, the backend servers and the callers share one
/// event loop.
namespace ibisladder::process {

/// A request as its caller saw it.
struct EntryCall {
  bool is_at_most_once = false;
  /// Number of stalls that had ended before.
  int stalls_before = 0;
  TimePoint sent_at;
  /// Empty as long as there is neither an answer nor a closed connection.
  std::optional<TimePoint> ended_at;
  /// 0 if the connection was closed without an answer.
  int status = 0;
  /// Of the answer's header field.
  std::string answered_id;
};

class StalledEntry {
 public:
  struct Options {
    int stalls = 25;
    std::uint64_t seed = 1;
  };

  /// Starts everything except the traffic. Throws std::runtime_error when the
  /// instance does not become ready.
  explicit StalledEntry(const Options& options);
  ~StalledEntry();
  StalledEntry(const StalledEntry&) = delete;
  StalledEntry& operator=(const StalledEntry&) = delete;

  /// Sends traffic and stalls the instance, until all calls have ended or may
  /// be taken for lost, and late executions have been counted.
  void Run();

  /// By request id.
  const std::map<std::string, EntryCall>& calls() const { return calls_; }
  const Executions& executions() const { return executions_; }
  /// End of the last stall.
  TimePoint resumed_at() const { return resumed_at_; }
  /// Returns the instance's log lines with this text.
  std::string LogLinesWith(const std::string& text) const;

 private:
  Endpoint At(int offset) const;
  std::string File(const std::string& name) const;
  void StartServers();
  void StartInstance();
  void AwaitReady();
  void SendTraffic();
  void SendCall(bool is_at_most_once);
  void EndCall(std::uint64_t number, int status, const net::Headers& headers);
  /// Starts the time between two stalls.
  void StartInterval();
  void StartStall();
  void EndStall();
  void Disturb(Duration interval, Duration stall);
  void After(Duration delay, std::function<void()> action);

  Options options_;
  /// Of the stalls. Separate, so that they don't depend on the number of calls.
  Random random_;
  Random call_random_;
  testing::PortRange ports_;
  std::string directory_;
  std::unique_ptr<net::EventLoop> loop_ = std::move(*net::EventLoop::Create());
  platform::StoreStandin store_;
  Executions executions_;
  std::vector<std::unique_ptr<ClosingServer>> servers_;
  net::HttpClient client_;
  std::optional<ChildProcess> instance_;
  std::vector<std::unique_ptr<net::Timer>> timers_;
  std::unique_ptr<net::Timer> traffic_;
  int traffic_ticks_ = 0;
  int stalls_ = 0;
  Duration stall_{};
  TimePoint resumed_at_;
  std::uint64_t last_call_ = 0;
  int last_ready_status_ = 0;
  std::unordered_map<std::uint64_t, std::string> open_calls_;
  std::map<std::string, EntryCall> calls_;
};

}  // namespace ibisladder::process

#endif  // TESTS_PROCESS_STALLED_ENTRY_H_
