#ifndef LIBS_DETECTION_PEER_EVIDENCE_H_
#define LIBS_DETECTION_PEER_EVIDENCE_H_

#include <optional>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// Evidence of peers, the other instances, about one server, with caps on its
/// influence.
namespace ibisladder::detection::Internal {

/// The latest evidence of one peer.
struct PeerEvidence {
  InstanceId peer;
  float score = 0;
  TimePoint heard;
  bool is_answered = false;
};

/// Bounds on the contribution of peers, as multiples of the threshold.
constexpr float kOnePeerCap = 1.0F / 3;
constexpr float kAllPeersCap = 1.4F;
/// Score, in nats, that reports a passed probation; no other evidence reaches
/// it.
constexpr float kProbationPassedScore = -100;
/// Score, in nats, that reports a server that answered failures until the peer
/// ejected it.
constexpr float kVerdictScore = 64;
/// Bound on the sum of good peer evidence, as a multiple of the threshold.
constexpr float kAllPeersNegativeCap = 0.5F;

/// Replaces the peer's previous evidence.
void SetPeerEvidence(std::vector<PeerEvidence>& entries,
                     const PeerEvidence& entry);

/// Drops evidence that is too old to count.
void ExpirePeerEvidence(std::vector<PeerEvidence>& entries, TimePoint now);

/// Returns the sum of all entries. One peer adds at most kOnePeerCap times the
/// threshold, or `answered_cap` times for answered failures.
float SumOfPeerEvidence(const std::vector<PeerEvidence>& entries,
                        float threshold, float answered_cap);

/// The same for instances that coordinate trials. Evidence of failures that the
/// server answered counts if it reaches the threshold. Otherwise it loses
/// `loss` nats a second, or does not count without it: other instances send
/// evidence of single failures and none of the good answers that follow, so
/// that old failures of a healthy server would add up.
float SumOfDecisiveEvidence(const std::vector<PeerEvidence>& entries,
                            float threshold, float answered_cap,
                            std::optional<float> loss, TimePoint now);

/// Takes `loss` nats from evidence of failures below the threshold, since the
/// server has given a good answer.
void ReduceWeakEvidence(std::vector<PeerEvidence>& entries, float threshold,
                        float loss);

/// Whether there is evidence that ReduceWeakEvidence would reduce.
bool AnyWeakEvidence(const std::vector<PeerEvidence>& entries, float threshold);

/// Whether any peer reports the server as unhealthy.
bool AnyPeerEvidenceAgainst(const std::vector<PeerEvidence>& entries);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_PEER_EVIDENCE_H_
