#include "libs/detection/peer_words.h"

#include <algorithm>

namespace ibisladder::detection::Internal {
namespace {

constexpr Duration kWordLife = Millis(2500);
/// One peer's good word counts little: a gray server serves some well.
constexpr float kLeastWord = -1;

}  // namespace

void SetWord(std::vector<PeerWord>& words, const PeerWord& word) {
  for (auto& it : words) {
    if (it.peer != word.peer) continue;
    it = word;
    return;
  }
  words.push_back(word);
}

void ExpireWords(std::vector<PeerWord>& words, TimePoint now) {
  std::erase_if(
      words, [now](const PeerWord& it) { return now - it.heard > kWordLife; });
  if (words.empty() && words.capacity() > 0) {
    std::vector<PeerWord>().swap(words);
  }
}

float SumOfWords(const std::vector<PeerWord>& words, float threshold,
                 float answered_share) {
  float sum = 0;
  for (const auto& it : words) {
    const float share = it.is_answered ? answered_share : kOnePeerShare;
    sum += std::clamp(it.score, kLeastWord, threshold * share);
  }
  return std::clamp(sum, -threshold * kAllPeersAgainstShare,
                    threshold * kAllPeersShare);
}

bool AnySuspicion(const std::vector<PeerWord>& words) {
  return std::any_of(words.begin(), words.end(),
                     [](const PeerWord& it) { return it.score > 0; });
}

}  // namespace ibisladder::detection::Internal
