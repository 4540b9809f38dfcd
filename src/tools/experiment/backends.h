#ifndef TOOLS_EXPERIMENT_BACKENDS_H_
#define TOOLS_EXPERIMENT_BACKENDS_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "libs/base/random.h"
#include "libs/detection/detector.h"
#include "tools/experiment/scenario.h"

/// One emulated backend server: slots, a short queue, noise, cold start and
/// gray failures.
namespace ibisladder::experiment {

struct Backend {
  int slots = 4;
  int busy = 0;
  /// Requests waiting for a slot.
  std::deque<std::uint64_t> queue;
  double speed = 1;
  TimePoint pause_until;
  TimePoint cold_until;
  bool live = true;
  /// The gray failure that it has now.
  Failure failure = Failure::kNone;
  TimePoint failing_since;
};

/// What a backend server does with a request that it starts.
struct Execution {
  /// Empty: it never answers.
  std::optional<Duration> duration;
  detection::AttemptEnd end = detection::AttemptEnd::kOk;
  /// Shaped by the gray failure.
  bool is_faulty = false;
};

/// Draws the work of one request.
Execution DrawExecution(const Backend& backend, const ServiceProfile& service,
                        const Noise& noise, bool service_is_slow, TimePoint now,
                        Random& random);

/// Whether a flapping server is in a sick phase.
bool IsFailureActive(const Backend& backend, TimePoint now);

/// Exponentially distributed time with mean `mean`.
Duration DrawExponential(Duration mean, Random& random);

}  // namespace ibisladder::experiment

#endif  // TOOLS_EXPERIMENT_BACKENDS_H_
