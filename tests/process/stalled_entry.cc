#include "tests/process/stalled_entry.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "platform/wire_names.h"
#include "tests/process/entry_setup.h"

namespace ibisladder::process {
namespace {

constexpr int kStoreOffset = 0;
constexpr int kCallersOffset = 1;
constexpr int kReadyOffset = 2;
constexpr int kDirectoryOffset = 3;
constexpr int kPeerOffset = 4;
constexpr int kServerOffset = 20;

constexpr int kServers = 6;
/// Enough that the requests of a stall are sent on at once.
constexpr int kSlots = 32;
constexpr Duration kTrafficInterval = Millis(20);
constexpr int kAtMostOncePerTick = 2;
/// One idempotent request in as many ticks.
constexpr int kIdempotentTicks = 2;
/// Requests that arrive just before a stall.
constexpr int kBurst = 12;
constexpr std::size_t kMaxCallerConnections = 500;
/// Longer than any stall and deadline together.
constexpr Duration kCallTimeout = Seconds(10);
constexpr std::int64_t kMinDeadlineMs = 400;
constexpr std::int64_t kMaxDeadlineMs = 3000;
constexpr std::int64_t kMinStallMs = 320;
constexpr std::int64_t kMaxStallMs = 900;
constexpr std::int64_t kMinIntervalMs = 50;
constexpr std::int64_t kMaxIntervalMs = 250;
/// How long the instance has handled the burst when the stall begins: less than
/// it needs, so that it often is between a connect and its report.
constexpr std::int64_t kMaxBurstMicros = 400;
constexpr Duration kTrafficAfterLastStall = Seconds(2);
constexpr Duration kSettleTime = Millis(3500);
constexpr Duration kReadyTimeout = Seconds(15);
constexpr Duration kReadyPollInterval = Millis(20);
constexpr int kStatusOk = 200;

std::int64_t Draw(Random& random, std::int64_t min, std::int64_t max) {
  const auto bound = static_cast<std::uint64_t>(max - min + 1);
  return min + static_cast<std::int64_t>(UniformBelow(random, bound));
}

std::string ServerName(int number) { return "s" + std::to_string(number); }

}  // namespace

StalledEntry::StalledEntry(const Options& options)
    : options_(options),
      random_(options.seed),
      call_random_(options.seed + 1),
      store_(*loop_, At(kStoreOffset)),
      client_(*loop_) {
  // Like the instance, since a peer may close before all bytes are written.
  std::signal(SIGPIPE, SIG_IGN);
  std::string pattern =
      (std::filesystem::temp_directory_path() / "stalled-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  client_.signal_answer().connect(
      [this](net::HttpAnswer& it) { EndCall(it.id, it.status, it.headers); });
  client_.signal_error().connect([this](const net::HttpError& it) {
    // A timeout is neither an answer nor a closed connection.
    if (it.failure != net::HttpFailure::kTimeout) EndCall(it.id, 0, {});
  });
  StartServers();
  StartInstance();
  AwaitReady();
}

StalledEntry::~StalledEntry() {
  std::error_code ec;
  std::filesystem::remove_all(directory_, ec);
}

Endpoint StalledEntry::At(int offset) const {
  return {"127.0.0.1", ports_.At(offset)};
}

std::string StalledEntry::File(const std::string& name) const {
  return directory_ + "/" + name;
}

void StalledEntry::StartServers() {
  store_.Put(platform::kConfigurationKey,
             ConfigurationValue(FormatEndpoint(At(kCallersOffset))));
  for (int i = 1; i <= kServers; ++i) {
    const Endpoint endpoint = At(kServerOffset + i);
    auto server =
        ClosingServer::Listen(*loop_, endpoint, ServerName(i), executions_);
    if (!server) throw std::runtime_error(server.error().message);
    servers_.push_back(std::move(*server));
    store_.Put(platform::kServersPrefix + ServerName(i),
               ServerValue(endpoint, kSlots));
  }
}

void StalledEntry::StartInstance() {
  const std::string settings = File("settings.toml");
  WriteSettings(settings, "n1",
                {At(kCallersOffset), At(kReadyOffset), At(kDirectoryOffset),
                 At(kStoreOffset), ports_.At(kPeerOffset)});
  instance_.emplace(std::vector<std::string>{IBIS_BIN_DIR "/ibisladder-entry",
                                             "--settings=" + settings},
                    File("instance.out"), File("instance.log"));
}

void StalledEntry::AwaitReady() {
  const TimePoint end = net::MonotonicNow() + kReadyTimeout;
  const net::Timer poll(
      *loop_, net::Timer::Kind::kPeriodic, kReadyPollInterval, [&] {
        if (last_ready_status_ == kStatusOk || net::MonotonicNow() > end) {
          loop_->Stop();
          return;
        }
        net::HttpCall call;
        call.id = ++last_call_;
        call.endpoint = At(kReadyOffset);
        call.target = platform::kReadyPath;
        client_.Send(call);
      });
  loop_->Run();
  if (last_ready_status_ != kStatusOk) {
    throw std::runtime_error("the instance does not become ready\n" +
                             LogLinesWith(""));
  }
}

void StalledEntry::Run() {
  traffic_ =
      std::make_unique<net::Timer>(*loop_, net::Timer::Kind::kPeriodic,
                                   kTrafficInterval, [this] { SendTraffic(); });
  StartInterval();
  loop_->Run();
}

void StalledEntry::SendTraffic() {
  for (int i = 0; i < kAtMostOncePerTick; ++i) SendCall(true);
  if (++traffic_ticks_ % kIdempotentTicks == 0) SendCall(false);
}

void StalledEntry::SendCall(bool is_at_most_once) {
  net::HttpCall call;
  call.id = ++last_call_;
  const std::string request_id = "call-" + std::to_string(call.id);
  call.endpoint = At(kCallersOffset);
  call.method = is_at_most_once ? "POST" : "GET";
  call.target = is_at_most_once ? "/charge/1" : "/browse/1";
  call.headers = {
      {platform::kRequestId, request_id},
      {platform::kTimeoutMs,
       std::to_string(Draw(call_random_, kMinDeadlineMs, kMaxDeadlineMs))}};
  call.body = is_at_most_once ? "amount=1" : "";
  call.timeout = kCallTimeout;
  call.max_connections = kMaxCallerConnections;
  open_calls_[call.id] = request_id;
  calls_[request_id] = {is_at_most_once, stalls_, net::MonotonicNow()};
  client_.Send(call);
}

void StalledEntry::EndCall(std::uint64_t number, int status,
                           const net::Headers& headers) {
  const auto it = open_calls_.find(number);
  if (it == open_calls_.end()) {
    last_ready_status_ = status;
    return;
  }
  EntryCall& call = calls_.at(it->second);
  open_calls_.erase(it);
  call.ended_at = net::MonotonicNow();
  call.status = status;
  const std::string* id = net::FindHeader(headers, platform::kRequestId);
  call.answered_id = id == nullptr ? "" : *id;
}

void StalledEntry::StartInterval() {
  timers_.clear();
  const Duration interval =
      Millis(Draw(random_, kMinIntervalMs, kMaxIntervalMs));
  stall_ = Millis(Draw(random_, kMinStallMs, kMaxStallMs));
  Disturb(interval, stall_);
  After(interval, [this] {
    for (int i = 0; i < kBurst; ++i) SendCall(true);
    // The burst is written in the next turn, before this timer runs.
    After(Duration::zero(), [this] {
      std::this_thread::sleep_for(Micros(Draw(random_, 0, kMaxBurstMicros)));
      StartStall();
    });
  });
}

void StalledEntry::StartStall() {
  instance_->Signal(SIGSTOP);
  After(stall_, [this] { EndStall(); });
}

void StalledEntry::EndStall() {
  instance_->Signal(SIGCONT);
  resumed_at_ = net::MonotonicNow();
  if (++stalls_ < options_.stalls) {
    StartInterval();
    return;
  }
  After(kTrafficAfterLastStall, [this] {
    traffic_.reset();
    After(kSettleTime, [this] { loop_->Stop(); });
  });
}

void StalledEntry::Disturb(Duration interval, Duration stall) {
  constexpr std::int64_t kDisturbances = 4;
  ClosingServer* server = servers_[Draw(random_, 0, kServers - 1)].get();
  const Duration start = Millis(Draw(random_, 0, ToMillis(interval)));
  // Before the stall ends, which drops the timers.
  const Duration end =
      interval + Millis(Draw(random_, 1, ToMillis(stall) * 3 / 4));
  switch (Draw(random_, 1, kDisturbances)) {
    case 1:
      After(start, [server] { server->SetAccepting(false); });
      After(end, [server] { server->SetAccepting(true); });
      break;
    case 2:
      After(start, [server] { server->SetResetting(true); });
      After(end, [server] { server->SetResetting(false); });
      break;
    default:
      break;
  }
}

void StalledEntry::After(Duration delay, std::function<void()> action) {
  timers_.push_back(std::make_unique<net::Timer>(
      *loop_, net::Timer::Kind::kOnce, delay, std::move(action)));
}

std::string StalledEntry::LogLinesWith(const std::string& text) const {
  std::istringstream log(ReadFile(File("instance.out")));
  std::string lines;
  for (std::string line; std::getline(log, line);) {
    if (line.find(text) != std::string::npos) lines += line + "\n";
  }
  return lines;
}

}  // namespace ibisladder::process
