// Uploads within the operator's limits, one at a time, at machines of 160 MB.
#include <algorithm>

#include "review/standins-3/standins.h"

namespace ibisladder::review {
namespace {

constexpr int kMachines = 2;
constexpr int kUploads = 3;
constexpr int kMemoryLimitMb = 160;
constexpr std::int64_t kKbPerMb = 1024;
constexpr int kStatusOk = 200;
/// Limit of the configuration, as `fleetbench wire` shows it: 64 MB.
constexpr std::size_t kBodyLimit = std::size_t{64} << 20U;
constexpr std::size_t kLargeBody = std::size_t{60} << 20U;
constexpr std::size_t kSmallBody = std::size_t{1} << 20U;
/// A rule's day has failed if processes end so often on that many machines.
constexpr int kEndsOfRule = 3;
constexpr int kMachinesOfRule = 2;

/// Ends a process whose memory exceeds the machine's limit, and starts it
/// again, as the platform does.
class Machine {
 public:
  explicit Machine(Entry& entry, Record& record)
      : entry_(entry), record_(record), thread_([this] { Watch(); }) {}
  ~Machine() {
    is_over_ = true;
    thread_.join();
  }
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  int ends() const { return ends_; }

 private:
  void Watch() {
    while (!is_over_) {
      std::this_thread::sleep_for(Millis(2));
      const std::int64_t peak = entry_.PeakMemoryKb();
      if (peak <= kMemoryLimitMb * kKbPerMb) continue;
      record_.Write("memory " + std::to_string(peak / kKbPerMb) +
                    " MB exceeds the machine's " +
                    std::to_string(kMemoryLimitMb) +
                    " MB: the process is killed and started again");
      ++ends_;
      entry_.Restart();
    }
  }

  Entry& entry_;
  Record& record_;
  std::atomic<bool> is_over_ = false;
  std::atomic<int> ends_ = 0;
  std::thread thread_;
};

int Play(Record& record, const std::string& folder) {
  static Store store;
  static Runs runs;
  static BackendServer first(store, runs, "s1", "shop");
  static BackendServer second(store, runs, "s2", "shop");
  Configuration configuration;
  configuration.body_bytes = kBodyLimit;
  store.Put("op/config", Format(configuration));
  int machines = 0;
  for (int i = 1; i <= kMachines; ++i) {
    const std::string name = "edge-" + std::to_string(i);
    Entry entry(store, folder, name, kMemoryLimitMb);
    Machine machine(entry, record);
    std::this_thread::sleep_for(Millis(1000));
    for (int n = 1; n <= kUploads; ++n) {
      Connection connection(entry.callers());
      const auto request =
          MakeRequest("POST", "/charge/1",
                      std::string(HasTrouble() ? kLargeBody : kSmallBody, 'x'));
      const int status = StatusOf(Ask(connection, request));
      record.Write(name + ": upload " + IdOf(request) + " of " +
                   std::to_string(request.body.size()) + " bytes: " +
                   (status == 0 ? "closed without an answer"
                                : "status " + std::to_string(status)) +
                   ", run " + std::to_string(runs.Of(IdOf(request)).size()) +
                   " times, peak memory " +
                   std::to_string(entry.PeakMemoryKb()) + " KB");
      std::this_thread::sleep_for(Millis(500));
      entry.AwaitReady();
    }
    record.Write(name + ": the process ended " +
                 std::to_string(machine.ends()) + " times");
    if (machine.ends() >= kEndsOfRule) ++machines;
  }
  return machines >= kMachinesOfRule ? kBroken : kHeld;
}

}  // namespace
}  // namespace ibisladder::review

int main(int argc, char** argv) {
  return ibisladder::review::RunCase(argc, argv, &ibisladder::review::Play);
}
