#ifndef REVIEW_STANDINS_2_ENTRY_H_
#define REVIEW_STANDINS_2_ENTRY_H_

#include <sys/types.h>

#include <atomic>
#include <csignal>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

constexpr std::uint16_t kStorePort = 8541;
constexpr std::uint16_t kReadyPort = 8542;
constexpr std::uint16_t kControlPort = 8544;
constexpr std::uint16_t kDirectoryPort = 8546;
constexpr std::uint16_t kFrontPort = 8548;
constexpr std::uint16_t kMetricsPort = 9464;
constexpr std::uint16_t kInternalPort = 7540;

/// Returns "127.a.b." such that the ports of a machine are free on the
/// addresses 127.a.b.1 to 127.a.b.N.
std::string FreeSubnet(int machines);

/// A machine of the deployment.
struct Machine {
  std::string name = "edge-a-1";
  std::string ip;
  std::string zone = "a";
  int memory_limit_mb = 260;
  Address store;
  /// Seconds between SIGTERM and the end of the process.
  double grace_s = 6;
};

/// A process of the project, started with the command of the deploy file.
class Entry {
 public:
  /// Writes the settings into `directory`. `root` is the repository.
  Entry(Machine machine, std::string root, std::string directory,
        Record& record);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void Start();
  /// Ends the process with `number` and waits for its end.
  void Kill(int number);
  void Signal(int number) const { kill(pid_, number); }
  /// Returns false if it is not ready within `timeout`.
  bool AwaitReady(Millis timeout) const;
  bool IsReady() const;
  /// Whether the process runs.
  bool IsRunning();
  /// From now on, kills the process when its memory exceeds the machine's.
  void EnforceMemoryLimit();
  bool was_killed_for_memory() const { return was_killed_; }
  /// Largest resident memory so far, MB.
  double PeakMegabytes() const;

  Address front() const { return {machine_.ip, kFrontPort}; }
  const std::string& name() const { return machine_.name; }

 private:
  void WriteSettings() const;
  void WatchMemory();

  Machine machine_;
  std::string root_;
  std::string directory_;
  Record& record_;
  pid_t pid_ = -1;
  std::atomic<bool> ends_ = false;
  std::atomic<bool> was_killed_ = false;
  std::thread watching_;
};

struct Part {
  std::string service;
  double weight = 1;
};

struct RouteSpec {
  std::string prefix;
  bool is_idempotent = false;
  double timeout_s = 2;
  double target_latency_s = 1;
  int max_attempts = 2;
  int priority = 1;
  std::string service;
};

constexpr char kHost[] = "jepu9.example";

/// Returns a value of op/config with the limits that `fleetbench wire` shows.
std::string Configuration(int version, const std::vector<RouteSpec>& routes,
                          const std::vector<std::string>& services);

/// Arguments of a case: the repository, the folder of the case, and whether
/// the disruption happens.
struct CaseOptions {
  std::string root;
  std::string folder;
  /// A temporary folder, removed by FinishCase.
  std::string temporary;
  bool has_trouble = true;
};

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// Reads the command line and TROUBLE.
CaseOptions ReadOptions(int argc, char** argv);
/// Removes the temporary folder and ends this process with `status`, without
/// waiting for its threads.
[[noreturn]] void FinishCase(const CaseOptions& options, int status);

}  // namespace review

#endif  // REVIEW_STANDINS_2_ENTRY_H_
