#ifndef LIBS_ADMISSION_LEARNED_WORK_H_
#define LIBS_ADMISSION_LEARNED_WORK_H_

#include <cstdint>
#include <unordered_map>

#include "libs/base/time.h"

/// The work of each kind of request, learned from the latencies of good
/// answers.
namespace ibisladder::admission {

/// Moving averages in microseconds.
struct Work {
  double mean = 0;
  double median = 0;
  /// Mean distance from the median.
  double deviation = 0;
  std::uint32_t answers = 0;
};

struct LearnedWork {
  /// Of all kinds together.
  Work all;
  std::unordered_map<std::uint64_t, Work> kinds;
};

/// A latency far from the usual moves the averages by a bounded step.
void RecordLatency(LearnedWork& work, std::uint64_t kind, Duration latency);

/// Return the work of a kind; that of all kinds if it was never seen, zero if
/// none was.
Duration MeanWork(const LearnedWork& work, std::uint64_t kind);
Duration MedianWork(const LearnedWork& work, std::uint64_t kind);
/// Returns the time in which most requests of the kind end: the median plus the
/// mean distance from it.
Duration LongWork(const LearnedWork& work, std::uint64_t kind);

}  // namespace ibisladder::admission

#endif  // LIBS_ADMISSION_LEARNED_WORK_H_
