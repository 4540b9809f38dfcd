#include "libs/detection/peer_evidence.h"

#include <algorithm>

namespace ibisladder::detection::Internal {
namespace {

/// Peer evidence expires if the peer does not report it again within this time.
constexpr Duration kEvidenceLifetime = Millis(2500);
/// Good evidence of one peer counts little: a server with a gray failure serves
/// some peers well.
constexpr float kMinPeerScore = -1;

float Contribution(const PeerEvidence& entry, float threshold,
                   float answered_cap) {
  const float cap = entry.is_answered ? answered_cap : kOnePeerCap;
  return std::clamp(entry.score, kMinPeerScore, threshold * cap);
}

/// Evidence of failures that the server answered, less than a verdict.
bool IsWeak(const PeerEvidence& entry, float threshold) {
  return entry.is_answered && entry.score > 0 && entry.score < threshold;
}

float Bounded(float sum, float threshold) {
  return std::clamp(sum, -threshold * kAllPeersNegativeCap,
                    threshold * kAllPeersCap);
}

}  // namespace

void SetPeerEvidence(std::vector<PeerEvidence>& entries,
                     const PeerEvidence& entry) {
  for (auto& it : entries) {
    if (it.peer != entry.peer) continue;
    it = entry;
    return;
  }
  entries.push_back(entry);
}

void ExpirePeerEvidence(std::vector<PeerEvidence>& entries, TimePoint now) {
  std::erase_if(entries, [now](const PeerEvidence& it) {
    return now - it.heard > kEvidenceLifetime;
  });
  if (entries.empty() && entries.capacity() > 0) {
    std::vector<PeerEvidence>().swap(entries);
  }
}

float SumOfPeerEvidence(const std::vector<PeerEvidence>& entries,
                        float threshold, float answered_cap) {
  float sum = 0;
  for (const auto& it : entries) {
    sum += Contribution(it, threshold, answered_cap);
  }
  return Bounded(sum, threshold);
}

float SumOfDecisiveEvidence(const std::vector<PeerEvidence>& entries,
                            float threshold, float answered_cap,
                            std::optional<float> loss, TimePoint now) {
  float sum = 0;
  for (PeerEvidence it : entries) {
    const bool is_weak = IsWeak(it, threshold);
    if (is_weak && !loss) continue;
    if (is_weak) {
      const auto age = static_cast<float>(ToSeconds(now - it.heard));
      it.score = std::max(0.0F, it.score - *loss * age);
    }
    sum += Contribution(it, threshold, answered_cap);
  }
  return Bounded(sum, threshold);
}

void ReduceWeakEvidence(std::vector<PeerEvidence>& entries, float threshold,
                        float loss) {
  for (auto& it : entries) {
    if (IsWeak(it, threshold)) it.score = std::max(0.0F, it.score - loss);
  }
}

bool AnyWeakEvidence(const std::vector<PeerEvidence>& entries,
                     float threshold) {
  return std::ranges::any_of(
      entries, [&](const auto& it) { return IsWeak(it, threshold); });
}

bool AnyPeerEvidenceAgainst(const std::vector<PeerEvidence>& entries) {
  return std::any_of(entries.begin(), entries.end(),
                     [](const PeerEvidence& it) { return it.score > 0; });
}

}  // namespace ibisladder::detection::Internal
