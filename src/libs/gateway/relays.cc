// Passes requests on to other instances while this one does not reach the
// servers, and handles requests that others pass on. A request is passed on
// once at the most: the instance that gets it never passes it on.
#include <algorithm>
#include <optional>
#include <utility>

#include "libs/gateway/admission_calls.h"
#include "libs/gateway/authorisation.h"

namespace ibisladder::gateway::Internal {
namespace {

/// Number of instances that are tried for one call while the path is lost.
/// Further ones are tried only if that is safe.
constexpr std::size_t kMaxPeers = 3;
/// The same for a call whose connects failed while others may succeed.
constexpr std::size_t kMaxPeersWithPath = 1;
/// The other instance answers this much before the call's deadline.
constexpr Duration kAnswerMargin = Millis(25);
constexpr Duration kMinRelayTime = Millis(60);
constexpr Duration kUnreachablePause = Seconds(1);
constexpr Duration kRefusedPause = Millis(200);
constexpr Duration kRetryAfter = Millis(500);
/// Calls that an instance carries for others, as a multiple of its part of the
/// service's slots, and at least.
constexpr std::size_t kMaxCarriedShares = 2;
constexpr std::size_t kMinCarried = 4;

constexpr int kFirstServerError = 500;
constexpr int kStatusUnavailable = 503;

bool HasPath(const PeerState& peer, ServiceId service, TimePoint now) {
  return now >= peer.lost_until || !peer.lost.contains(service);
}

bool IsUsable(const Context& context, const Call& call, const Peer& peer) {
  if (peer.endpoint.port == 0) return false;
  if (std::ranges::find(call.peers, peer.name) != call.peers.end()) {
    return false;
  }
  const auto it = context.forwarder.peer_states.find(peer.name);
  return it == context.forwarder.peer_states.end() ||
         (context.now >= it->second.unusable_until &&
          HasPath(it->second, call.service, context.now));
}

std::size_t InFlightAt(const Forwarder& forwarder, const Peer& peer) {
  const auto it = forwarder.peer_states.find(peer.name);
  return it == forwarder.peer_states.end() ? 0 : it->second.in_flight;
}

/// Returns the better one of two random instances: the one with fewer calls of
/// this instance, then one in its zone. Advertised ones go first, since they
/// know the servers' loads.
const Peer* ChoosePeer(Context& context, const Call& call) {
  Forwarder& forwarder = context.forwarder;
  std::vector<const Peer*> usable;
  for (const Peer& it : forwarder.directory_state.peers) {
    if (IsUsable(context, call, it)) usable.push_back(&it);
  }
  if (usable.empty()) return nullptr;
  const auto others =
      std::stable_partition(usable.begin(), usable.end(),
                            [](const Peer* it) { return it->is_advertised; });
  const auto advertised = static_cast<std::size_t>(others - usable.begin());
  const std::size_t n = advertised > 0 ? advertised : usable.size();
  const Peer* a = usable[UniformBelow(forwarder.random, n)];
  const Peer* b = usable[UniformBelow(forwarder.random, n)];
  const auto rank = [&](const Peer* it) {
    return std::pair(InFlightAt(forwarder, *it),
                     it->zone != forwarder.settings.zone);
  };
  return rank(b) < rank(a) ? b : a;
}

/// Whether the call may go to a server behind another instance, and this
/// instance's link is what keeps it from one.
bool MayRelay(Context& context, const Call& call) {
  const auto service = context.forwarder.services.find(call.service);
  if (call.request->relayed || call.caller_left || call.is_streaming ||
      call.server_failure || service == context.forwarder.services.end()) {
    return false;
  }
  const bool is_safe =
      call.route.repeat == RepeatRule::kIdempotent || !call.may_have_run;
  const bool is_lost = service->second.path.lost_since.has_value();
  const bool has_no_path = is_lost || call.connect_failures > 0;
  const std::size_t max_peers = is_lost ? kMaxPeers : kMaxPeersWithPath;
  return is_safe && has_no_path && !MayOutlastStop(context, call) &&
         call.peers.size() < max_peers &&
         call.attempts < call.route.max_attempts &&
         call.deadline - context.now > kMinRelayTime;
}

void PassOn(Context& context, CallId id, const Peer& peer) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  const AttemptId attempt(++forwarder.last_attempt);
  const BackendServerId key = MakeBackendServerId("instance", peer.name);
  const bool leaves_zone = peer.zone != forwarder.settings.zone;
  call.is_queued = false;
  call.is_admitted = false;
  call.refusal.clear();
  call.peers.push_back(peer.name);
  CountAdmitted(context, call);
  call.in_flight.push_back(attempt);
  ++forwarder.peer_states[peer.name].in_flight;
  forwarder.attempts[attempt] = {id,    call.service, key,      context.now,
                                 false, leaves_zone,  peer.name};
  RelayOrigin origin;
  origin.service = call.service;
  origin.version = forwarder.routes->configuration->version;
  origin.attempts_left = call.route.max_attempts - call.attempts;
  origin.is_retry = call.attempts > 0 || call.was_declined_elsewhere;
  origin.caller_address = call.request->caller_address;
  const auto organisation = OrganisationFieldOf(forwarder, call);
  if (organisation) origin.caller = {call.priority, *organisation};
  const Duration left = call.deadline - context.now;
  Log(context, LogEvent::kCallRelayed,
      {{"request", call.request->request_id},
       {"instance", peer.name},
       {"left_ms", FormatMillis(left)}});
  forwarder.actions.emplace_back(SendAttempt{
      attempt, key, peer.endpoint, "", call.request, left - kAnswerMargin,
      leaves_zone, std::move(origin), organisation});
}

/// Whether an instance that refuses with this code has sent the request to no
/// server, so that it is not repeated if another one sends it.
bool IsUnsent(ResultCode code) {
  switch (code) {
    case ResultCode::kNotReady:
    case ResultCode::kStopping:
    case ResultCode::kRequestTableFull:
    case ResultCode::kServerUnreachable:
    case ResultCode::kKeyUnverified:
      return true;
    default:
      return false;
  }
}

/// Goes on with a call that another instance did not run.
void GoOn(Context& context, CallId id, ResultCode code, Duration retry_after) {
  Forwarder& forwarder = context.forwarder;
  const Call& call = forwarder.calls.at(id);
  if (!call.in_flight.empty()) return;
  if (call.caller_left) {
    if (!call.may_have_run) ReleaseCredit(context, id);
    forwarder.calls.erase(id);
    return;
  }
  if (TryRelay(context, id)) return;
  if (call.may_have_run) code = ResultCode::kServerConnectionLost;
  AnswerWithCode(context, id, code, retry_after);
}

/// Handles an answer that the other instance generated itself.
void HandleOwnAnswer(Context& context, CallId id, const std::string& peer,
                     const ServerAnswer& answer) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  const ResultCode code = *answer.relay_result;
  call.last_failure = "result " + std::to_string(static_cast<int>(code)) +
                      " of instance " + peer;
  const bool has_not_run = OutcomeOf(code) == Outcome::kNotRun;
  if (answer.status == kStatusUnavailable && has_not_run) {
    ++forwarder.counters.relays["refused"];
    PeerState& state = forwarder.peer_states[peer];
    state.unusable_until = context.now + kRefusedPause;
    call.was_declined_elsewhere =
        call.was_declined_elsewhere || !IsUnsent(code);
    GoOn(context, id, code, answer.pause.value_or(kRetryAfter));
    return;
  }
  ++forwarder.counters.relays["failed"];
  call.may_have_run = call.may_have_run || !has_not_run;
  AnswerWithCode(context, id, code, Duration::zero());
}

/// Returns how many calls this instance carries for others at once: the sound
/// instances divide the service's slots among them.
std::size_t CarriedLimit(const Context& context, ServiceId id,
                         const ServiceState& service) {
  const Forwarder& forwarder = context.forwarder;
  std::size_t slots = 0;
  for (const auto& [server, known] : service.servers) {
    slots += known.entry.slots;
  }
  std::size_t sound = forwarder.directory_state.advertised_instances;
  for (const Peer& it : forwarder.directory_state.peers) {
    const auto state = forwarder.peer_states.find(it.name);
    const bool has_path = state == forwarder.peer_states.end() ||
                          HasPath(state->second, id, context.now);
    if (it.is_advertised && !has_path && sound > 1) --sound;
  }
  return std::max(kMinCarried,
                  kMaxCarriedShares * slots / std::max<std::size_t>(sound, 1));
}

std::size_t CountCarried(const Forwarder& forwarder, ServiceId service) {
  return static_cast<std::size_t>(
      std::ranges::count_if(forwarder.calls, [&](const auto& it) {
        return it.second.request->relayed && it.second.service == service;
      }));
}

/// Returns the installed route of a request that was passed on; none if this
/// instance does not know what the other one decided.
const Route* FindRelayedRoute(const Forwarder& forwarder,
                              const CallerRequest& request) {
  if (!forwarder.routes ||
      forwarder.routes->configuration->version < request.relayed->version) {
    return nullptr;
  }
  const Route* route =
      FindRoute(*forwarder.routes, request.host, request.target);
  if (route == nullptr) return nullptr;
  const bool has_service =
      std::ranges::any_of(route->services, [&](const WeightedService& it) {
        return MakeServiceId(it.service) == request.relayed->service;
      });
  return has_service ? route : nullptr;
}

/// Returns why a request that was passed on is refused at once.
std::optional<ResultCode> RelayRefusal(const Context& context,
                                       ServiceId service_id) {
  const auto service = context.forwarder.services.find(service_id);
  if (service == context.forwarder.services.end()) {
    return ResultCode::kNotReady;
  }
  if (service->second.path.lost_since) return ResultCode::kServerUnreachable;
  // The call itself is not counted yet.
  if (CountCarried(context.forwarder, service_id) >=
      CarriedLimit(context, service_id, service->second)) {
    return ResultCode::kRequestTableFull;
  }
  return std::nullopt;
}

}  // namespace

bool TryRelay(Context& context, CallId id) {
  const Call& call = context.forwarder.calls.at(id);
  if (!call.in_flight.empty() || !MayRelay(context, call)) return false;
  const Peer* peer = ChoosePeer(context, call);
  if (peer == nullptr) {
    ++context.forwarder.counters.relays["no_instance"];
    return false;
  }
  PassOn(context, id, *peer);
  return true;
}

void MoveToPeer(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  const bool is_repeatable = call.route.repeat == RepeatRule::kIdempotent;
  const bool waits = call.is_queued || call.awaits_admission ||
                     (is_repeatable && !call.in_flight.empty());
  const bool is_relayed = std::ranges::any_of(
      call.in_flight, [&](AttemptId it) { return IsRelay(forwarder, it); });
  if (!waits || is_relayed || !MayRelay(context, call)) return;
  const Peer* peer = ChoosePeer(context, call);
  if (peer == nullptr) return;
  if (call.is_queued) {
    routing::RemoveQueued(*forwarder.services.at(call.service).router, id);
  }
  ReleaseAdmission(context, id);
  for (const AttemptId it : std::vector<AttemptId>(call.in_flight)) {
    forwarder.actions.emplace_back(CancelAttempt{it});
    call.may_have_run = true;
    EndAttempt(context, it, detection::AttemptEnd::kAbandoned);
  }
  PassOn(context, id, *peer);
}

void EndRelay(Context& context, AttemptId id) {
  Forwarder& forwarder = context.forwarder;
  const auto it = forwarder.attempts.find(id);
  const Attempt attempt = std::move(it->second);
  forwarder.attempts.erase(it);
  --forwarder.peer_states.at(attempt.peer).in_flight;
  if (const auto call = forwarder.calls.find(attempt.call);
      call != forwarder.calls.end()) {
    std::erase(call->second.in_flight, id);
  }
}

void HandleRelayAnswer(Context& context, AttemptId id, ServerAnswer answer) {
  Forwarder& forwarder = context.forwarder;
  const Attempt attempt = forwarder.attempts.at(id);
  EndRelay(context, id);
  const auto it = forwarder.calls.find(attempt.call);
  if (it == forwarder.calls.end()) return;
  if (answer.relay_result) {
    HandleOwnAnswer(context, attempt.call, attempt.peer, answer);
    return;
  }
  ++forwarder.counters.relays["answered"];
  if (it->second.is_streaming) {
    FinishStream(context, attempt.call, answer.status, ResultCode::kDone);
    return;
  }
  // The other instance passes on only what a server signed, and failures.
  const bool is_valid =
      !answer.not_run && !answer.is_encoded && !PromisesNotRun(answer.status) &&
      (answer.is_signed || answer.status >= kFirstServerError);
  if (!is_valid) {
    it->second.may_have_run = true;
    AnswerWithCode(context, attempt.call, ResultCode::kAnswerCorrupt,
                   Duration::zero());
    return;
  }
  CallerAnswer result;
  result.status = answer.status;
  result.headers = std::move(answer.headers);
  result.body = std::move(answer.body);
  Finish(context, attempt.call, std::move(result));
}

void HandleRelayFailure(Context& context, AttemptId id,
                        AttemptFailure failure) {
  Forwarder& forwarder = context.forwarder;
  const Attempt attempt = forwarder.attempts.at(id);
  EndRelay(context, id);
  ++forwarder.counters.relays["failed"];
  forwarder.peer_states.at(attempt.peer).unusable_until =
      context.now + kUnreachablePause;
  const auto it = forwarder.calls.find(attempt.call);
  if (it == forwarder.calls.end()) return;
  Call& call = it->second;
  call.last_failure =
      std::string(FailureName(failure)) + " at instance " + attempt.peer;
  if (call.is_streaming) {
    FinishStream(context, attempt.call, 0, ResultCode::kAnswerTruncated);
    return;
  }
  if (failure != AttemptFailure::kConnectFailed) {
    call.may_have_run = true;
    // The other instance may have made all that were left.
    call.attempts = call.route.max_attempts;
  }
  GoOn(context, attempt.call, ResultCode::kServerUnreachable, kRetryAfter);
}

void RouteRelayed(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  const RelayOrigin& origin = *call.request->relayed;
  const Route* route = FindRelayedRoute(forwarder, *call.request);
  const auto refusal = route == nullptr ? ResultCode::kNotReady
                                        : RelayRefusal(context, origin.service);
  if (refusal) {
    AnswerWithCode(context, id, *refusal, kRetryAfter);
    return;
  }
  call.route = *route;
  call.route.max_attempts = std::min(route->max_attempts, origin.attempts_left);
  call.priority = PriorityOf(route->priority);
  if (const auto refused = CheckRelayedCaller(context, id)) {
    AnswerWithCode(context, id, refused->code, refused->retry_after);
    return;
  }
  call.service = origin.service;
  const Duration timeout = call.request->timeout.value_or(route->timeout);
  call.deadline = call.arrived_at + std::min(timeout, route->timeout);
  PlaceAttempt(context, id, origin.is_retry, false);
}

}  // namespace ibisladder::gateway::Internal
