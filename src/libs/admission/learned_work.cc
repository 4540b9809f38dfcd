#include "libs/admission/learned_work.h"

#include <algorithm>
#include <cmath>

namespace ibisladder::admission {
namespace {

/// Weight of the newest latency in the averages.
constexpr double kWeight = 1.0 / 16;
/// Latencies above this multiple of the mean count as that.
constexpr double kMaxRatio = 4;
/// Kinds beyond this number count as never seen.
constexpr std::size_t kMaxKinds = 1024;

void Update(Work& work, double latency, double usual) {
  const double reference = work.answers > 0 ? work.mean : usual;
  if (reference > 0) latency = std::min(latency, kMaxRatio * reference);
  if (work.answers == 0) {
    work.mean = latency;
    work.median = latency;
  } else {
    work.mean += kWeight * (latency - work.mean);
    // Each answer moves the median by the same small step.
    const double step = kWeight * work.mean;
    work.median += std::clamp(latency - work.median, -step, step);
    work.deviation +=
        kWeight * (std::abs(latency - work.median) - work.deviation);
  }
  ++work.answers;
}

const Work& WorkOf(const LearnedWork& work, std::uint64_t kind) {
  const auto it = work.kinds.find(kind);
  return it == work.kinds.end() ? work.all : it->second;
}

Duration FromMicros(double micros) {
  return Micros(static_cast<std::int64_t>(micros));
}

}  // namespace

void RecordLatency(LearnedWork& work, std::uint64_t kind, Duration latency) {
  const auto micros =
      static_cast<double>(std::max<std::int64_t>(latency.count(), 0));
  const double usual = work.all.mean;
  Update(work.all, micros, usual);
  if (work.kinds.contains(kind) || work.kinds.size() < kMaxKinds) {
    Update(work.kinds[kind], micros, usual);
  }
}

Duration MeanWork(const LearnedWork& work, std::uint64_t kind) {
  return FromMicros(WorkOf(work, kind).mean);
}

Duration MedianWork(const LearnedWork& work, std::uint64_t kind) {
  return FromMicros(WorkOf(work, kind).median);
}

Duration LongWork(const LearnedWork& work, std::uint64_t kind) {
  const Work& it = WorkOf(work, kind);
  return FromMicros(it.median + it.deviation);
}

}  // namespace ibisladder::admission
