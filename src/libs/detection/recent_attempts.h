#ifndef LIBS_DETECTION_RECENT_ATTEMPTS_H_
#define LIBS_DETECTION_RECENT_ATTEMPTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// The last few ended attempts of the whole service, other than sheds and
/// cancelled ones. Conditions that all servers share, such as an overload or a
/// broken link of this instance, show here long before the baseline has
/// adapted.
namespace ibisladder::detection::Internal {

struct RecentAttempt {
  /// Low half of the server's id; enough to tell servers apart here.
  std::uint32_t server = 0;
  bool failed = false;
  /// Latency, microseconds; negative for failures.
  float latency_us = -1;
};

struct RecentAttempts {
  static constexpr std::size_t kSize = 16;
  std::array<RecentAttempt, kSize> attempts{};
  std::size_t count = 0;
  /// Median latency of the good answers in microseconds; 0 while there are too
  /// few.
  float median_us = 0;
  TimePoint last_ok;
  /// Start of the current period in which requests were always in flight; empty
  /// while none are, since then no answer is missing.
  std::optional<TimePoint> waiting_since;
  /// When Evaluate last found that good answers are missing; see IsAnswering.
  TimePoint silent_at;
  /// Mean time between good answers, seconds.
  double ok_interval_s = 1;
};

void RecordEndedAttempt(RecentAttempts& recent, BackendServerId server,
                        bool failed, Duration latency, TimePoint now);

/// Returns the failure ratio of the other servers' recent attempts; 0 unless at
/// least two of those servers failed.
double FailureRatioOfOthers(const RecentAttempts& recent,
                            BackendServerId server);

/// Whether the service gives good answers: false if requests have been in
/// flight for several usual intervals between good answers without one. Failed
/// answers do not count.
bool IsAnswering(const RecentAttempts& recent, TimePoint now);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_RECENT_ATTEMPTS_H_
