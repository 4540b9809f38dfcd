#include "entry.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

using nlohmann::json;

constexpr int kFileMode = 0644;
constexpr int kNotStarted = 127;
constexpr double kKilobytesPerMegabyte = 1024;
/// The limits that `fleetbench wire` shows for all sites in force.
constexpr int kHeaderBytes = 16384;
constexpr int kBodyBytes = 67108864;

bool IsFree(const Address& address) {
  const int fd = Listen(address);
  if (fd >= 0) close(fd);
  return fd >= 0;
}

/// Returns the words of the command of the role in the deploy file.
std::vector<std::string> DeployedCommand(const std::string& root) {
  std::ifstream file(root + "/deploy/system.toml");
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with("run = \"")) continue;
    const std::size_t begin = line.find('"') + 1;
    std::istringstream words(line.substr(begin, line.rfind('"') - begin));
    std::vector<std::string> command;
    for (std::string it; words >> it;) command.push_back(it);
    return command;
  }
  throw std::runtime_error("no command in deploy/system.toml");
}

double MemoryField(pid_t pid, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string word; status >> word;) {
    double kilobytes = 0;
    if (word == name && status >> kilobytes)
      return kilobytes / kKilobytesPerMegabyte;
  }
  return 0;
}

}  // namespace

std::string FreeSubnet(int machines) {
  constexpr std::array<std::uint16_t, 7> kPorts = {
      kStorePort, kReadyPort,   kControlPort, kDirectoryPort,
      kFrontPort, kMetricsPort, kInternalPort};
  constexpr int kTries = 50;
  std::random_device device;
  std::uniform_int_distribution<int> number(2, 250);
  for (int i = 0; i < kTries; ++i) {
    const std::string subnet = "127." + std::to_string(number(device)) + "." +
                               std::to_string(number(device)) + ".";
    bool is_free = true;
    for (int n = 1; n <= machines; ++n) {
      for (const std::uint16_t port : kPorts)
        is_free = is_free && IsFree({subnet + std::to_string(n), port});
    }
    if (is_free) return subnet;
  }
  throw std::runtime_error("no free loopback addresses");
}

Entry::Entry(Machine machine, std::string root, std::string directory,
             Record& record)
    : machine_(std::move(machine)),
      root_(std::move(root)),
      directory_(std::move(directory)),
      record_(record) {
  WriteSettings();
}

Entry::~Entry() {
  ends_ = true;
  if (watching_.joinable()) watching_.join();
  if (pid_ > 0) Kill(SIGKILL);
}

void Entry::WriteSettings() const {
  const auto at = [this](std::uint16_t port) {
    return "\"" + machine_.ip + ":" + std::to_string(port) + "\"\n";
  };
  std::ofstream(directory_ + "/" + machine_.name + ".toml")
      << "[local_node]\nnode_name = \"" << machine_.name
      << "\"\nrole = \"entry\"\nmachine_class = \"edge\"\n"
      << "serves = [\"edge\",\"registry\",\"control\"]\nip = \"" << machine_.ip
      << "\"\nzone = \"" << machine_.zone << "\"\nregion = \"r\"\n"
      << "counts_as_loss = false\nbootstrap = true\n[local_node.limits]\n"
      << "cpu_share = 0.2\nvcpus = 1\nmemory_limit_mb = "
      << machine_.memory_limit_mb
      << "\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
      << "[net]\ninternal_ports = [" << kInternalPort << ","
      << kInternalPort + 15 << "]\nseeds = ["
      << "\"" << machine_.ip << ":" << kControlPort
      << "\"]\n[net.listen]\nfront = " << at(kFrontPort)
      << "ready = " << at(kReadyPort) << "control = " << at(kControlPort)
      << "directory = " << at(kDirectoryPort) << "[net.zones]\n"
      << machine_.zone << " = \"r\"\n[provider]\ndiscovery = \"platform\"\n"
      << "entry = \"registry\"\nheartbeat_s = 1.5\n[provider.provider]\n"
      << "addr = \"" << ToString(machine_.store)
      << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
      << "history_s = 20\nvalue_bytes = 1048576\nttl_min_s = 1\n"
      << "[terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\","
      << "\"retry\",\"recover\",\"health\",\"platform\"]\n"
      << "[terms.fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
      << "[terms.bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_s = 3\n"
      << "ack_s = 4\nsync_s = 4\ndrain_s = 2\ngrace_s = " << machine_.grace_s
      << "\nloss_slack_s = 0.2\napply_s = 2\nrevert_s = 0.25\nouter_s = 5\n"
      << "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 56\n"
      << "recover_s = 15\nttl_max_s = 5\nprobes_per_s = 3\nfloor_share = 0.7\n";
}

void Entry::Start() {
  std::vector<std::string> command = DeployedCommand(root_);
  std::vector<char*> argv;
  for (auto& it : command) argv.push_back(it.data());
  argv.push_back(nullptr);
  std::string boot =
      "IBISLADDER_BOOT=" + directory_ + "/" + machine_.name + ".toml";
  std::string path = "PATH=/usr/bin:/bin";
  std::string home = "HOME=/tmp";
  std::array<char*, 4> environment = {boot.data(), path.data(), home.data(),
                                      nullptr};
  const std::string log = directory_ + "/" + machine_.name + ".log";
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    // The process ends with this one, also if that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kFileMode);
    const bool is_set =
        getppid() == parent && fd >= 0 && dup2(fd, STDOUT_FILENO) >= 0 &&
        dup2(fd, STDERR_FILENO) >= 0 && chdir(root_.c_str()) == 0;
    if (is_set) execve(argv[0], argv.data(), environment.data());
    _exit(kNotStarted);
  }
  record_.Write("started " + machine_.name + " as process " +
                std::to_string(pid_));
}

void Entry::Kill(int number) {
  if (pid_ <= 0) return;
  kill(pid_, SIGCONT);
  kill(pid_, number);
  waitpid(pid_, nullptr, 0);
  record_.Write("process " + std::to_string(pid_) + " has ended");
  pid_ = -1;
}

bool Entry::IsRunning() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) != pid_) return true;
  record_.Write("process " + std::to_string(pid_) + " has ended");
  pid_ = -1;
  return false;
}

bool Entry::IsReady() const {
  constexpr Millis kTimeout(300);
  const Socket socket = Socket::Connect({machine_.ip, kReadyPort}, kTimeout);
  if (!socket.is_open()) return false;
  if (!socket.Send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
    return false;
  Reader reader(socket);
  Message answer;
  return reader.Read(answer, kTimeout, true) == Reader::End::kComplete &&
         answer.Status() == 200;
}

bool Entry::AwaitReady(Millis timeout) const {
  constexpr Millis kPause(20);
  const auto until = Clock::now() + timeout;
  while (!IsReady()) {
    if (Clock::now() > until) return false;
    std::this_thread::sleep_for(kPause);
  }
  return true;
}

void Entry::EnforceMemoryLimit() {
  watching_ = std::thread([this] { WatchMemory(); });
}

void Entry::WatchMemory() {
  constexpr std::chrono::microseconds kPause(500);
  while (!ends_) {
    std::this_thread::sleep_for(kPause);
    const double used = MemoryField(pid_, "VmRSS:");
    if (used <= machine_.memory_limit_mb) continue;
    kill(pid_, SIGKILL);
    was_killed_ = true;
    record_.Report("machine " + machine_.name + " kills the process at " +
                   std::to_string(used) + " MB of memory");
    return;
  }
}

double Entry::PeakMegabytes() const { return MemoryField(pid_, "VmHWM:"); }

std::string Configuration(int version, const std::vector<RouteSpec>& routes,
                          const std::vector<std::string>& services) {
  json items = json::array();
  for (const RouteSpec& it : routes) {
    items.push_back(
        {{"entry_kind", "routes"},
         {"meta", {{"name", "r-" + it.prefix.substr(1, 3)}}},
         {"spec",
          {{"host", kHost},
           {"prefix", it.prefix},
           {"kind", it.is_idempotent ? "idempotent" : "non_idempotent"},
           {"timeout_s", it.timeout_s},
           {"target_latency_s", it.target_latency_s},
           {"priority", it.priority},
           {"max_attempts", it.max_attempts},
           {"service", it.service}}}});
  }
  for (const std::string& it : services) {
    items.push_back({{"entry_kind", "services"},
                     {"meta", {{"name", it}}},
                     {"spec",
                      {{"health_path", "/healthz"},
                       {"max_conns", 330},
                       {"proto", "h1"},
                       {"tls", false}}}});
  }
  items.push_back({{"entry_kind", "limits"},
                   {"meta", json::object()},
                   {"spec",
                    {{"header_bytes", kHeaderBytes},
                     {"body_bytes", kBodyBytes},
                     {"header_timeout_s", 3},
                     {"idle_timeout_s", 15}}}});
  return json{{"version", version}, {"resources", items}}.dump();
}

CaseOptions ReadOptions(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    std::cerr << "usage: " << argv[0] << " REPOSITORY FOLDER\n";
    std::_Exit(kNotRun);
  }
  CaseOptions options;
  options.root = argv[1];
  options.folder = argv[2];
  const char* trouble = std::getenv("TROUBLE");
  options.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) std::_Exit(kNotRun);
  options.temporary = pattern;
  return options;
}

void FinishCase(const CaseOptions& options, int status) {
  std::error_code ec;
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(options.temporary, ec);
  std::cout.flush();
  std::_Exit(status);
}

}  // namespace review
