#ifndef LIBS_ROUTING_ROUTER_H_
#define LIBS_ROUTING_ROUTER_H_

#include <array>
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

/// Server selection, admission, queues, retry budget and concurrency limits for
/// one service on one instance.
namespace ibisladder::routing {

/// Number of values of declarations::Priority.
constexpr std::size_t kPriorities = 3;

/// Lower limits of servers count as this rate per second, so that some answer
/// shows when they end.
constexpr double kMinServerLimit = 0.05;

/// A server's report of its own load, sent with an answer.
struct LoadReport {
  std::uint16_t in_flight = 0;
  /// Number of requests that the server processes at once.
  std::uint16_t slots = 4;
  bool draining = false;
  bool warming = false;
};

/// A server that may be chosen, as this instance sees it now.
struct Candidate {
  BackendServerId id;
  ZoneName zone;
  std::uint16_t slots = 4;
  /// Maximum number of connections to the server from all instances together.
  std::uint16_t max_connections = 300;
  detection::ServerState state = detection::ServerState::kHealthy;
  /// Answers failures itself, see detection::FailsFast; fast ones make it look
  /// idle.
  bool fails_fast = false;
  /// Leaving, drained, or outside this instance's subset: never chosen.
  bool closed = false;
  /// When it joined or was restored; its fraction of the load grows from there.
  TimePoint warm_since;
};

/// A request to be placed on a server. A call is what a caller asks for; each
/// attempt at it is placed as one request.
struct RoutingRequest {
  CallId call;
  declarations::Priority priority = declarations::Priority::kNormal;
  declarations::RepeatRule repeat = declarations::RepeatRule::kAtMostOnce;
  OrganisationId organisation;
  TimePoint deadline;
  /// A retry, limited by the retry budget; `after_shed` and `is_hedge` apply to
  /// retries only.
  bool is_retry = false;
  /// The previous attempt ended as a definite shed, which cost the server
  /// little. Such retries have a budget of their own, unless SetRetryAllowance
  /// was called.
  bool after_shed = false;
  /// The previous attempt is still running and may succeed. Such a retry needs
  /// more than half of the budget: the rest is reserved for calls without
  /// another attempt.
  bool is_hedge = false;
  /// Not to be sent to servers with limits: a hedge, or refused several
  /// permits.
  bool avoids_limits = false;
  /// Was placed before, but got no permit to be sent; see SetLimited. Does not
  /// count as a further request, and neither needs nor spends retry budget.
  bool is_replacement = false;
  /// Servers already tried for this call. Avoided until all healthy ones have
  /// been tried or, if none is healthy, all last resorts that do not fail fast.
  std::vector<BackendServerId> tried;
};

/// Send to `server` now; `reason` is for the log.
struct Dispatch {
  BackendServerId server;
  std::string reason;
  /// The server limits the requests of all instances together: send only with a
  /// permit, and call PermitDenied without one.
  bool needs_permit = false;
  /// The server is on trial.
  bool is_trial = false;
};
/// Wait in the queue; a later Pump returns the decision.
struct Queued {};
/// Refuse now, with the wait to suggest to the caller; zero if the deadline has
/// passed. kOverloaded: the retry budget is spent, the queue is full, the call
/// was displaced, or its deadline is too near. kServersLimited: all servers
/// that could take it have limits that leave no room. kNoServerAvailable: no
/// server can take the request now or later.
struct Refused {
  ResultCode code;
  Duration retry_after;
};
using Placement = std::variant<Dispatch, Queued, Refused>;

/// Retries that this instance may make, after failures and after definite sheds
/// together.
struct RetryAllowance {
  /// Per 100 first attempts, refused ones included unless their deadline had
  /// passed.
  std::uint8_t percent = 10;
  /// Maximum number of saved retries.
  std::uint8_t burst = 5;
  /// Whether requests of high priority come first. The burst then grows with
  /// the number of requests.
  bool by_priority = false;
};

/// Parameters of server selection.
struct ChoiceSettings {
  /// Number of servers drawn at random and compared; 1: random choice, 0: all
  /// are compared, or 32 from a random place on if one of these has capacity.
  std::uint8_t samples = 0;
  /// Whether load reports count, which include other instances' requests, or
  /// own requests alone.
  bool use_reports = true;
  /// Age at which a report has half its weight.
  Duration report_half_life = Millis(250);
  /// Estimated load per slot below which the own zone is preferred; 0: never.
  double own_zone_max_load = 0.75;
  /// Load per slot subtracted for a server with a probably open connection.
  /// Applies when requests are too rare to keep connections to all servers
  /// open.
  double open_connection_bonus = 0.2;
  /// Minimum number of requests to other servers between two trial requests,
  /// over all servers on trial; none before one to a server that has answered
  /// on its trial. Only requests whose repeat rule allows a trial count.
  std::uint32_t trial_spacing = 8;
  /// Whether at-most-once requests may also be sent to a server on trial.
  bool trials_allow_any_request = false;
  /// At-most-once requests go to a server on trial only if it has been on trial
  /// for this long, or the others are busy, or many requests go unserved while
  /// fewer servers are healthy than the floor demands.
  Duration at_most_once_trial_delay{};
  /// Whether servers are avoided that decline requests more often than the
  /// others, or that are slower than the others.
  bool learns_from_servers = false;
  /// Whether few instances try each server, see detection::TrialRole. Trials
  /// then use the requests that cost callers least, and only a lack of servers
  /// that is no harm done by failing ones justifies others.
  bool coordinates_trials = false;
  /// Whether some route of the service is idempotent; for coordinated trials.
  bool has_idempotent_route = false;
};

/// An instance's place among those that divide the servers of its zone among
/// them when requests are rare.
struct Share {
  /// Number of these instances; 0: servers are not divided.
  std::size_t instances = 0;
  /// Below `instances`.
  std::size_t place = 0;

  bool operator==(const Share&) const = default;
};

/// Decision of Pump for a queued call.
struct Placed {
  CallId call;
  Placement placement;
};

struct Router;
struct RouterDeleter {
  void operator()(Router* router) const;
};
using RouterPtr = std::unique_ptr<Router, RouterDeleter>;

/// `own_zone` is preferred while its servers have capacity.
RouterPtr MakeRouter(const declarations::Service& service, ZoneName own_zone,
                     TimePoint now);

// Commands.

/// Applies the service's warm-up time, queue limit, floor and retry budget.
void UpdateSettings(Router& router, const declarations::Service& service);
void SetChoiceSettings(Router& router, const ChoiceSettings& settings);
/// Limits retries after failures and after definite sheds by one allowance.
/// Without it, retries after sheds have a generous budget of their own.
/// UpdateSettings replaces its percentage.
void SetRetryAllowance(Router& router, const RetryAllowance& allowance);
/// Without a share, rare requests go to servers with an open connection.
void SetShare(Router& router, const Share& share);
/// Known servers keep their load state. `users_per_server` is the number of
/// instances that use each server: connections are divided among them, and
/// trial requests are spaced out for them.
void SetCandidates(Router& router, std::span<const Candidate> candidates,
                   std::size_t users_per_server, TimePoint now);
/// Places, queues or refuses a request. A retry over the budget is refused.
Placement Place(Router& router, const RoutingRequest& request, TimePoint now,
                Random& random);
/// Removes a queued call that was cancelled or settled, or its decision if Pump
/// has not yet returned it.
void RemoveQueued(Router& router, CallId call);
/// Records the end of a dispatched attempt; `end` adjusts the concurrency
/// limit.
void AttemptEnded(Router& router, BackendServerId server,
                  detection::AttemptEnd end, Duration latency, TimePoint now);
/// Records how long a good answer took, divided by what is usual for such
/// requests. To be called after the answer's ReportLoad.
void RecordSlowness(Router& router, BackendServerId server, double ratio,
                    TimePoint now);
/// Records that another instance was declined by the server so many times in a
/// row; 0: the server answers it.
void RecordPeerDeclines(Router& router, BackendServerId server,
                        std::uint8_t declines, TimePoint now);
/// Records how a call ended whose route uses this service, also if it was sent
/// to another service. Many unserved calls count like many unserved attempts;
/// see ChoiceSettings::at_most_once_trial_delay.
void RecordCallOutcome(Router& router, bool is_served);
/// Sets how many servers out of regular service are known to fail at present;
/// for coordinated trials. They are no lack of servers.
void SetKnownFailing(Router& router, std::size_t servers);
/// Unknown servers are ignored.
void ReportLoad(Router& router, BackendServerId server,
                const LoadReport& report, TimePoint now);
/// Sets whether the server limits the requests of all instances together, and
/// at which rate.
void SetLimited(Router& router, BackendServerId server,
                std::optional<RequestsPerSecond> limit);
/// Undoes a Dispatch that was not sent. Requests of each priority are not
/// placed on the server before the given time.
void PermitDenied(Router& router, BackendServerId server,
                  const std::array<TimePoint, kPriorities>& next_permits);
/// Undoes a Dispatch that was not sent, since its call has ended or the server
/// has left.
void CancelDispatch(Router& router, BackendServerId server);
/// Ends the pauses of all servers, whose failures were not their own.
void ForgetFailures(Router& router);
/// Returns the queued calls that can be placed or must be refused now. To be
/// called after each command that may free capacity or displace a call, and at
/// least every 10 ms.
std::vector<Placed> Pump(Router& router, TimePoint now, Random& random);

// Queries.

/// Numbers of servers by what the router may send them. Each server is counted
/// once, apart from `limited`.
struct ServerCounts {
  std::size_t healthy = 0;
  /// Healthy, but at the limit of requests in flight, or paused after a
  /// failure or a shed.
  std::size_t without_capacity = 0;
  std::size_t last_resort = 0;
  std::size_t on_trial = 0;
  std::size_t ejected = 0;
  /// Leaving, or replaced at its address.
  std::size_t closed = 0;
  /// With a limit for all instances together; counted above, too.
  std::size_t limited = 0;
};
ServerCounts CountServers(const Router& router, TimePoint now);

/// Whether the retry allowance admits a retry of this priority now.
bool MayRetry(const Router& router, declarations::Priority priority,
              bool is_hedge, TimePoint now);
/// Returns the retries per second that the allowance admits in the long run.
double RetriesPerSecond(const Router& router, TimePoint now);
/// Slots of the servers in regular service, and the mean load per slot that
/// they reported.
struct ServiceRoom {
  std::uint32_t slots = 0;
  double load_per_slot = 0;
  std::uint32_t in_flight = 0;
};
ServiceRoom RoomOf(const Router& router, TimePoint now);
/// Returns the load per slot in the server's last report; 0 without one.
double ReportedLoad(const Router& router, BackendServerId server);
/// Servers that decline requests while others do not, and how many times in a
/// row; at most `max`. With 0 declines: servers that have ceased to within the
/// last second.
struct DecliningServer {
  BackendServerId server;
  std::uint8_t declines = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server, declines);
  }
  bool operator==(const DecliningServer&) const = default;
};
std::vector<DecliningServer> DecliningServers(const Router& router,
                                              std::size_t max, TimePoint now);

/// Whether many requests go unserved while fewer servers are healthy than the
/// floor demands.
bool IsBelowFloor(const Router& router);
/// Whether servers that may have recovered are needed soon: the others are
/// busy, or many requests go unserved while fewer servers are healthy than the
/// floor demands.
bool NeedsServersUrgently(const Router& router, TimePoint now);

/// Number of calls that wait, or have a decision that Pump has not yet
/// returned.
std::size_t QueueLength(const Router& router);
std::uint32_t InFlight(const Router& router, BackendServerId server);

/// Returns the subset of `servers` that the instance uses, evenly spread by
/// hashing; its own zone is preferred for half of them. A change of one server
/// moves few others. Returns all servers if `size` is 0 or not below their
/// number.
std::vector<BackendServerId> ChooseSubset(std::span<const Candidate> servers,
                                          InstanceId instance,
                                          const ZoneName& zone,
                                          std::size_t size);

/// Returns an upper estimate of the number of instances that use one server of
/// a service: the whole fleet, or the mean number of subsets that contain it
/// plus a margin. Passed to SetCandidates, which divides connections among
/// them.
std::size_t InstancesPerServer(std::size_t fleet_size, std::size_t servers,
                               std::size_t subset_size);

/// Limits per organisation of the requests in flight on this instance. Rates
/// are limited by libs/limits.
struct OrganisationLimits;
struct OrganisationLimitsDeleter {
  void operator()(OrganisationLimits* limits) const;
};
using OrganisationLimitsPtr =
    std::unique_ptr<OrganisationLimits, OrganisationLimitsDeleter>;

OrganisationLimitsPtr MakeOrganisationLimits();
/// Counts one request of an organisation that declares a limit, or returns
/// kOrganisationLimit with a wait.
std::optional<Refused> TakeRequest(OrganisationLimits& limits,
                                   const declarations::Organisation& declared,
                                   OrganisationId id, Random& random);
/// Ends a request that TakeRequest has counted.
void ReleaseRequest(OrganisationLimits& limits, OrganisationId id);
/// Returns the number of organisations with state.
std::size_t TrackedOrganisations(const OrganisationLimits& limits);

}  // namespace ibisladder::routing

#endif  // LIBS_ROUTING_ROUTER_H_
