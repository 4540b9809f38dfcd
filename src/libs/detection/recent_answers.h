#ifndef LIBS_DETECTION_RECENT_ANSWERS_H_
#define LIBS_DETECTION_RECENT_ANSWERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// The last few answers of the whole service: what its servers share at this
/// moment, such as an overload or a broken link of this instance, shows here
/// long before the norm has learned it.
namespace ibisladder::detection::Internal {

struct RecentAnswer {
  /// Low half of the server's id; enough to tell servers apart here.
  std::uint32_t server = 0;
  bool failed = false;
  /// Latency, microseconds; negative for failures.
  float latency_us = -1;
};

struct RecentAnswers {
  static constexpr std::size_t kSize = 16;
  std::array<RecentAnswer, kSize> answers{};
  std::size_t count = 0;
  /// Median of the good ones' latencies, microseconds; 0 while too few.
  float median_us = 0;
  TimePoint last_ok;
  /// Since when there have been requests in flight all the while; none: there
  /// are none, and no answer is missed.
  std::optional<TimePoint> waiting_since;
  /// When the service as a whole last was silent.
  TimePoint silent_at;
  /// Mean time between good answers, seconds.
  double ok_interval_s = 1;
};

void RecordAnswer(RecentAnswers& recent, BackendServerId server, bool failed,
                  Duration latency, TimePoint now);

/// Share of the recent answers of other servers that failed; 0 unless at
/// least two of them failed.
double FailureRatioOfOthers(const RecentAnswers& recent,
                            BackendServerId server);

/// Whether good answers still come about as often as usual, or none is due.
bool IsAnswering(const RecentAnswers& recent, TimePoint now);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_RECENT_ANSWERS_H_
