#ifndef LIBS_ROUTING_ROUTER_H_
#define LIBS_ROUTING_ROUTER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/random.h"
#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/declarations/declarations.h"
#include "libs/detection/detector.h"

/// Choice of backend server, admission, queues, retry budget and concurrency
/// limits for one service on one instance.
namespace ibisladder::routing {

/// A server's own word on its load, from an answer.
struct LoadReport {
  std::uint16_t in_flight = 0;
  std::uint16_t slots = 4;
  bool draining = false;
  bool warming = false;
};

/// A server that may be chosen, as the caller path sees it now.
struct Candidate {
  BackendServerId id;
  ZoneName zone;
  std::uint16_t slots = 4;
  std::uint16_t max_connections = 300;
  detection::ServerState state = detection::ServerState::kHealthy;
  /// Answers failures at once, and looks idle for that.
  bool fails_fast = false;
  /// Leaving, drained, or outside this instance's subset: never chosen.
  bool closed = false;
  /// When it joined or was restored; its share grows from there.
  TimePoint warm_since;
};

/// A request waiting for a server.
struct RoutingRequest {
  CallId call;
  declarations::Priority priority = declarations::Priority::kNormal;
  declarations::RepeatRule repeat = declarations::RepeatRule::kAtMostOnce;
  OrganisationId organisation;
  TimePoint deadline;
  bool is_retry = false;
  /// The attempt before this one ended as a definite shed: it cost the server
  /// little, and has a budget of its own.
  bool after_shed = false;
  /// The attempt before it goes on, and may still end well: half of the budget
  /// is kept for those that have no other.
  bool is_hedge = false;
  /// Servers already tried for this call.
  std::vector<BackendServerId> tried;
};

/// Dispatch to `server` now; `reason` is for the log.
struct Dispatch {
  BackendServerId server;
  std::string reason;
};
/// Wait in the queue; a later Pump returns it.
struct Queued {};
/// Final answer now.
struct Refused {
  ResultCode code;
  Duration retry_after;
};
using Placement = std::variant<Dispatch, Queued, Refused>;

/// Second attempts that this instance may make, after failures and after
/// declines together.
struct RetryAllowance {
  /// Per 100 first attempts.
  std::uint8_t percent = 10;
  /// Saved up at the most.
  std::uint8_t burst = 5;
};

/// How a server is chosen.
struct ChoiceSettings {
  /// Servers drawn at random and compared; 1: random choice, 0: all compared.
  std::uint8_t samples = 0;
  /// Count reports of other instances' load, not own requests alone.
  bool use_reports = true;
  /// Age at which a report has lost half its weight.
  Duration report_half_life = Millis(250);
  /// Estimated load per slot up to which the own zone is preferred; 0: never.
  double own_zone_max_load = 0.75;
  /// Load per slot that a server may have beyond another one and still be
  /// taken, when a connection to it is likely to be open and requests are too
  /// rare to keep connections to all servers open.
  double open_connection_bonus = 0.2;
  /// A server on probation gets at most one of so many requests.
  std::uint32_t trial_spacing = 8;
  /// Whether at-most-once work may be tried on probation, too.
  bool trials_allow_any_request = false;
  /// At-most-once work is tried on a server only after so long a time on trial,
  /// or where the others are busy.
  Duration at_most_once_trial_delay{};
};

/// What Pump decided for a call that was queued.
struct Placed {
  CallId call;
  Placement placement;
};

struct Router;
struct RouterDeleter {
  void operator()(Router* router) const;
};
using RouterPtr = std::unique_ptr<Router, RouterDeleter>;

/// `own_zone` is preferred while it has room. `fleet_size` is the number of
/// live instances that share the servers' slots and connections.
RouterPtr MakeRouter(const declarations::Service& service, ZoneName own_zone,
                     TimePoint now);

// Commands.

void UpdateSettings(Router& router, const declarations::Service& service);
void SetChoiceSettings(Router& router, const ChoiceSettings& settings);
/// Bounds second attempts after failures and after declines by one allowance;
/// without it declines have a generous one of their own.
void SetRetryAllowance(Router& router, const RetryAllowance& allowance);
/// Known servers keep their load state.
void SetCandidates(Router& router, std::span<const Candidate> candidates,
                   std::size_t fleet_size, TimePoint now);
/// Places, queues or refuses. A retry over the budget is refused.
Placement Place(Router& router, const RoutingRequest& request, TimePoint now,
                Random& random);
/// Removes a queued call (cancelled, settled).
void RemoveQueued(Router& router, CallId call);
/// A dispatched attempt ended; `end` moves the concurrency limit.
void AttemptEnded(Router& router, BackendServerId server,
                  detection::AttemptEnd end, Duration latency, TimePoint now);
void ReportLoad(Router& router, BackendServerId server,
                const LoadReport& report, TimePoint now);
/// Queued calls that can be placed or must be refused now. Call it after each
/// command that may free room or displace a call, and at least every 10 ms.
std::vector<Placed> Pump(Router& router, TimePoint now, Random& random);

// Queries.

/// Calls that wait, or were decided and not yet returned by Pump.
std::size_t QueueLength(const Router& router);
std::uint32_t InFlight(const Router& router, BackendServerId server);

/// The part of `servers` that the instance uses: rendezvous hashing, spread
/// evenly, its own zone first; a change of one member moves little. All of
/// them when `size` is 0 or no smaller than the list.
std::vector<BackendServerId> ChooseSubset(std::span<const Candidate> servers,
                                          InstanceId instance,
                                          const ZoneName& zone,
                                          std::size_t size);

/// Instances that are expected to use one server of a service: the whole fleet,
/// or the part whose subsets contain it. It is the `fleet_size` to pass to
/// SetCandidates, so that connections are shared out among the actual users.
std::size_t InstancesPerServer(std::size_t fleet_size, std::size_t servers,
                               std::size_t subset_size);

/// Limits per organisation: rate over the whole fleet, in flight here.
struct OrganisationLimits;
struct OrganisationLimitsDeleter {
  void operator()(OrganisationLimits* limits) const;
};
using OrganisationLimitsPtr =
    std::unique_ptr<OrganisationLimits, OrganisationLimitsDeleter>;

OrganisationLimitsPtr MakeOrganisationLimits();
/// Takes one request, or says when to come back. State is kept only for
/// organisations with recent traffic.
std::optional<Refused> TakeRequest(OrganisationLimits& limits,
                                   const declarations::Organisation& declared,
                                   OrganisationId id, std::size_t fleet_size,
                                   TimePoint now, Random& random);
void ReleaseRequest(OrganisationLimits& limits, OrganisationId id);
/// Organisations that state is kept for.
std::size_t TrackedOrganisations(const OrganisationLimits& limits);

}  // namespace ibisladder::routing

#endif  // LIBS_ROUTING_ROUTER_H_
