#include "tests/process/entry_fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "platform/wire_names.h"
#include "tests/process/entry_setup.h"

namespace ibisladder::process {
namespace {

constexpr int kStoreOffset = 0;
constexpr int kServerOffset = 1;
constexpr int kInstanceOffset = 20;
/// Ports of one instance: callers, ready, directory, peers, metrics.
constexpr int kPortsPerInstance = 5;
constexpr int kSlots = 8;
constexpr std::size_t kMaxCallerConnections = 500;
constexpr Duration kCallTimeout = Seconds(6);
constexpr char kTimeoutMs[] = "3000";
constexpr Duration kReadyTimeout = Seconds(15);
constexpr Duration kReadyPollInterval = Millis(20);
constexpr int kStatusOk = 200;
/// Time from a server's crash to its replacement.
constexpr Duration kRestartTime = Millis(1500);
constexpr char kSentPrefix[] = "sent-";

std::string ServerName(int number) { return "s" + std::to_string(number); }
bool IsAtMostOnce(std::uint64_t call) { return call % 2 == 0; }
std::string RequestId(std::uint64_t call) {
  return "call-" + std::to_string(call);
}
std::string InstanceName(int number) { return "n" + std::to_string(number); }

}  // namespace

EntryFleet::EntryFleet(const Options& options)
    : options_(options), store_(*loop_, At(kStoreOffset)), client_(*loop_) {
  // Like the instances, since a peer may close before all bytes are written.
  std::signal(SIGPIPE, SIG_IGN);
  std::string pattern =
      (std::filesystem::temp_directory_path() / "limits-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  client_.signal_answer().connect(
      [this](net::HttpAnswer& it) { EndCall(it.id, it.status, it.headers); });
  client_.signal_error().connect([this](const net::HttpError& it) {
    // A timeout is neither an answer nor a closed connection.
    if (it.failure != net::HttpFailure::kTimeout) EndCall(it.id, 0, {});
  });
  StartServers();
  for (int i = 1; i <= options_.instances; ++i) StartInstance(i);
  for (int i = 1; i <= options_.instances; ++i) AwaitReady(i);
}

EntryFleet::~EntryFleet() {
  std::error_code ec;
  std::filesystem::remove_all(directory_, ec);
}

Endpoint EntryFleet::At(int offset) const {
  return {"127.0.0.1", ports_.At(offset)};
}

std::string EntryFleet::File(const std::string& name) const {
  return directory_ + "/" + name;
}

void EntryFleet::StartServers() {
  store_.Put(platform::kConfigurationKey, options_.configuration.empty()
                                              ? ConfigurationValue("127.0.0.1")
                                              : options_.configuration);
  for (int i = 1; i <= options_.servers; ++i) {
    const Endpoint endpoint = At(kServerOffset + i);
    auto server =
        ClosingServer::Listen(*loop_, endpoint, ServerName(i), executions_);
    if (!server) throw std::runtime_error(server.error().message);
    servers_.push_back(std::move(*server));
    names_.push_back(ServerName(i));
    store_.Put(platform::kServersPrefix + ServerName(i),
               ServerValue(endpoint, kSlots));
  }
}

void EntryFleet::ListServer(const std::string& name, const Endpoint& endpoint) {
  store_.Put(platform::kServersPrefix + name, ServerValue(endpoint, kSlots));
}

void EntryFleet::StartInstance(int instance) {
  const std::string name = InstanceName(instance);
  const std::string settings = File(name + ".toml");
  const int first = kInstanceOffset + instance * kPortsPerInstance;
  WriteSettings(settings, name,
                {At(first), At(first + 1), At(first + 2), At(kStoreOffset),
                 ports_.At(first + 3)});
  instances_.insert_or_assign(
      instance,
      ChildProcess({IBIS_BIN_DIR "/ibisladder-entry", "--settings=" + settings,
                    "--metrics_port=" + std::to_string(ports_.At(first + 4))},
                   File(name + ".out"), File(name + ".log")));
}

void EntryFleet::AwaitReady(int instance) {
  const TimePoint end = net::MonotonicNow() + kReadyTimeout;
  last_ready_status_ = 0;
  const net::Timer poll(
      *loop_, net::Timer::Kind::kPeriodic, kReadyPollInterval, [&] {
        if (last_ready_status_ == kStatusOk || net::MonotonicNow() > end) {
          loop_->Stop();
          return;
        }
        net::HttpCall call;
        call.id = ++last_call_;
        call.endpoint = At(kInstanceOffset + instance * kPortsPerInstance + 1);
        call.target = platform::kReadyPath;
        client_.Send(call);
      });
  loop_->Run();
  if (last_ready_status_ != kStatusOk) {
    throw std::runtime_error("an instance does not become ready\n" +
                             ReadFile(File(InstanceName(instance) + ".out")));
  }
}

void EntryFleet::RunLoop(Duration time) {
  const net::Timer end(*loop_, net::Timer::Kind::kOnce, time,
                       [this] { loop_->Stop(); });
  loop_->Run();
}

void EntryFleet::Run(Duration time) {
  const auto interval =
      Micros(static_cast<std::int64_t>(1e6 / options_.requests_per_second));
  const net::Timer traffic(*loop_, net::Timer::Kind::kPeriodic, interval,
                           [this] { SendCall(); });
  RunLoop(time);
}

void EntryFleet::Settle() { RunLoop(kCallTimeout); }

void EntryFleet::RunUntilSettled() {
  constexpr Duration kPollInterval = Millis(20);
  const auto is_open = [](const auto& it) { return !it.second.ended_at; };
  const net::Timer poll(*loop_, net::Timer::Kind::kPeriodic, kPollInterval,
                        [&] {
                          if (std::ranges::none_of(calls_, is_open)) {
                            loop_->Stop();
                          }
                        });
  RunLoop(kCallTimeout);
}

std::size_t EntryFleet::PeakMemory(int instance) const {
  return instances_.at(instance).PeakMemory();
}

Endpoint EntryFleet::PortOf(int instance, int port) const {
  return At(kInstanceOffset + instance * kPortsPerInstance + port);
}

void EntryFleet::SetHeaders(int server, const net::Headers& headers) {
  servers_.at(server - 1)->SetExtraHeaders(headers);
}

void EntryFleet::SetCrashingTarget(const std::string& target) {
  crashing_target_ = target;
  for (int i = 1; i <= options_.servers; ++i) {
    servers_[i - 1]->SetCrashingTarget(target, [this, i] {
      restarts_.push_back(std::make_unique<net::Timer>(
          *loop_, net::Timer::Kind::kOnce, kRestartTime,
          [this, i] { ReplaceServer(i); }));
    });
  }
}

void EntryFleet::ReplaceServer(int server) {
  const std::string name =
      ServerName(server) + "-" + std::to_string(++last_name_);
  const Endpoint endpoint = At(kServerOffset + server);
  auto replacement = ClosingServer::Listen(*loop_, endpoint, name, executions_);
  if (!replacement) throw std::runtime_error(replacement.error().message);
  crashed_servers_.push_back(
      std::exchange(servers_[server - 1], std::move(*replacement)));
  store_.Remove(platform::kServersPrefix +
                std::exchange(names_[server - 1], name));
  store_.Put(platform::kServersPrefix + name, ServerValue(endpoint, kSlots));
  SetCrashingTarget(crashing_target_);
}

void EntryFleet::SendBody(const std::string& target, const std::string& body) {
  net::HttpCall call;
  call.id = ++last_call_;
  const auto instance =
      1 + UniformBelow(random_, static_cast<unsigned>(options_.instances));
  call.endpoint =
      At(kInstanceOffset + static_cast<int>(instance) * kPortsPerInstance);
  call.target = target;
  if (!body.empty()) call.method = "POST";
  call.body = body;
  call.headers = {{platform::kRequestId, kSentPrefix + std::to_string(call.id)},
                  {platform::kTimeoutMs, kTimeoutMs}};
  call.timeout = kCallTimeout;
  call.max_connections = kMaxCallerConnections;
  sent_statuses_[call.id] = 0;
  client_.Send(call);
}

std::vector<int> EntryFleet::StatusesOfSent() const {
  std::vector<int> statuses;
  for (const auto& [id, status] : sent_statuses_) statuses.push_back(status);
  return statuses;
}

std::vector<TimePoint> EntryFleet::ExecutionsOfSent() const {
  std::vector<TimePoint> times;
  for (const auto& [id, runs] : executions_) {
    if (!id.starts_with(kSentPrefix)) continue;
    for (const Execution& it : runs) times.push_back(it.at);
  }
  std::ranges::sort(times);
  return times;
}

void EntryFleet::Restart(int instance) {
  instances_.at(instance).Signal(SIGKILL);
  instances_.at(instance).Wait(std::chrono::seconds(5));
  StartInstance(instance);
}

bool EntryFleet::IsRunning(int instance) {
  return !instances_.at(instance).Wait(std::chrono::milliseconds(0));
}

void EntryFleet::SendCall() {
  net::HttpCall call;
  call.id = ++last_call_;
  const bool is_at_most_once = IsAtMostOnce(call.id);
  const int instance =
      1 +
      static_cast<int>(call.id / 2 % static_cast<unsigned>(options_.instances));
  call.endpoint = At(kInstanceOffset + instance * kPortsPerInstance);
  call.method = is_at_most_once ? "POST" : "GET";
  call.target = is_at_most_once ? "/charge/1" : "/browse/1";
  call.headers = {{platform::kRequestId, RequestId(call.id)},
                  {platform::kTimeoutMs, kTimeoutMs}};
  call.headers.insert(call.headers.end(), options_.headers.begin(),
                      options_.headers.end());
  call.body = is_at_most_once ? "amount=1" : "";
  call.timeout = kCallTimeout;
  call.max_connections = kMaxCallerConnections;
  calls_[call.id].sent_at = net::MonotonicNow();
  client_.Send(call);
}

void EntryFleet::EndCall(std::uint64_t number, int status,
                         const net::Headers& headers) {
  if (const auto it = sent_statuses_.find(number); it != sent_statuses_.end()) {
    it->second = status;
    return;
  }
  const auto it = calls_.find(number);
  if (it == calls_.end()) {
    last_ready_status_ = status;
    return;
  }
  it->second.ended_at = net::MonotonicNow();
  it->second.status = status;
  if (const auto* text = net::FindHeader(headers, "Retry-After")) {
    it->second.retry_after = *text;
  }
}

std::vector<FleetCall> EntryFleet::CallsSince(TimePoint since) const {
  std::vector<FleetCall> calls;
  for (const auto& [id, call] : calls_) {
    if (call.sent_at >= since) calls.push_back(call);
  }
  return calls;
}

std::size_t EntryFleet::MostWithin(int server, Duration window, TimePoint from,
                                   TimePoint to) const {
  std::vector<TimePoint> times;
  for (const auto& [id, runs] : executions_) {
    for (const Execution& it : runs) {
      const bool counts =
          it.server == ServerName(server) && it.at >= from && it.at < to;
      if (counts) times.push_back(it.at);
    }
  }
  std::ranges::sort(times);
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] >= window) ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

std::size_t EntryFleet::CountAt(int server, TimePoint from,
                                TimePoint to) const {
  return MostWithin(server, to - from, from, to);
}

std::size_t EntryFleet::repeated_at_most_once() const {
  std::size_t n = 0;
  for (const auto& [number, call] : calls_) {
    const auto runs = executions_.find(RequestId(number));
    if (!IsAtMostOnce(number) || runs == executions_.end()) continue;
    n += runs->second.size() - 1;
  }
  return n;
}

std::size_t EntryFleet::CountLogLines(const std::string& text) const {
  std::size_t n = 0;
  for (int i = 1; i <= options_.instances; ++i) {
    std::istringstream log(ReadFile(File(InstanceName(i) + ".out")));
    for (std::string line; std::getline(log, line);) {
      if (line.find(text) != std::string::npos) ++n;
    }
  }
  return n;
}

}  // namespace ibisladder::process
