#ifndef LIBS_DETECTION_PEER_WORDS_H_
#define LIBS_DETECTION_PEER_WORDS_H_

#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// What peers say about one server, with capped trust.
namespace ibisladder::detection::Internal {

/// The latest word of one peer.
struct PeerWord {
  InstanceId peer;
  float score = 0;
  TimePoint heard;
  bool is_answered = false;
};

/// Shares of the threshold that bound what others may contribute.
constexpr float kOnePeerShare = 1.0F / 3;
constexpr float kAllPeersShare = 1.4F;
/// Score of the word that a server has passed probation, nats; no other word is
/// as good.
constexpr float kPassedWord = -100;
constexpr float kAllPeersAgainstShare = 0.5F;

/// Replaces the peer's previous word.
void SetWord(std::vector<PeerWord>& words, const PeerWord& word);

/// Drops words that are too old to count.
void ExpireWords(std::vector<PeerWord>& words, TimePoint now);

/// The sum of all words: one peer adds at most kOnePeerShare of the threshold,
/// or `answered_share` for words on answered failures.
float SumOfWords(const std::vector<PeerWord>& words, float threshold,
                 float answered_share);

/// Whether some peer reports sickness.
bool AnySuspicion(const std::vector<PeerWord>& words);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_PEER_WORDS_H_
