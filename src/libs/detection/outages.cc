#include "libs/detection/outages.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace ibisladder::detection::Internal {
namespace {

/// Range of the prior.
constexpr double kShortestPrior = 0.5;
constexpr double kPriorDoublings = 7;
constexpr Duration kMinWait = Millis(500);
/// Below the time after which any instance may try a server that nobody
/// reports on; see TrialRole.
constexpr Duration kMaxWait = Seconds(9);
/// Part of the time between the last failure and the restoration by which the
/// estimate stays below the latter. Without it, trials at the estimated end
/// would never find out that outages have become shorter.
constexpr double kUnseenPart = 1.0 / 16;
/// An outage that outlasts all known ones is expected to last longer by this
/// part of its length.
constexpr double kUnknownPart = 0.25;

}  // namespace

OutageLengths::OutageLengths() {
  for (std::size_t i = 0; i < kSize; ++i) {
    const double place = static_cast<double>(i) / (kSize - 1);
    seconds[i] =
        static_cast<float>(kShortestPrior * std::exp2(kPriorDoublings * place));
  }
  // The oldest one is replaced first, so that short and long ones are replaced
  // by turns.
  constexpr std::size_t kStride = 13;
  const auto sorted = seconds;
  for (std::size_t i = 0; i < kSize; ++i) {
    seconds[i] = sorted[i * kStride % kSize];
  }
}

void RecordOutage(OutageLengths& lengths, Duration failing_for,
                  Duration restored_after) {
  const double unseen = ToSeconds(restored_after - failing_for);
  const double length = ToSeconds(restored_after) - kUnseenPart * unseen;
  lengths.seconds[lengths.count++ % OutageLengths::kSize] =
      static_cast<float>(std::max(length, 0.0));
}

Duration WaitBeforeTrial(const OutageLengths& lengths, Duration failing_for,
                         double chance) {
  const auto failed = static_cast<float>(ToSeconds(failing_for));
  std::vector<float> longer;
  std::ranges::copy_if(lengths.seconds, std::back_inserter(longer),
                       [&](float it) { return it > failed; });
  double wait = kUnknownPart * failed;
  if (!longer.empty()) {
    const auto place =
        longer.begin() + static_cast<std::ptrdiff_t>(chance * longer.size());
    std::ranges::nth_element(longer, place);
    wait = *place - failed;
  }
  return std::clamp(Micros(static_cast<std::int64_t>(wait * 1e6)), kMinWait,
                    kMaxWait);
}

}  // namespace ibisladder::detection::Internal
