#include "tools/experiment/backends.h"

#include <cmath>
#include <numbers>

namespace ibisladder::experiment {
namespace {

using detection::AttemptEnd;

double DrawNormal(Random& random) {
  const double radius = std::sqrt(-2 * std::log(1 - UniformUnit(random)));
  return radius * std::cos(2 * std::numbers::pi * UniformUnit(random));
}

double ColdFactor(const Backend& backend, TimePoint now) {
  if (now >= backend.cold_until) return 1;
  const double left =
      ToSeconds(backend.cold_until - now) / ToSeconds(kColdTime);
  return 1 + (kColdFactor - 1) * left;
}

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

void ApplyFailure(const Backend& backend, TimePoint now, Execution& execution,
                  Random& random) {
  if (!IsFailureActive(backend, now)) return;
  const double draw = UniformUnit(random);
  switch (backend.failure) {
    case Failure::kStall:
      execution = {std::nullopt, AttemptEnd::kOk, true};
      break;
    case Failure::kSlow:
      execution = {Scale(*execution.duration, kSlowFactor), execution.end,
                   true};
      break;
    case Failure::kErrors:
      if (draw < kErrorFraction)
        execution = {execution.duration, AttemptEnd::kError, true};
      break;
    case Failure::kCorrupt:
      if (draw < kCorruptFraction)
        execution = {execution.duration, AttemptEnd::kCorrupt, true};
      break;
    case Failure::kFlapping:
      if (draw < kFlapErrorFraction)
        execution = {execution.duration, AttemptEnd::kError, true};
      break;
    case Failure::kOneDirectional:
    case Failure::kNone:
      break;
  }
}

}  // namespace

Execution DrawExecution(const Backend& backend, const ServiceProfile& service,
                        const Noise& noise, bool service_is_slow, TimePoint now,
                        Random& random) {
  double factor = backend.speed * std::exp(noise.sigma * DrawNormal(random));
  if (UniformUnit(random) < noise.tail_fraction) factor *= noise.tail_factor;
  if (service_is_slow) factor *= kSlowServiceFactor;
  factor *= ColdFactor(backend, now);
  Execution execution{Scale(service.median, factor), AttemptEnd::kOk, false};
  if (UniformUnit(random) < noise.error_fraction)
    execution.end = AttemptEnd::kError;
  ApplyFailure(backend, now, execution, random);
  return execution;
}

bool IsFailureActive(const Backend& backend, TimePoint now) {
  if (backend.failure == Failure::kNone) return false;
  if (backend.failure != Failure::kFlapping) return true;
  return (now - backend.failing_since) / kFlapPhase % 2 == 0;
}

Duration DrawExponential(Duration mean, Random& random) {
  return Scale(mean, -std::log(1 - UniformUnit(random)));
}

}  // namespace ibisladder::experiment
