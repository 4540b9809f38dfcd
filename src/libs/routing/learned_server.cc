#include "libs/routing/learned_server.h"

#include <algorithm>
#include <cmath>

#include "libs/routing/choice.h"
#include "libs/routing/share.h"

namespace ibisladder::routing {
namespace Internal {
namespace {

/// Weight of the newest attempt in a server's ratio of declined requests.
constexpr float kDeclineWeight = 0.3F;
constexpr float kFailureWeight = 0.5F;
/// The same if the server reported waiting requests: it may just be full.
constexpr float kFullWeight = 0.1F;
/// Weight of the newest attempt in the service's ratio.
constexpr double kServiceWeight = 1.0 / 64;
/// A server declines more than the others if its ratio exceeds the service's by
/// this. Ratios of servers that decline half of their requests by chance differ
/// by less.
constexpr double kExcess = 0.35;
constexpr std::uint8_t kMinDeclinesInRow = 2;
constexpr std::uint8_t kMaxDeclinesInRow = 100;
/// No further server gets a long pause while more than this part of the
/// regular servers pause. All instances pause the same servers, and the floor
/// demands that most get requests at any time.
constexpr double kMaxPausedPart = 0.2;
/// Long pauses, without jitter. Short enough to notice soon that the server
/// takes requests again.
constexpr Duration kFirstLongPause = Millis(700);
constexpr Duration kMaxLongPause = Millis(2000);
constexpr std::uint8_t kMaxDoublings = 4;
/// How long a decline counts that another instance has reported.
constexpr Duration kPeerPause = Millis(1200);
/// How long others are told that a server answers again.
constexpr Duration kTellRecovery = Seconds(1);
/// How long a server appears busier after it has declined or failed a request.
constexpr Duration kRatioMemory = Seconds(8);

constexpr float kSlownessWeight = 0.4F;
constexpr double kMaxRatio = 5;
/// Time in which what was learned of a server's speed decays to 1/e.
constexpr Duration kSlownessMemory = Seconds(10);
/// Ratios up to this one arise by chance.
constexpr double kUsualSlowness = 2;

/// Returns a factor in [0.5, 1.5) that differs between servers and times.
double JitterFactor(const ServerLoad& server, TimePoint now) {
  std::uint64_t mix = server.id.value();
  mix ^= static_cast<std::uint64_t>(now.time_since_epoch().count());
  mix *= 0x9E3779B97F4A7C15ULL;
  mix ^= mix >> 29U;
  mix *= 0xBF58476D1CE4E5B9ULL;
  return 0.5 + static_cast<double>(mix >> 40U) / static_cast<double>(1U << 24U);
}

void PauseUntil(ServerLoad& server, Duration pause, TimePoint now) {
  const double jittered =
      JitterFactor(server, now) * static_cast<double>(pause.count());
  server.paused_until = std::max(
      server.paused_until, now + Micros(static_cast<std::int64_t>(jittered)));
}

/// Whether one more server may pause for long.
bool MayPauseLonger(const Router& router, TimePoint now) {
  if (ManyGoUnserved(router)) return false;
  const auto paused = std::ranges::count_if(router.healthy, [&](auto it) {
    return router.servers[it].paused_until > now &&
           router.servers[it].long_pauses > 0;
  });
  return static_cast<double>(paused) <
         kMaxPausedPart * static_cast<double>(router.healthy.size());
}

double SlownessNow(const ServerLoad& server, TimePoint now) {
  const double age = ToSeconds(now - server.slowness_at);
  const double weight = std::exp(-age / ToSeconds(kSlownessMemory));
  return 1 + (server.slowness - 1) * weight;
}

/// Returns a ratio that counts less the longer its last increase is ago.
double Faded(double ratio, Duration age) {
  if (age >= kRatioMemory) return 0;
  return ratio * (1 - ToSeconds(age) / ToSeconds(kRatioMemory));
}

}  // namespace

bool IsDeclining(const Router& router, const ServerLoad& server) {
  return server.declines_in_row >= kMinDeclinesInRow &&
         server.decline_ratio >= router.decline_ratio + kExcess;
}

void LearnFromEnd(Router& router, ServerLoad& server, detection::AttemptEnd end,
                  TimePoint now) {
  if (end == detection::AttemptEnd::kAbandoned) return;
  const bool is_declined = end == detection::AttemptEnd::kShed;
  router.decline_ratio +=
      kServiceWeight * ((is_declined ? 1 : 0) - router.decline_ratio);
  if (!is_declined) {
    server.decline_ratio -= kDeclineWeight * server.decline_ratio;
    const bool is_failed = end != detection::AttemptEnd::kOk;
    server.failure_ratio +=
        kFailureWeight * ((is_failed ? 1.0F : 0.0F) - server.failure_ratio);
    if (is_failed) {
      server.failed_at = now;
      return;
    }
    if (server.declines_in_row >= kMinDeclinesInRow) server.recovered_at = now;
    server.declines_in_row = 0;
    server.long_pauses /= 2;
    return;
  }
  const bool is_full = server.reported_in_flight > EffectiveSlots(server);
  server.decline_ratio +=
      (is_full ? kFullWeight : kDeclineWeight) * (1 - server.decline_ratio);
  server.declined_at = now;
  if (server.declines_in_row < kMaxDeclinesInRow) ++server.declines_in_row;
  if (!IsDeclining(router, server) || !MayPauseLonger(router, now)) return;
  const Duration pause = kFirstLongPause * (1 << server.long_pauses);
  PauseUntil(server, std::min(pause, kMaxLongPause), now);
  if (server.long_pauses < kMaxDoublings) ++server.long_pauses;
}

double Penalty(const Router& router, const ServerLoad& server, TimePoint now) {
  if (!router.choice.learns_from_servers) return 0;
  double penalty = std::max(SlownessNow(server, now) - kUsualSlowness, 0.0);
  if (server.declines_in_row > 0) {
    const TimePoint last =
        std::max(server.declined_at, server.declined_elsewhere_at);
    penalty += Faded(server.decline_ratio, now - last);
  }
  return penalty + Faded(server.failure_ratio, now - server.failed_at);
}

}  // namespace Internal

void RecordSlowness(Router& router, BackendServerId server, double ratio,
                    TimePoint now) {
  const auto it = router.index.find(server);
  if (it == router.index.end()) return;
  Internal::ServerLoad& load = router.servers[it->second];
  const double per_slot = std::max(ReportedLoad(router, server), 1.0);
  const double own = std::clamp(ratio / per_slot, 0.0, Internal::kMaxRatio);
  const double before = Internal::SlownessNow(load, now);
  load.slowness =
      static_cast<float>(before + Internal::kSlownessWeight * (own - before));
  load.slowness_at = now;
}

void RecordPeerDeclines(Router& router, BackendServerId server,
                        std::uint8_t declines, TimePoint now) {
  const auto it = router.index.find(server);
  if (it == router.index.end()) return;
  Internal::ServerLoad& load = router.servers[it->second];
  if (declines == 0) {
    load.paused_until = std::min(load.paused_until, now);
    load.decline_ratio /= 2;
    load.long_pauses = 0;
    return;
  }
  if (declines < Internal::kMinDeclinesInRow) return;
  // An own good answer since is better news than the other instance's.
  if (now - load.answered_at < Internal::kPeerPause) return;
  load.declined_elsewhere_at = now;
  load.declines_in_row =
      std::max(load.declines_in_row, Internal::kMinDeclinesInRow);
  load.decline_ratio = std::max(load.decline_ratio, 0.5F);
  load.long_pauses = std::max<std::uint8_t>(load.long_pauses, 1);
  if (Internal::MayPauseLonger(router, now)) {
    Internal::PauseUntil(load, Internal::kPeerPause, now);
  }
}

void ForgetFailures(Router& router) {
  for (Internal::ServerLoad& it : router.servers) {
    it.paused_until = {};
    it.pauses_in_row = 0;
    it.failures_in_row = 0;
    it.failure_ratio = 0;
    it.declines_in_row = 0;
    it.long_pauses = 0;
  }
}

std::vector<DecliningServer> DecliningServers(const Router& router,
                                              std::size_t max, TimePoint now) {
  std::vector<DecliningServer> result;
  for (const Internal::ServerLoad& it : router.servers) {
    if (result.size() >= max) break;
    const bool has_recovered = it.declines_in_row == 0 &&
                               it.recovered_at != TimePoint() &&
                               now - it.recovered_at < Internal::kTellRecovery;
    const bool is_own = now - it.declined_at < Internal::kTellRecovery;
    if (has_recovered) {
      result.push_back({it.id, 0});
    } else if (is_own && Internal::IsDeclining(router, it)) {
      result.push_back({it.id, it.declines_in_row});
    }
  }
  return result;
}

}  // namespace ibisladder::routing
