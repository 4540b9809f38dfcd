#ifndef LIBS_BASE_TIME_H_
#define LIBS_BASE_TIME_H_

#include <chrono>
#include <cstdint>

/// Monotonic time. The decision functions take the current time as an argument
/// and never read a clock, so that tests can use virtual time.
namespace ibisladder {

using Duration = std::chrono::microseconds;

/// The instance's monotonic clock, as a type only. It has no now(): the tasks
/// read the operating system's clock, and tests choose the time.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;
};

using TimePoint = MonotonicClock::time_point;

constexpr Duration Micros(std::int64_t n) { return Duration(n); }
constexpr Duration Millis(std::int64_t n) { return Duration(n * 1000); }
constexpr Duration Seconds(std::int64_t n) { return Duration(n * 1000 * 1000); }

constexpr std::int64_t ToMillis(Duration duration) {
  return duration.count() / 1000;
}
constexpr double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

}  // namespace ibisladder

#endif  // LIBS_BASE_TIME_H_
