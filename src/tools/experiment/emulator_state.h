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

/// State of one run of the emulator, and functions that its event handlers
/// share: conditions, routing and counting of results.
namespace ibisladder::experiment::Internal {

constexpr Duration kNetworkDelay = Millis(1);
/// Time in which the load of a new or restored server grows to its full share.
constexpr Duration kSlowStart = Seconds(10);
constexpr double kMaxRetryTokens = 10;
/// Maximum number of attempts of one call, including retries after a shed.
constexpr std::uint64_t kMaxAttempts = 4;
/// Index of the server that has the gray failure.
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
  /// Call, attempt or instance, depending on `kind`.
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
  /// Attempts in flight, by server.
  std::vector<int> in_flight;
  /// Time at which each server joined or was restored; its slow start begins
  /// there.
  std::vector<TimePoint> warm_since;
  /// Time of the last ordinary request to the failing server before its first
  /// ejection.
  TimePoint last_request_to_failing;
  bool has_ejected_failing = false;
  double retry_tokens = kMaxRetryTokens;
  /// Servers with a probe in flight.
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
  /// Number of instances that currently eject each server.
  std::vector<int> ejected_by;
  int replaced_server = -1;
  RunResult result;
};

void Schedule(Emulator& emulator, TimePoint when, EventKind kind,
              std::uint64_t subject = 0, int server = 0);

/// Returns the call of an attempt, or null when the call was already removed.
Call* FindCall(Emulator& emulator, std::uint64_t attempt);

/// Returns whether the warm-up is over.
bool IsMeasured(const Emulator& emulator);

/// Returns whether the condition of a slow service is active.
bool ServiceIsSlow(const Emulator& emulator);

/// Returns whether the gray failure of `server` affects requests from
/// `instance`.
bool IsAffected(const Emulator& emulator, int instance, int server);

/// Returns whether answers of `server` to `instance` are lost.
bool AnswerIsLost(const Emulator& emulator, int instance, int server);

/// Counts ejections and restorations since the states were `before`.
void CountEjections(Emulator& emulator, Instance& instance,
                    const std::vector<detection::ServerState>& before);

/// Runs `command` on an instance's policy and counts the changes of state.
template <typename Command>
void Apply(Emulator& emulator, Instance& instance, Command command) {
  const std::vector<detection::ServerState> before = instance.policy.states;
  command();
  if (before != instance.policy.states) {
    CountEjections(emulator, instance, before);
  }
}

void FinishCall(Emulator& emulator, Call& call, bool good);

/// Sends the next attempt of a call. Returns false when the call has no attempt
/// left or no server is available.
bool Send(Emulator& emulator, std::uint64_t id, Call& call);

void EndAttempt(Emulator& emulator, Call& call, std::uint64_t attempt,
                detection::AttemptEnd end);

}  // namespace ibisladder::experiment::Internal

#endif  // TOOLS_EXPERIMENT_EMULATOR_STATE_H_
