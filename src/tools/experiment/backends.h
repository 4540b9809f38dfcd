#ifndef TOOLS_EXPERIMENT_BACKENDS_H_
#define TOOLS_EXPERIMENT_BACKENDS_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "libs/base/random.h"
#include "libs/detection/detector.h"
#include "tools/experiment/scenario.h"

/// Emulated backend server with slots, a short queue, noise, cold starts and
/// gray failures.
namespace ibisladder::experiment {

struct Backend {
  int slots = 4;
  int busy = 0;
  /// Attempts that wait for a slot.
  std::deque<std::uint64_t> queue;
  /// Factor on the execution time of each request.
  double speed = 1;
  TimePoint pause_until;
  TimePoint cold_until;
  bool live = true;
  /// The gray failure that it currently has.
  Failure failure = Failure::kNone;
  TimePoint failing_since;
};

/// How a backend server executes one request.
struct Execution {
  /// Execution time; no value if the server never answers.
  std::optional<Duration> duration;
  detection::AttemptEnd end = detection::AttemptEnd::kOk;
  /// Whether the gray failure changed the time or the result.
  bool is_faulty = false;
};

/// Draws the execution time and result of one request.
Execution DrawExecution(const Backend& backend, const ServiceProfile& service,
                        const Noise& noise, bool service_is_slow, TimePoint now,
                        Random& random);

/// Returns whether the server's gray failure is active; a flapping one is
/// active in every second phase only.
bool IsFailureActive(const Backend& backend, TimePoint now);

/// Returns an exponentially distributed time with mean `mean`.
Duration DrawExponential(Duration mean, Random& random);

}  // namespace ibisladder::experiment

#endif  // TOOLS_EXPERIMENT_BACKENDS_H_
