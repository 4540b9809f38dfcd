#ifndef TOOLS_EXPERIMENT_EMULATOR_STATE_H_
#define TOOLS_EXPERIMENT_EMULATOR_STATE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <set>
#include <vector>

#include "tools/experiment/backends.h"
#include "tools/experiment/emulator.h"

/// State of one run of the emulator, and what its event handlers share:
/// conditions, routing and the counting of results.
namespace ibisladder::experiment::Internal {

constexpr Duration kNetworkDelay = Millis(1);
/// Time over which a new or restored server's share grows to its full one.
constexpr Duration kSlowStart = Seconds(10);
constexpr double kMaxRetryTokens = 10;
/// Attempts of one call: the first, then retries and moves after a shed.
constexpr std::uint64_t kMaxAttempts = 4;
/// The server that fails.
constexpr int kFailingServer = 0;

enum class EventKind : std::uint8_t {
  kCallArrival,
  kServerArrival,
  kFinish,
  kAnswer,
  kDeadline,
  kTick,
  kExchange,
  kProbe,
  kPause,
  kFail,
  kReplace,
  kReturn,
};

struct Event {
  TimePoint when;
  std::uint64_t order;
  EventKind kind;
  std::uint64_t subject;
  int server;

  friend bool operator>(const Event& a, const Event& b) {
    return a.when != b.when ? a.when > b.when : a.order > b.order;
  }
};

struct Attempt {
  int server = -1;
  TimePoint started;
  detection::AttemptEnd end = detection::AttemptEnd::kOk;
  bool open = false;
};

struct Call {
  int instance = 0;
  TimePoint arrived;
  int attempts = 0;
  bool done = false;
  Attempt attempt[kMaxAttempts];
};

struct Instance {
  Policy policy;
  /// Attempts in flight at each server.
  std::vector<int> in_flight;
  /// When each server joined or was restored; its share grows from there.
  std::vector<TimePoint> warm_since;
  /// When it last sent the sick server an ordinary request, before its first
  /// ejection of it.
  TimePoint last_request_to_failing;
  bool has_ejected_failing = false;
  double retry_tokens = kMaxRetryTokens;
  /// Servers whose probe is under way.
  std::set<int> probed;
};

struct Emulator {
  const Scenario& scenario;
  Noise noise;
  Random random;
  TimePoint now;
  TimePoint measurement_start;
  TimePoint end;
  std::vector<Backend> backends;
  std::vector<Instance> instances;
  std::deque<Call> calls;
  std::uint64_t first_call = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t next_order = 0;
  TimePoint first_fault = TimePoint::max();
  /// Instances that have each server ejected; its last time at zero.
  std::vector<int> ejected_by;
  int replaced_server = -1;
  RunResult result;
};

void Schedule(Emulator& emulator, TimePoint when, EventKind kind,
              std::uint64_t subject = 0, int server = 0);

/// The call of an attempt; null when it is long over.
Call* FindCall(Emulator& emulator, std::uint64_t attempt);

/// Whether the time that is measured has begun.
bool IsMeasured(const Emulator& emulator);

/// Whether the whole service is slow now.
bool ServiceIsSlow(const Emulator& emulator);

/// Whether the sick server's failure touches what `instance` sends it.
bool IsAffected(const Emulator& emulator, int instance, int server);

/// Whether what `server` sends gets lost on its way to `instance`.
bool AnswerIsLost(const Emulator& emulator, int instance, int server);

/// Counts the ejections that a step of `instance` has made or taken back.
void CountEjections(Emulator& emulator, Instance& instance,
                    const std::vector<detection::ServerState>& before);

/// Runs a step of an instance's policy and counts what it changed.
template <typename Command>
void Apply(Emulator& emulator, Instance& instance, Command command) {
  const std::vector<detection::ServerState> before = instance.policy.states;
  command();
  if (before != instance.policy.states) {
    CountEjections(emulator, instance, before);
  }
}

void FinishCall(Emulator& emulator, Call& call, bool good);

/// Sends the next attempt of a call; false when there is nowhere to send it.
bool Send(Emulator& emulator, std::uint64_t id, Call& call);

void EndAttempt(Emulator& emulator, Call& call, std::uint64_t attempt,
                detection::AttemptEnd end);

}  // namespace ibisladder::experiment::Internal

#endif  // TOOLS_EXPERIMENT_EMULATOR_STATE_H_
