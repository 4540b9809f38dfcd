#include "libs/detection/recent_attempts.h"

#include <algorithm>

namespace ibisladder::detection::Internal {
namespace {

constexpr std::size_t kMinForMedian = 8;
/// Weight of the newest interval between good answers.
constexpr double kIntervalWeight = 1.0 / 16;
/// Number of mean intervals without a good answer after which the service
/// counts as silent.
constexpr double kSilentIntervals = 8;
constexpr Duration kMinSilence = Millis(50);

std::uint32_t ShortId(BackendServerId server) {
  return static_cast<std::uint32_t>(server.value());
}

std::size_t CountOf(const RecentAttempts& recent) {
  return std::min(recent.count, RecentAttempts::kSize);
}

float MedianOf(const RecentAttempts& recent) {
  std::array<float, RecentAttempts::kSize> latencies{};
  std::size_t n = 0;
  for (std::size_t i = 0; i < CountOf(recent); ++i) {
    const float latency = recent.attempts[i].latency_us;
    if (latency >= 0) latencies[n++] = latency;
  }
  if (n < kMinForMedian) return 0;
  const auto middle = latencies.begin() + n / 2;
  std::nth_element(latencies.begin(), middle, latencies.begin() + n);
  return *middle;
}

void RecordOk(RecentAttempts& recent, TimePoint now) {
  const double interval = ToSeconds(now - recent.last_ok);
  recent.ok_interval_s += kIntervalWeight * (interval - recent.ok_interval_s);
  recent.last_ok = now;
}

}  // namespace

void RecordEndedAttempt(RecentAttempts& recent, BackendServerId server,
                        bool failed, Duration latency, TimePoint now) {
  const float latency_us = failed ? -1 : static_cast<float>(latency.count());
  recent.attempts[recent.count++ % RecentAttempts::kSize] = {
      ShortId(server), failed, latency_us};
  if (failed) return;
  RecordOk(recent, now);
  recent.median_us = MedianOf(recent);
}

double FailureRatioOfOthers(const RecentAttempts& recent,
                            BackendServerId server) {
  int others = 0;
  int failures = 0;
  std::uint32_t first_failed = 0;
  bool is_shared = false;
  for (std::size_t i = 0; i < CountOf(recent); ++i) {
    const RecentAttempt& it = recent.attempts[i];
    if (it.server == ShortId(server)) continue;
    ++others;
    if (!it.failed) continue;
    if (failures++ == 0) first_failed = it.server;
    is_shared = is_shared || it.server != first_failed;
  }
  return is_shared ? static_cast<double>(failures) / others : 0;
}

bool IsAnswering(const RecentAttempts& recent, TimePoint now) {
  if (!recent.waiting_since) return true;
  const Duration silence =
      now - std::max(recent.last_ok, *recent.waiting_since);
  return silence <= kMinSilence ||
         ToSeconds(silence) <= kSilentIntervals * recent.ok_interval_s;
}

}  // namespace ibisladder::detection::Internal
