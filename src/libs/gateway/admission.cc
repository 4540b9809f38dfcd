// Delays or refuses requests while a service has too little room.
#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "libs/gateway/admission_calls.h"

namespace ibisladder::gateway {
namespace Internal {
namespace {

/// Maximum number of declining servers that one message names, so that it fits
/// into a packet.
constexpr std::size_t kMaxDeclining = 80;
/// Maximum number of services in one message, and of services and servers in
/// one that is taken from another instance.
constexpr std::size_t kMaxServices = 8;

std::uint64_t HashOf(const std::string& name) {
  return name.empty() ? 0 : std::hash<std::string>()(name);
}

admission::Request MakeRequest(const Call& call, CallId id) {
  admission::Request request;
  request.call = id;
  request.priority = call.priority;
  request.organisation = HashOf(call.organisation);
  request.kind = HashOf(call.route.name);
  request.deadline = call.deadline;
  request.target_latency = call.route.target_latency;
  return request;
}

admission::Room RoomOf(const Context& context, const ServiceState& service) {
  admission::Room room;
  room.service = routing::RoomOf(*service.router, context.now);
  room.instances = context.forwarder.directory_state.advertised_instances;
  for (std::size_t i = 0; i < routing::kPriorities; ++i) {
    room.may_retry[i] = routing::MayRetry(
        *service.router, static_cast<declarations::Priority>(i), false,
        context.now);
  }
  room.retries_per_second =
      routing::RetriesPerSecond(*service.router, context.now);
  return room;
}

void GiveUpFor(Context& context, CallId id, const admission::Refuse& refusal) {
  context.forwarder.calls.at(id).refusal =
      admission::ReasonName(refusal.reason);
  GiveUp(context, id, {ResultCode::kOverloaded, refusal.retry_after});
}

std::string FormatRatio(double ratio) {
  constexpr double kHundred = 100;
  return std::to_string(std::llround(ratio * kHundred)) + "%";
}

/// Logs the begin and the end of overload.
void LogOverload(Context& context, ServiceState& service,
                 const admission::Room& room) {
  const bool is_overloaded = service.admission.is_overloaded;
  if (is_overloaded == service.overloaded_since.has_value()) return;
  const std::string& name = service.settings.name;
  if (!is_overloaded) {
    Log(context, LogEvent::kServiceRelieved,
        {{"service", name},
         {"lasted_ms", FormatMillis(context.now - *service.overloaded_since)}});
    service.overloaded_since.reset();
    return;
  }
  service.overloaded_since = context.now;
  const double allowed =
      admission::AllowedInFlight(service.admission, room, context.now);
  Log(context, LogEvent::kServiceOverloaded,
      {{"service", name},
       {"load", FormatRatio(room.service.load_per_slot)},
       {"slots", std::to_string(room.service.slots)},
       {"in_flight", std::to_string(room.service.in_flight)},
       {"allowed", std::to_string(std::llround(allowed))}});
}

/// Returns whether the call is not to be placed now.
bool ActOn(Context& context, CallId id, const admission::Decision& decision) {
  if (std::holds_alternative<admission::Send>(decision)) return false;
  Call& call = context.forwarder.calls.at(id);
  if (const auto* refusal = std::get_if<admission::Refuse>(&decision)) {
    GiveUpFor(context, id, *refusal);
    return true;
  }
  call.awaits_admission = true;
  Log(context, LogEvent::kCallQueued,
      {{"request", call.request->request_id},
       {"left_ms", FormatMillis(call.deadline - context.now)},
       {"awaits", call.attempts == 0 ? "room" : "retry budget"}});
  return true;
}

admission::End EndOf(detection::AttemptEnd end) {
  if (end == detection::AttemptEnd::kOk) return admission::End::kServed;
  return end == detection::AttemptEnd::kShed ? admission::End::kDeclined
                                             : admission::End::kFailed;
}

}  // namespace

bool AwaitsAdmission(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  if (!forwarder.has_competing_callers) return false;
  Call& call = forwarder.calls.at(id);
  const auto service = forwarder.services.find(call.service);
  if (service == forwarder.services.end()) return false;
  return ActOn(
      context, id,
      admission::Admit(service->second.admission, MakeRequest(call, id),
                       RoomOf(context, service->second), context.now,
                       forwarder.random));
}

bool AwaitsRetry(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  if (!forwarder.has_competing_callers) return false;
  Call& call = forwarder.calls.at(id);
  ServiceState& service = forwarder.services.at(call.service);
  return ActOn(context, id,
               admission::AdmitRetry(service.admission, MakeRequest(call, id),
                                     RoomOf(context, service), context.now,
                                     forwarder.random));
}

void PlaceAdmitted(Context& context, ServiceState& service) {
  Forwarder& forwarder = context.forwarder;
  admission::ServiceAdmission& admission = service.admission;
  if (admission::CountWaiting(admission) == 0 && admission.decided.empty()) {
    return;
  }
  while (const auto released =
             admission::TakeReady(admission, RoomOf(context, service),
                                  context.now, forwarder.random)) {
    const auto it = forwarder.calls.find(released->call);
    if (it == forwarder.calls.end()) continue;
    Call& call = it->second;
    call.awaits_admission = false;
    if (released->refusal) {
      GiveUpFor(context, released->call, *released->refusal);
    } else if (released->is_retry ||
               !AwaitsRenewedCredit(context, released->call)) {
      PlaceReleased(context, released->call);
    }
  }
}

void ReleaseAdmission(Context& context, CallId id) {
  Call& call = context.forwarder.calls.at(id);
  if (!std::exchange(call.awaits_admission, false)) return;
  admission::Cancel(context.forwarder.services.at(call.service).admission, id);
}

Duration SpreadRetryAfter(Context& context, const Call& call,
                          const routing::Refused& refused) {
  constexpr Duration kMinRetryAfter = Millis(50);
  constexpr int kPartOfTimeLeft = 3;
  Forwarder& forwarder = context.forwarder;
  const bool is_spread = forwarder.has_competing_callers &&
                         refused.code != ResultCode::kServersLimited &&
                         call.refusal.empty();
  if (!is_spread) return refused.retry_after;
  const Duration left = call.deadline - context.now;
  const Duration most = std::max(left / kPartOfTimeLeft, kMinRetryAfter);
  const Duration half =
      std::max(std::min(refused.retry_after, most), kMinRetryAfter) / 2;
  const auto bound = static_cast<std::uint64_t>(half.count());
  return half + Micros(static_cast<std::int64_t>(
                    UniformBelow(forwarder.random, bound)));
}

void RecordAdmissionEnd(Context& context, const Attempt& attempt,
                        detection::AttemptEnd end) {
  Forwarder& forwarder = context.forwarder;
  if (!forwarder.has_competing_callers) return;
  if (end == detection::AttemptEnd::kAbandoned) return;
  const auto it = forwarder.calls.find(attempt.call);
  const auto service = forwarder.services.find(attempt.service);
  if (it == forwarder.calls.end() || service == forwarder.services.end()) {
    return;
  }
  const Call& call = it->second;
  const std::uint64_t kind = HashOf(call.route.name);
  admission::ServiceAdmission& admission = service->second.admission;
  Duration latency = context.now - attempt.sent_at;
  // A streamed answer ends when its caller has taken it.
  if (attempt.is_streaming) latency = admission::MeanWork(admission.work, kind);
  if (end == detection::AttemptEnd::kOk && !attempt.is_streaming) {
    const double usual = ToSeconds(admission::MeanWork(admission.work, kind));
    if (usual > 0) {
      routing::RecordSlowness(*service->second.router, attempt.server,
                              ToSeconds(latency) / usual, context.now);
    }
    const double load = std::max(
        routing::ReportedLoad(*service->second.router, attempt.server), 1.0);
    latency = Micros(
        static_cast<std::int64_t>(static_cast<double>(latency.count()) / load));
  }
  admission::RecordEnd(admission, kind, call.priority, EndOf(end), latency,
                       context.now);
}

void SharePressureIfDue(Context& context) {
  Forwarder& forwarder = context.forwarder;
  if (!forwarder.has_competing_callers) return;
  admission::PressureMessage message;
  message.sender = forwarder.directory_state.self;
  std::size_t names_left = kMaxDeclining;
  for (auto& [id, service] : forwarder.services) {
    if (!service.is_configured) continue;
    const admission::Room room = RoomOf(context, service);
    auto pressure =
        admission::TakePressure(service.admission, room, context.now);
    LogOverload(context, service, room);
    if (!pressure || message.services.size() >= kMaxServices) continue;
    pressure->service = id;
    pressure->declining =
        routing::DecliningServers(*service.router, names_left, context.now);
    names_left -= pressure->declining.size();
    message.services.push_back(std::move(*pressure));
  }
  if (message.services.empty()) return;
  if (!forwarder.directory_state.is_advertised) return;
  forwarder.actions.emplace_back(SharePressure{std::move(message)});
}

void MergePressureMessage(Context& context,
                          const admission::PressureMessage& message) {
  Forwarder& forwarder = context.forwarder;
  if (!forwarder.has_competing_callers) return;
  const auto& peers = forwarder.directory_state.peers;
  if (std::ranges::find(peers, message.sender, &Peer::name) == peers.end()) {
    return;
  }
  std::size_t services = 0;
  for (const admission::ServicePressure& it : message.services) {
    if (++services > kMaxServices) return;
    const auto service = forwarder.services.find(it.service);
    if (service == forwarder.services.end()) continue;
    admission::Merge(service->second.admission, message.sender, it,
                     context.now);
    const std::size_t n = std::min(it.declining.size(), kMaxDeclining);
    for (std::size_t i = 0; i < n; ++i) {
      routing::RecordPeerDeclines(*service->second.router,
                                  it.declining[i].server,
                                  it.declining[i].declines, context.now);
    }
  }
}

}  // namespace Internal

std::map<std::string, AdmissionState> AdmissionStates(
    const Forwarder& forwarder, TimePoint now) {
  std::map<std::string, AdmissionState> states;
  if (!forwarder.has_competing_callers) return states;
  for (const auto& [id, service] : forwarder.services) {
    if (!service.is_configured) continue;
    AdmissionState state;
    state.counters = service.admission.counters;
    state.is_overloaded = service.admission.is_overloaded;
    state.awaiting_room = service.admission.first.sizes;
    state.awaiting_retry = service.admission.retries.sizes;
    state.declining_servers =
        routing::DecliningServers(*service.router, SIZE_MAX, now).size();
    states.emplace(service.settings.name, state);
  }
  return states;
}

}  // namespace ibisladder::gateway
