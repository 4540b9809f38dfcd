#include "libs/detection/scoring.h"

#include <algorithm>

#include "libs/detection/trial_times.h"

namespace ibisladder::detection::Internal {
namespace {

/// Time constant of the decay of evidence.
constexpr Duration kDecayTime = Seconds(45);
/// After an ejection no new evidence arrives. Existing evidence is held until
/// every peer has received it, and is gone when probation starts.
constexpr Duration kHoldEjected = Seconds(5);
/// So long that evidence hardly decays while it is held.
constexpr Duration kDecayTimeHeld = Seconds(3600);
constexpr Duration kDecayTimeEjected = Millis(700);
/// Applies while the whole service is silent, or while it has changed and the
/// server is no outlier.
constexpr Duration kDecayTimeShift = Seconds(1);

/// Bounds of this instance's own part, as multiples of the threshold.
constexpr float kMaxOwnRatio = 2;
constexpr float kMinOwnRatio = -0.12F;
/// Without good answers from other servers, this instance's own link may be at
/// fault. Each good answer since the evidence began raises the bound.
constexpr float kBaseOwnRatio = 1.0F / 3;
constexpr float kOwnRatioPerOkElsewhere = 1.0F / 6;
/// An own score that exceeds twice the service score by this much shows a fault
/// of the server itself.
constexpr float kOutlierScore = 4;

/// Latencies of servers that warm up are divided by this.
constexpr float kWarmUpLatencyFactor = 5;

constexpr Duration kRateWindow = Seconds(5);
/// A peer without digests for this long no longer counts as part of the fleet.
constexpr Duration kPeerMemory = Seconds(60);
/// Weight of the newest window in the rate.
constexpr double kRateWeight = 0.3;
/// Assumed observations per second of a server before any is seen.
constexpr double kFirstRate = 1;

/// Evidence, in nats, that a good answer takes from that of failures.
constexpr double kGoodAnswer = 0.43;
/// An own failure counts together with peers' evidence until good answers have
/// taken this much from it, nats.
constexpr float kMaxLost = 2;
/// Part of the usual good answers that is assumed to be given and not told, as
/// datagrams may be lost and older builds tell none.
constexpr double kUntold = 0;

/// What a good answer takes from evidence of single failures of others, nats.
/// More than its likelihood ratio, since it also shows that the failures were
/// not in a row, as those of most healthy servers are not.
constexpr float kLossByGoodAnswer = 2;
/// Good answers are told for so long after a failure; the same as the life of
/// peers' evidence.
constexpr Duration kSuspicionTime = Millis(2500);

bool InService(const Server& server) {
  return !server.member.leaving && server.state != ServerState::kEjected &&
         server.state != ServerState::kProbation;
}

float InFlightEvidence(const Detector& detector, const Server& server,
                       TimePoint now) {
  float sum = 0;
  for (const auto& it : server.in_flight) {
    if (it.started <= detector.recent.silent_at) continue;
    sum +=
        ScoreInFlight(detector.baseline,
                      AdjustedLatency(detector, server, now - it.started, now));
  }
  return sum;
}

/// Returns the upper bound of the own part as a multiple of the threshold.
float MaxOwnRatio(const Detector& detector, const Server& server,
                  TimePoint now) {
  if (!IsAnswering(detector.recent, now)) return kBaseOwnRatio;
  const std::uint32_t others_ok =
      detector.ok - server.ok - server.others_ok_before;
  return std::min(
      kMaxOwnRatio,
      kBaseOwnRatio + kOwnRatioPerOkElsewhere * static_cast<float>(others_ok));
}

float SumOfPeers(const Detector& detector, const Server& server,
                 TimePoint now) {
  const float cap = detector.tuning.answered_peer_cap;
  if (!detector.tuning.coordinates_trials) {
    return SumOfPeerEvidence(server.peer_evidence, detector.threshold, cap);
  }
  const auto loss = static_cast<float>(kUntold * kGoodAnswer *
                                       RequestsPerServerSecond(detector));
  const auto age =
      static_cast<float>(ToSeconds(now - server.answered_failure_at));
  const bool has_just_failed =
      age * loss + server.lost_since_failure < kMaxLost;
  return SumOfDecisiveEvidence(
      server.peer_evidence, detector.threshold, cap,
      has_just_failed ? std::optional(loss) : std::nullopt, now);
}

/// Returns the rank of the server whose score stands for the service. It is
/// well above the median, because more unhealthy servers than that could not be
/// ejected anyway. In small pools it is no higher, so that a single unhealthy
/// server does not hide itself.
std::size_t ServiceScoreRank(std::size_t servers) {
  constexpr std::size_t kSmallPool = 4;
  constexpr std::size_t kPercent = 70;
  const std::size_t last = servers - 1;
  return servers <= kSmallPool ? last / 2 : last * kPercent / 100;
}

}  // namespace

Score ScoreOf(const Detector& detector, const Server& server, TimePoint now) {
  Score score;
  score.failures = server.own.failures;
  score.slowness = server.own.slowness;
  score.answered_failures = server.own.answered_failures;
  score.in_flight = InFlightEvidence(detector, server, now);
  const float untested =
      std::max(score.failures, score.slowness + score.in_flight);
  const float bounded =
      std::clamp(untested, detector.threshold * kMinOwnRatio,
                 detector.threshold * MaxOwnRatio(detector, server, now));
  // Answers prove that the path works, so only evidence that may be the path's
  // fault is bounded.
  const float answered = score.answered_failures;
  const bool is_proven = answered > 0;
  score.own = is_proven ? std::max(untested, answered) : untested;
  score.peers = SumOfPeers(detector, server, now);
  score.raw =
      untested + (detector.tuning.service_score_counts_peers ? score.peers : 0);
  score.total =
      score.peers + (is_proven ? std::max(bounded, answered) : bounded);
  return score;
}

bool IsSuspected(const Detector& detector, const Server& server,
                 TimePoint now) {
  if (!detector.tuning.coordinates_trials) return false;
  const bool has_failed_here =
      server.own.answered_failures > 0 &&
      server.lost_since_failure < kMaxLost &&
      now - server.answered_failure_at < kSuspicionTime;
  return server.state == ServerState::kHealthy &&
         (has_failed_here ||
          AnyWeakEvidence(server.peer_evidence, detector.threshold));
}

void CountGoodAnswer(const Detector& detector, Server& server) {
  ReduceWeakEvidence(server.peer_evidence, detector.threshold,
                     kLossByGoodAnswer);
  server.lost_since_failure += kLossByGoodAnswer;
}

Duration DecayTime(const Detector& detector, const Server& server,
                   TimePoint now) {
  if (server.state == ServerState::kEjected) {
    return now - server.since < kHoldEjected ? kDecayTimeHeld
                                             : kDecayTimeEjected;
  }
  if (!IsAnswering(detector.recent, now)) return kDecayTimeShift;
  const bool is_shift = now < detector.shift_end;
  return is_shift && !IsOutlier(detector, server) ? kDecayTimeShift
                                                  : kDecayTime;
}

bool IsOutlier(const Detector& detector, const Server& server) {
  constexpr float kServiceScoreFactor = 2;
  const float own = std::max(
      {server.own.failures, server.own.slowness, server.own.answered_failures});
  return own >= kOutlierScore + kServiceScoreFactor * detector.service_score;
}

float MinSum(const Detector& detector, const Server& server) {
  const bool has_evidence_against =
      server.own.failures > 0 || server.own.slowness > 0 ||
      server.own.answered_failures > 0 ||
      AnyPeerEvidenceAgainst(server.peer_evidence);
  return has_evidence_against ? detector.threshold * kMinOwnRatio : 0;
}

Duration AdjustedLatency(const Detector& detector, const Server& server,
                         Duration latency, TimePoint now) {
  const float shared =
      detector.baseline.latency.median_us > 0
          ? std::max(1.0F, detector.recent.median_us /
                               detector.baseline.latency.median_us)
          : 1;
  const float warm_up_factor =
      now < server.warm_until ? kWarmUpLatencyFactor : 1;
  // Queueing lengthens the slow answers of a busy service more than the median.
  const float scale = shared * shared * warm_up_factor;
  return Duration(
      static_cast<std::int64_t>(static_cast<float>(latency.count()) / scale));
}

float ServiceScore(const Detector& detector, const std::vector<Score>& active) {
  std::size_t in_service = 0;
  for (const auto& it : detector.servers) in_service += InService(it) ? 1 : 0;
  std::vector<float> totals(in_service, 0);
  std::size_t n = 0;
  for (std::size_t i = 0; i < active.size(); ++i) {
    const Server& server = detector.servers[detector.active[i]];
    if (!InService(server)) continue;
    totals[n++] = std::max(0.0F, active[i].raw);
  }
  if (in_service < 2) return 0;
  const auto at = totals.begin() +
                  static_cast<std::ptrdiff_t>(ServiceScoreRank(in_service));
  std::nth_element(totals.begin(), at, totals.end());
  return *at;
}

void CountAttempt(Detector& detector, TimePoint now) {
  ++detector.rate_attempts;
  const Duration passed = now - detector.rate_since;
  if (passed < kRateWindow) return;
  const double newest = detector.rate_attempts / ToSeconds(passed);
  detector.rate += kRateWeight * (newest - detector.rate);
  detector.rate_attempts = 0;
  detector.rate_since = now;
  UpdateThreshold(detector, now);
}

void UpdateThreshold(Detector& detector, TimePoint now) {
  std::erase_if(detector.peers, [now](const auto& it) {
    return now - it.second > kPeerMemory;
  });
  const double servers =
      static_cast<double>(std::max<std::size_t>(1, detector.servers.size()));
  const double fleet = static_cast<double>(detector.peers.size()) + 1;
  const double rate =
      detector.rate > 0 ? detector.rate * fleet / servers : kFirstRate;
  detector.threshold =
      ThresholdFor(detector.service.false_ejections_per_server_day, rate,
                   detector.tuning.min_threshold);
}

}  // namespace ibisladder::detection::Internal
