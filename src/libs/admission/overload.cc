#include "libs/admission/overload.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace ibisladder::admission {
namespace Internal {
namespace {

constexpr Duration kUpdateInterval = Millis(100);
/// Overload ends when nothing has shown it for so long.
constexpr Duration kOverloadHolds = Millis(500);
/// Time in which the weight of a request in a rate decays to 1/e.
constexpr Duration kRateMemory = Seconds(2);
/// A kind's target latency counts for so long after its last request.
constexpr Duration kTargetHolds = Seconds(5);

/// Requests per slot that servers may hold: at least the first, so that no slot
/// is idle; the second where target latencies are not known.
constexpr double kMinDepth = 1.1;
constexpr double kDefaultDepth = 2;
/// Part of the time between the work and the target latency that requests may
/// wait at a server.
constexpr double kWaitPart = 0.5;
/// Overload ends below this part of the depth.
constexpr double kRelaxedPart = 0.7;
constexpr double kDecrease = 0.95;
constexpr double kIncrease = 1.05;
constexpr double kMinCorrection = 0.2;
constexpr double kMaxCorrection = 5;

/// Returns the requests per slot that servers may hold, so that the kind with
/// the least time to spare meets its target latency.
double DepthOf(const ServiceAdmission& admission, TimePoint now) {
  std::optional<double> least;
  for (const auto& [kind, target] : admission.targets) {
    if (now - target.seen_at > kTargetHolds) continue;
    const double work = ToSeconds(MeanWork(admission.work, kind));
    if (work <= 0) continue;
    const double ratio = ToSeconds(target.latency) / work;
    const double depth = 1 + kWaitPart * (ratio - 1);
    least = std::min(least.value_or(depth), depth);
  }
  return std::clamp(least.value_or(kDefaultDepth), kMinDepth, kMaxDepth);
}

/// Returns the load per slot as all instances see it.
double SharedLoad(const ServiceAdmission& admission, const Room& room,
                  TimePoint now) {
  const PeerView view = ViewOf(admission.peers, now);
  const double own = SumPerSecond(admission.arrivals, kPriorities, now);
  const double all = own + view.arrivals_per_second;
  if (view.instances == 0 || all <= 0) return room.service.load_per_slot;
  return (own * room.service.load_per_slot +
          view.arrivals_per_second * view.load_per_slot) /
         all;
}

/// Returns this instance's part of the requests of all instances.
double OwnShare(const ServiceAdmission& admission, const Room& room,
                TimePoint now) {
  const auto instances =
      static_cast<double>(std::max<std::size_t>(room.instances, 1));
  const PeerView view = ViewOf(admission.peers, now);
  const double own = SumPerSecond(admission.arrivals, kPriorities, now);
  const double all = own + view.arrivals_per_second;
  if (view.instances == 0 || all <= 0) return 1 / instances;
  return std::max(own / all, kMinPart / instances);
}

}  // namespace

Duration FromSeconds(double seconds) {
  constexpr double kMaxSeconds = 3600;
  return Micros(static_cast<std::int64_t>(
      std::clamp(seconds, 0.0, kMaxSeconds) * kMicrosPerSecond));
}

void Count(Meter& meter, TimePoint now) {
  const Duration age = std::max(now - meter.counted_at, Duration{});
  meter.count *= std::exp(-ToSeconds(age) / ToSeconds(kRateMemory));
  meter.count += 1;
  meter.counted_at = now;
}

double PerSecond(const Meter& meter, TimePoint now) {
  const Duration age = std::max(now - meter.counted_at, Duration{});
  return meter.count * std::exp(-ToSeconds(age) / ToSeconds(kRateMemory)) /
         ToSeconds(kRateMemory);
}

double SumPerSecond(const std::array<Meter, kPriorities>& meters, std::size_t n,
                    TimePoint now) {
  double sum = 0;
  for (std::size_t i = 0; i < n; ++i) sum += PerSecond(meters[i], now);
  return sum;
}

Duration WaitAtServers(const ServiceAdmission& admission, const Room& room) {
  const double waiting = std::max(room.service.load_per_slot - 1, 0.0);
  return FromSeconds(std::min(waiting, kMaxDepth) * admission.work.all.mean /
                     kMicrosPerSecond);
}

void UpdateOverload(ServiceAdmission& admission, const Room& room,
                    TimePoint now) {
  if (now - admission.updated_at < kUpdateInterval) return;
  admission.updated_at = now;
  const double depth = DepthOf(admission, now);
  const double load = SharedLoad(admission, room, now);
  if (load >= depth) {
    admission.is_overloaded = true;
    admission.overloaded_at = now;
  }
  if (!admission.is_overloaded) return;
  const bool has_waiting = SizeOf(admission.first) > 0;
  if (load > depth) admission.correction *= kDecrease;
  if (load < kRelaxedPart * depth && has_waiting) {
    admission.correction *= kIncrease;
  }
  admission.correction =
      std::clamp(admission.correction, kMinCorrection, kMaxCorrection);
  const bool is_over = now - admission.overloaded_at > kOverloadHolds &&
                       !has_waiting && load < kRelaxedPart * depth;
  if (!is_over) return;
  admission.is_overloaded = false;
  admission.correction = 1;
}

bool HasRoom(const ServiceAdmission& admission, const Room& room,
             TimePoint now) {
  return !admission.is_overloaded ||
         room.service.in_flight < AllowedInFlight(admission, room, now);
}

}  // namespace Internal

double AllowedInFlight(const ServiceAdmission& admission, const Room& room,
                       TimePoint now) {
  const double allowed =
      Internal::OwnShare(admission, room, now) * room.service.slots *
      Internal::DepthOf(admission, now) * admission.correction;
  return std::max(allowed, 1.0);
}

}  // namespace ibisladder::admission
