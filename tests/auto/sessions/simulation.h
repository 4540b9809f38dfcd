#ifndef TESTS_AUTO_SESSIONS_SIMULATION_H_
#define TESTS_AUTO_SESSIONS_SIMULATION_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "libs/callerpath/caller_path.h"
#include "tests/auto/sessions/faults.h"

/// A few instances, backend servers and callers in virtual time: one queue of
/// messages and one clock.
namespace ibisladder::sessions {

constexpr std::uint32_t kInstances = 3;
constexpr std::uint32_t kServers = 4;

/// Where messages come from and go to: an instance by its index, or:
constexpr std::uint32_t kCallers = 100;
constexpr std::uint32_t kBackendServers = 101;

/// What a caller was told of one of its requests.
struct CallerResult {
  std::string id;
  bool is_at_most_once = true;
  callerpath::CallerAnswer answer;
};

/// What the judge looks at: the servers' own log and the callers' records.
struct Observations {
  std::map<std::string, int> executions;
  std::vector<CallerResult> results;
};

struct Node {
  callerpath::CallerPathPtr path;
  callerpath::CallerPathSettings settings;
  /// This machine's clock runs from another origin.
  Duration clock_offset{};
  TimePoint paused_until;
  /// Changes with each restart: what belongs to an earlier one is lost.
  std::uint64_t generation = 0;
  bool is_leaving = false;
  bool is_replaced_when_drained = false;
};

using Reply = std::function<void(const callerpath::CallerAnswer&)>;

struct Simulation {
  Plan plan;
  TimePoint now{Seconds(100)};
  Random random;
  std::multimap<TimePoint, std::function<void()>> queue;
  std::vector<Node> nodes;
  std::vector<ServerMode> modes;
  /// Directions that are cut, and until when.
  std::map<std::pair<std::uint32_t, std::uint32_t>, TimePoint> cuts;
  std::map<CallId, Reply> replies;
  /// Charges as they were first sent, with the address that they went to.
  std::vector<std::pair<std::uint32_t, callerpath::CallRequest>> past_requests;
  std::uint64_t last_call = 0;
  std::uint64_t last_part = 0;
  /// Version of the declarations, and which of their forms it has.
  std::uint64_t version = 1;
  std::uint32_t variant = 0;
  Observations observations;
  EventCounts event_counts;
  /// When set, gets a line for each event and action.
  std::vector<std::string>* transcript = nullptr;

  explicit Simulation(const Plan& it);
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;
};

/// Runs all steps of the plan, and then until every message is delivered.
void RunPlan(Simulation& sim);
/// Runs the queue until `end`.
void RunUntil(Simulation& sim, TimePoint end);
void Schedule(Simulation& sim, Duration wait, std::function<void()> callback);

// network.cc

/// Steps an instance and carries out its actions.
void Feed(Simulation& sim, std::uint32_t node, const callerpath::Event& event);
/// Carries an event to an instance, as badly as the plan says. `make` names
/// the exchange; `reply` is called with the answer if that arrives.
void SendToInstance(Simulation& sim, std::uint32_t from, std::uint32_t node,
                    std::function<callerpath::Event(CallId)> make, Reply reply);
/// True when the message is lost on its way.
bool IsLost(Simulation& sim, std::uint32_t from, std::uint32_t to);
/// Replaces an instance by a new incarnation at the same address.
void Restart(Simulation& sim, std::uint32_t node);
void SendFleet(Simulation& sim);

// servers.cc

/// A request reaches its backend server, which logs what it runs.
void Serve(Simulation& sim, std::uint32_t node,
           const callerpath::SendAttempt& attempt);
/// The body of the right answer to `id`.
std::string ExpectedBody(const std::string& id);

// callers.cc

/// A caller asks `address` for a ticket, and charges with it until it knows
/// the outcome or loses patience.
void StartAtMostOnceRequest(Simulation& sim, std::uint32_t address);
void StartIdempotentRequest(Simulation& sim, std::uint32_t address);
/// Sends a copy of some earlier charge once more.
void SendLateCopy(Simulation& sim, std::uint32_t which);

// violations.cc

/// Empty when the records hold no violation; else the first one.
std::string FindViolation(const Observations& observations);

// transcript.cc

void RecordEvent(Simulation& sim, std::uint32_t node,
                 const callerpath::Event& event);
void RecordAction(Simulation& sim, std::uint32_t node,
                  const callerpath::Action& action);

}  // namespace ibisladder::sessions

#endif  // TESTS_AUTO_SESSIONS_SIMULATION_H_
