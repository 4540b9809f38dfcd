#ifndef TESTS_AUTO_SESSIONS_WORLD_H_
#define TESTS_AUTO_SESSIONS_WORLD_H_

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
constexpr std::uint32_t kBackEnds = 101;

/// What a caller was told of one of its requests.
struct Told {
  std::string id;
  bool is_charge = true;
  callerpath::CallerAnswer answer;
};

/// What the judge looks at: the servers' own log and the callers' records.
struct Records {
  std::map<std::string, int> executions;
  std::vector<Told> told;
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

struct World {
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
  std::vector<std::pair<std::uint32_t, callerpath::CallRequest>> past_charges;
  std::uint64_t last_call = 0;
  std::uint64_t last_part = 0;
  /// Version of the declarations, and which of their forms it has.
  std::uint64_t version = 1;
  std::uint32_t form = 0;
  Records records;
  Tally tally;
  /// When set, gets a line for each event and action.
  std::vector<std::string>* transcript = nullptr;

  explicit World(const Plan& it);
  World(const World&) = delete;
  World& operator=(const World&) = delete;
};

/// Runs all steps of the plan, and then until every message is delivered.
void RunPlan(World& world);
/// Runs the queue until `end`.
void RunUntil(World& world, TimePoint end);
void Schedule(World& world, Duration wait, std::function<void()> act);

// network.cc

/// Steps an instance and carries out its actions.
void Feed(World& world, std::uint32_t node, const callerpath::Event& event);
/// Carries an event to an instance, as badly as the plan says. `make` names
/// the exchange; `reply` is called with the answer if that arrives.
void SendToInstance(World& world, std::uint32_t from, std::uint32_t node,
                    std::function<callerpath::Event(CallId)> make, Reply reply);
/// True when the message is lost on its way.
bool IsLost(World& world, std::uint32_t from, std::uint32_t to);
/// Replaces an instance by a new incarnation at the same address.
void Restart(World& world, std::uint32_t node);
void ReportFleet(World& world);

// servers.cc

/// A request reaches its backend server, which logs what it runs.
void Serve(World& world, std::uint32_t node,
           const callerpath::SendAttempt& attempt);
/// The body of the right answer to `id`.
std::string BodyOf(const std::string& id);

// callers.cc

/// A caller asks `address` for a ticket, and charges with it until it knows
/// the outcome or loses patience.
void StartCharge(World& world, std::uint32_t address);
void StartBrowse(World& world, std::uint32_t address);
/// Sends a copy of some earlier charge once more.
void SendLateCopy(World& world, std::uint32_t which);

// judge.cc

/// Empty when the records hold no violation; else the first one.
std::string Judge(const Records& records);

// transcript.cc

void NoteEvent(World& world, std::uint32_t node,
               const callerpath::Event& event);
void NoteAction(World& world, std::uint32_t node,
                const callerpath::Action& action);

}  // namespace ibisladder::sessions

#endif  // TESTS_AUTO_SESSIONS_WORLD_H_
