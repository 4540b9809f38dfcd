#ifndef LIBS_DETECTION_PEER_EVIDENCE_H_
#define LIBS_DETECTION_PEER_EVIDENCE_H_

#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// What peers say about one server, with capped trust.
namespace ibisladder::detection::Internal {

/// The latest word of one peer.
struct PeerEvidence {
  InstanceId peer;
  float score = 0;
  TimePoint heard;
  bool is_answered = false;
};

/// Shares of the threshold that bound what others may contribute.
constexpr float kOnePeerCap = 1.0F / 3;
constexpr float kAllPeersCap = 1.4F;
/// Score of the word that a server has passed probation, nats; no other word is
/// as good.
constexpr float kProbationPassedScore = -100;
constexpr float kAllPeersNegativeCap = 0.5F;

/// Replaces the peer's previous word.
void SetPeerEvidence(std::vector<PeerEvidence>& entries,
                     const PeerEvidence& entry);

/// Drops words that are too old to count.
void ExpirePeerEvidence(std::vector<PeerEvidence>& entries, TimePoint now);

/// The sum of all words: one peer adds at most kOnePeerCap of the threshold,
/// or `answered_cap` for words on answered failures.
float SumOfPeerEvidence(const std::vector<PeerEvidence>& entries,
                        float threshold, float answered_cap);

/// Whether some peer reports sickness.
bool AnyPeerSuspects(const std::vector<PeerEvidence>& entries);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_PEER_EVIDENCE_H_
