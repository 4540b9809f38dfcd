#include "tests/auto/gateway/server_history.h"

#include <algorithm>
#include <utility>

namespace ibisladder::gateway {
namespace {

constexpr Duration kStep = Millis(10);
/// How long nothing must have been wrong with a sound server, and with one that
/// failed by itself.
constexpr Duration kSoundAfter = Seconds(6);
constexpr Duration kSoundAfterOwnFailure = Seconds(2);
constexpr double kManyUnserved = 0.1;
constexpr double kMostUnserved = 0.5;
constexpr int kFloorPercent = 70;
constexpr int kPercent = 100;
constexpr int kStatusOk = 200;
constexpr std::size_t kWindowSeconds = 2;

std::size_t SecondOf(const RecordedFleet& recorded) {
  const Duration passed = recorded.fleet.now - recorded.start;
  return static_cast<std::size_t>(passed / Seconds(1));
}

bool IsWrong(const SimulatedServer& server) {
  return server.mode != ServerMode::kHealthy || !server.is_listed;
}

bool IsSound(const ServerHistory& history, TimePoint now) {
  if (!history.wrong_at) return true;
  return now - *history.wrong_at >=
         (history.failed_by_itself ? kSoundAfterOwnFailure : kSoundAfter);
}

void RecordSoundness(RecordedFleet& recorded) {
  const std::size_t second = SecondOf(recorded);
  for (const auto& [name, server] : recorded.fleet.servers) {
    ServerHistory& it = recorded.history[name];
    if (IsWrong(server)) it.wrong_at = recorded.fleet.now;
    if (it.sound.size() <= second) {
      // In seconds before its start it was not sound.
      it.sound.resize(second, false);
      it.sound.push_back(true);
      it.used.resize(second + 1, false);
    }
    if (!IsSound(it, recorded.fleet.now)) it.sound[second] = false;
  }
}

void RecordRequests(RecordedFleet& recorded) {
  for (const SentRequest& it : std::exchange(recorded.fleet.sent, {})) {
    if (IsWrong(recorded.fleet.servers.at(it.server))) continue;
    ServerHistory& history = recorded.history[it.server];
    history.used[SecondOf(recorded)] = true;
    if (history.returned_at && !history.until_request) {
      history.until_request = it.at - *history.returned_at;
    }
  }
}

void RecordState(RecordedFleet& recorded, std::size_t instance,
                 const LogLine& line) {
  const auto field = std::ranges::find(line.fields, "server", &LogField::name);
  if (field == line.fields.end()) return;
  KnownAs& known = recorded.known[instance][field->value];
  switch (line.event) {
    case LogEvent::kServerListed:
    case LogEvent::kServerRestored:
      known = KnownAs::kHealthy;
      break;
    case LogEvent::kServerEjected:
      known = KnownAs::kEjected;
      break;
    case LogEvent::kServerProbation:
      known = KnownAs::kOnTrial;
      break;
    case LogEvent::kEjectionRefusedByFloor:
      known = KnownAs::kLastResort;
      break;
    case LogEvent::kServerReplaced:
      known = KnownAs::kReplaced;
      break;
    case LogEvent::kServerRemoved:
      // A new incarnation is listed before the old one is removed.
      if (!recorded.fleet.servers.at(field->value).is_listed) {
        known = KnownAs::kUnknown;
      }
      break;
    default:
      break;
  }
}

void RecordInstances(RecordedFleet& recorded) {
  EndedRequests& ended = recorded.seconds[SecondOf(recorded)];
  for (std::size_t i = 0; i < recorded.fleet.instances.size(); ++i) {
    ForwarderFixture& instance = recorded.fleet.instances[i];
    for (const LogLine& it : std::exchange(instance.log, {})) {
      RecordState(recorded, i, it);
    }
    for (const auto& [call, answer] : std::exchange(instance.answers, {})) {
      ++ended.all;
      if (answer.status != kStatusOk) ++ended.unserved;
    }
  }
}

void RecordReturns(RecordedFleet& recorded) {
  const auto instances = static_cast<int>(recorded.known.size());
  for (auto& [name, it] : recorded.history) {
    if (!it.returned_at || it.until_healthy) continue;
    const int healthy = CountInstances(recorded, name, KnownAs::kHealthy);
    if (healthy * kPercent >= instances * kFloorPercent) {
      it.until_healthy = recorded.fleet.now - *it.returned_at;
    }
  }
}

void Record(RecordedFleet& recorded) {
  recorded.seconds.resize(
      std::max(recorded.seconds.size(), SecondOf(recorded) + 1));
  RecordSoundness(recorded);
  RecordRequests(recorded);
  RecordInstances(recorded);
  RecordReturns(recorded);
}

void RecordFault(RecordedFleet& recorded, const std::string& name,
                 bool failed_by_itself) {
  ServerHistory& history = recorded.history[name];
  history.wrong_at = recorded.fleet.now;
  history.failed_by_itself = failed_by_itself;
  history.returned_at.reset();
}

void RecordReturn(RecordedFleet& recorded, const std::string& name) {
  ServerHistory& history = recorded.history[name];
  history.returned_at = recorded.fleet.now;
  history.until_request.reset();
  history.until_healthy.reset();
}

void LoseRequests(RecordedFleet& recorded, const std::string& name) {
  SimulatedServer& server = recorded.fleet.servers.at(name);
  auto lost = std::exchange(server.running, {});
  const auto waiting = std::exchange(server.waiting, {});
  lost.insert(lost.end(), waiting.begin(), waiting.end());
  for (const ServerRequest& it : lost) {
    Fail(recorded.fleet.instances[it.instance], it.attempt,
         AttemptFailure::kConnectionLost);
  }
}

}  // namespace

RecordedFleet MakeRecordedFleet(const FleetSettings& settings,
                                double requests_per_second) {
  RecordedFleet recorded;
  recorded.fleet = MakeFleet(settings);
  recorded.requests_per_second = requests_per_second;
  recorded.start = recorded.fleet.now;
  recorded.known.resize(recorded.fleet.instances.size());
  for (const auto& [name, server] : recorded.fleet.servers) {
    for (auto& it : recorded.known) it[name] = KnownAs::kHealthy;
  }
  Record(recorded);
  return recorded;
}

void Run(RecordedFleet& recorded, Duration time) {
  for (Duration passed{}; passed < time; passed += kStep) {
    Run(recorded.fleet, kStep, recorded.requests_per_second);
    Record(recorded);
  }
}

void SetMode(RecordedFleet& recorded, const std::string& name,
             ServerMode mode) {
  recorded.fleet.servers.at(name).mode = mode;
  if (mode == ServerMode::kHealthy) {
    RecordReturn(recorded, name);
    return;
  }
  RecordFault(recorded, name, mode == ServerMode::kAnswersErrors);
  if (mode == ServerMode::kLosesRequests) LoseRequests(recorded, name);
}

void Crash(RecordedFleet& recorded, const std::string& name) {
  recorded.fleet.servers.at(name).mode = ServerMode::kRefuses;
  RecordFault(recorded, name, true);
  LoseRequests(recorded, name);
}

void Restart(RecordedFleet& recorded, const std::string& name) {
  // What instances know of the old incarnation is not known of the new one.
  for (auto& it : recorded.known) it[name] = KnownAs::kUnknown;
  RecordReturn(recorded, name);
  RestartServer(recorded.fleet, name);
}

void Start(RecordedFleet& recorded, const std::string& name) {
  RecordReturn(recorded, name);
  StartServer(recorded.fleet, name, "a");
}

void SetListed(RecordedFleet& recorded, const std::string& name,
               bool is_listed) {
  recorded.fleet.servers.at(name).is_listed = is_listed;
  if (is_listed) {
    RecordReturn(recorded, name);
  } else {
    RecordFault(recorded, name, false);
  }
  PublishServers(recorded.fleet);
}

int CountInstances(const RecordedFleet& recorded, const std::string& name,
                   KnownAs known_as) {
  return static_cast<int>(
      std::ranges::count_if(recorded.known, [&](const auto& known) {
        const auto it = known.find(name);
        return it != known.end() && it->second == known_as;
      }));
}

std::vector<Window> WindowsFrom(const RecordedFleet& recorded, int from) {
  std::vector<Window> windows;
  const auto first = static_cast<std::size_t>(from);
  // The last second may be incomplete.
  for (std::size_t n = first; n + kWindowSeconds < recorded.seconds.size();
       ++n) {
    const EndedRequests& a = recorded.seconds[n];
    const EndedRequests& b = recorded.seconds[n + 1];
    Window window;
    window.first_second = static_cast<int>(n);
    window.unserved_ratio = static_cast<double>(a.unserved + b.unserved) /
                            std::max(a.all + b.all, 1);
    for (const auto& [name, it] : recorded.history) {
      if (!it.sound[n] || !it.sound[n + 1]) continue;
      ++window.sound;
      if (it.used[n] || it.used[n + 1]) ++window.used;
    }
    windows.push_back(window);
  }
  return windows;
}

bool IsBelowFloor(const Window& window) {
  return window.used * kPercent < window.sound * kFloorPercent;
}

bool HasManyUnserved(const Window& window) {
  return window.unserved_ratio > kManyUnserved &&
         window.unserved_ratio < kMostUnserved;
}

}  // namespace ibisladder::gateway
