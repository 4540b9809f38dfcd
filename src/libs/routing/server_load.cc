#include "libs/routing/server_load.h"

#include <algorithm>

namespace ibisladder::routing::Internal {
namespace {

/// Fraction of the load at the start of the warm-up.
constexpr double kInitialFraction = 0.1;
/// Maximum fraction for a server that reports that it is warming up.
constexpr double kMaxWarmingFraction = 0.5;
/// Factor applied to the limit after a shed.
constexpr float kDecrease = 0.7F;
/// Growth of the limit, in requests, over as many good answers as the limit
/// allows in flight.
constexpr float kIncrease = 0.5F;
constexpr float kMinLimit = 1;
constexpr Duration kMinPause = Millis(2);
/// Without jitter.
constexpr Duration kMaxPause = Millis(500);
/// Pause after the first shed, in multiples of the time in which one slot of
/// the server becomes free.
constexpr int kPauseSlots = 2;
/// Maximum number of doublings of the pause.
constexpr std::uint8_t kMaxShedDoublings = 2;
constexpr std::uint8_t kMaxFailureDoublings = 8;
/// Consecutive failures from which on a server counts as failing: ordinary
/// errors of 1 in 100 do that once in 10,000 requests.
constexpr std::uint8_t kMinFailuresInRow = 2;

/// Returns a factor in [0.5, 1.5) that spreads pauses of different servers and
/// times.
double JitterFactor(const ServerLoad& server, TimePoint now) {
  std::uint64_t mix = server.id.value();
  mix ^= static_cast<std::uint64_t>(now.time_since_epoch().count());
  mix *= 0x9E3779B97F4A7C15ULL;
  mix ^= mix >> 29U;
  mix *= 0xBF58476D1CE4E5B9ULL;
  return 0.5 + static_cast<double>(mix >> 40U) / static_cast<double>(1U << 24U);
}

void Pause(ServerLoad& server, std::uint8_t doublings, Duration mean_latency,
           TimePoint now) {
  Duration pause = mean_latency * kPauseSlots / EffectiveSlots(server);
  pause = std::max(pause, kMinPause);
  pause *= 1 << std::min(server.pauses_in_row, doublings);
  pause = std::min(pause, kMaxPause);
  const auto jittered =
      JitterFactor(server, now) * static_cast<double>(pause.count());
  server.paused_until = now + Micros(static_cast<std::int64_t>(jittered));
  if (server.pauses_in_row < kMaxFailureDoublings) ++server.pauses_in_row;
}

float LimitCap(const ServerLoad& server) {
  return std::min(EffectiveSlots(server), server.connection_limit);
}

void CountFailure(ServerLoad& server, detection::AttemptEnd end) {
  if (end == detection::AttemptEnd::kShed ||
      end == detection::AttemptEnd::kAbandoned) {
    return;
  }
  constexpr std::uint8_t kMaxCount = 255;
  if (end == detection::AttemptEnd::kOk) {
    server.failures_in_row = 0;
  } else if (server.failures_in_row < kMaxCount) {
    ++server.failures_in_row;
  }
}

}  // namespace

void UpdateFrom(ServerLoad& server, const Candidate& candidate, bool own_zone,
                std::size_t users_per_server) {
  const bool reopened = server.closed && !candidate.closed;
  if (reopened) server.draining = false;
  const bool is_restored = server.state != detection::ServerState::kHealthy &&
                           candidate.state == detection::ServerState::kHealthy;
  // Its trial has shown more than what was learned before.
  if (is_restored) server.failure_ratio = 0;
  server.state = candidate.state;
  server.own_zone = own_zone;
  server.closed = candidate.closed;
  server.fails_fast = candidate.fails_fast;
  server.slots = std::max<std::uint16_t>(candidate.slots, 1);
  server.warm_since = candidate.warm_since;
  const std::size_t users = std::max<std::size_t>(users_per_server, 1);
  const std::size_t connections = candidate.max_connections / users;
  server.connection_limit =
      static_cast<std::uint16_t>(std::max<std::size_t>(connections, 1));
  server.limit = std::min(server.limit, LimitCap(server));
}

std::uint16_t EffectiveSlots(const ServerLoad& server) {
  if (server.reported_slots == 0) return server.slots;
  return std::min(server.slots, server.reported_slots);
}

double WarmUpFraction(const ServerLoad& server, Duration warm_up,
                      TimePoint now) {
  const Duration age = now - server.warm_since;
  double fraction = 1;
  if (age < warm_up) {
    const double progress = std::max(ToSeconds(age) / ToSeconds(warm_up), 0.0);
    fraction = kInitialFraction + (1 - kInitialFraction) * progress;
  }
  return server.warming ? std::min(fraction, kMaxWarmingFraction) : fraction;
}

std::uint16_t InFlightLimit(const ServerLoad& server, Duration warm_up,
                            TimePoint now) {
  const double fraction = WarmUpFraction(server, warm_up, now);
  const double slots = fraction * EffectiveSlots(server);
  const double limit =
      std::min<double>({server.limit, slots, LimitCap(server)});
  return static_cast<std::uint16_t>(std::max(limit, 1.0));
}

bool HasCapacity(const ServerLoad& server, Duration warm_up, TimePoint now) {
  if (now < server.paused_until) return false;
  return server.in_flight < InFlightLimit(server, warm_up, now);
}

bool IsHeldByLimit(const ServerLoad& server, const RoutingRequest& request,
                   TimePoint now) {
  if (server.limit_per_second <= 0) return false;
  const auto priority = static_cast<std::size_t>(request.priority);
  return request.avoids_limits || now < server.next_permits[priority];
}

double EstimateLoad(const ServerLoad& server, double mean_other_load,
                    Duration report_half_life, TimePoint now) {
  const Duration age = now - server.reported_at;
  const double memory = ToSeconds(report_half_life);
  const double weight = memory / (memory + std::max(ToSeconds(age), 0.0));
  const double others =
      weight * server.reported_others + (1 - weight) * mean_other_load;
  return server.in_flight + others;
}

bool IsConnected(const ServerLoad& server, TimePoint now) {
  return server.in_flight == 0 &&
         now - server.answered_at < kMaxIdleConnectionAge;
}

bool FailsRepeatedly(const ServerLoad& server) {
  return server.failures_in_row >= kMinFailuresInRow;
}

void UpdateAfterAttempt(ServerLoad& server, detection::AttemptEnd end,
                        Duration mean_latency, TimePoint now) {
  CountFailure(server, end);
  switch (end) {
    case detection::AttemptEnd::kOk:
      server.pauses_in_row = 0;
      server.answered_at = now;
      server.limit += kIncrease / server.limit;
      server.limit = std::min(server.limit, LimitCap(server));
      break;
    case detection::AttemptEnd::kShed:
      server.limit = std::max(server.limit * kDecrease, kMinLimit);
      server.reported_others = EffectiveSlots(server);
      server.reported_at = now;
      Pause(server, kMaxShedDoublings, mean_latency, now);
      break;
    case detection::AttemptEnd::kConnectFailed:
    case detection::AttemptEnd::kLost:
      // A server that fails fast would look idle and attract all requests.
      Pause(server, kMaxFailureDoublings, mean_latency, now);
      break;
    case detection::AttemptEnd::kError:
    case detection::AttemptEnd::kCorrupt:
    case detection::AttemptEnd::kTimeout:
    case detection::AttemptEnd::kAbandoned:
      break;
  }
}

}  // namespace ibisladder::routing::Internal
