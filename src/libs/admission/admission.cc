#include "libs/admission/admission.h"

#include <algorithm>
#include <utility>

#include "libs/admission/overload.h"

namespace ibisladder::admission {
namespace {

using Internal::Count;
using Internal::FromSeconds;
using Internal::HasRoom;
using Internal::kMicrosPerSecond;
using Internal::kMinPart;
using Internal::PerSecond;
using Internal::SumPerSecond;
using Internal::UpdateOverload;
using Internal::WaitAtServers;

constexpr Duration kPurgeInterval = Millis(20);
constexpr Duration kShareInterval = Millis(500);
constexpr std::size_t kMaxTargets = 1024;
/// Requests that one service lets wait on this instance, of first attempts and
/// retries each.
constexpr std::size_t kMaxWaiting = 2000;
/// Later deadlines, and none, count as this.
constexpr Duration kMaxWait = Seconds(3600);
/// Waiting requests must have at least this much time left, since room is
/// looked for only every 20 ms.
constexpr Duration kMinTimeLeft = Millis(40);
constexpr double kDeclineWeight = 1.0 / 64;
/// From this fraction of declined attempts on, instances exchange what they
/// see.
constexpr double kManyDeclined = 0.05;

constexpr Duration kMinRetryAfter = Millis(50);
constexpr Duration kMaxRetryAfter = Seconds(5);
/// Waits are at most twice the base, and so at most a third of the time left.
constexpr int kRetryAfterDivisor = 6;

std::size_t ClassOf(declarations::Priority priority) {
  return static_cast<std::size_t>(priority);
}

/// Returns the time until `ahead` requests and one more have been let through,
/// at a rate of which higher priorities use a part first.
Duration ExpectedWait(std::size_t ahead, double rate, double rate_of_higher) {
  constexpr double kMinRate = 0.01;
  const double left =
      std::max({rate - rate_of_higher, kMinPart * rate, kMinRate});
  return FromSeconds(static_cast<double>(ahead + 1) / left);
}

Duration WaitForRoom(const ServiceAdmission& admission, const Request& request,
                     const Room& room, TimePoint now) {
  const std::size_t priority = ClassOf(request.priority);
  const double work =
      std::max(admission.work.all.mean / kMicrosPerSecond, 1e-3);
  const double rate = std::max(
      PerSecond(admission.served, now),
      AllowedInFlight(admission, room, now) / work / Internal::kMaxDepth);
  const double higher = SumPerSecond(admission.arrivals, priority, now);
  return ExpectedWait(CountAhead(admission.first, priority), rate, higher);
}

Duration WaitForRetry(const ServiceAdmission& admission, const Request& request,
                      const Room& room, TimePoint now) {
  const std::size_t priority = ClassOf(request.priority);
  const double higher = SumPerSecond(admission.retry_arrivals, priority, now);
  return ExpectedWait(CountAhead(admission.retries, priority),
                      room.retries_per_second, higher);
}

/// Returns a random time from the expected wait on, so that the callers return
/// one after the other, within a third of the time that is left.
Duration RetryAfter(Duration wait, Duration left, Random& random) {
  const Duration most =
      std::clamp(left / kRetryAfterDivisor, kMinRetryAfter, kMaxRetryAfter);
  const Duration base = std::clamp(wait, std::min(kMinRetryAfter, most), most);
  const auto bound = static_cast<std::uint64_t>(base.count());
  return base + Micros(static_cast<std::int64_t>(UniformBelow(random, bound)));
}

Refuse MakeRefusal(ServiceAdmission& admission, const Request& request,
                   RefusalReason reason, Duration wait, TimePoint now,
                   Random& random) {
  ++admission.counters
        .refused[ClassOf(request.priority)][static_cast<std::size_t>(reason)];
  return {reason, RetryAfter(wait, request.deadline - now, random)};
}

/// Lets the request wait, in place of one of lower priority if the line is
/// full.
Decision Enqueue(ServiceAdmission& admission, WaitingLine& line,
                 const Request& request, Duration wait, TimePoint now,
                 Random& random) {
  const std::size_t priority = ClassOf(request.priority);
  if (SizeOf(line) >= kMaxWaiting) {
    const auto out = TakeLast(line, priority);
    if (!out) {
      return MakeRefusal(admission, request, RefusalReason::kLineFull, wait,
                         now, random);
    }
    admission.decided.push_back(
        {out->request.call, &line == &admission.retries,
         MakeRefusal(admission, out->request, RefusalReason::kLineFull, wait,
                     now, random)});
  }
  ++admission.counters.delayed[priority];
  Waiting waiting{request, LongWork(admission.work, request.kind)};
  waiting.request.deadline = std::min(request.deadline, now + kMaxWait);
  Push(line, waiting);
  return Wait{};
}

void RecordTarget(ServiceAdmission& admission, const Request& request,
                  TimePoint now) {
  auto& targets = admission.targets;
  if (request.target_latency <= Duration::zero()) return;
  if (!targets.contains(request.kind) && targets.size() >= kMaxTargets) return;
  targets[request.kind] = {request.target_latency, now};
}

/// Refuses the waiting requests that cannot end in time any more.
void Purge(ServiceAdmission& admission, const Room& room, TimePoint now,
           Random& random) {
  if (now - admission.purged_at < kPurgeInterval) return;
  admission.purged_at = now;
  const Duration slowdown =
      std::max(WaitAtServers(admission, room), kMinTimeLeft);
  for (const Waiting& it : TakeLate(admission.first, slowdown, now)) {
    admission.decided.push_back(
        {it.request.call, false,
         MakeRefusal(admission, it.request, RefusalReason::kTooLate,
                     kMinRetryAfter, now, random)});
  }
  for (const Waiting& it : TakeLate(admission.retries, kMinTimeLeft, now)) {
    admission.decided.push_back(
        {it.request.call, true,
         MakeRefusal(admission, it.request, RefusalReason::kNoRetryBudget,
                     kMinRetryAfter, now, random)});
  }
}

void RecordSent(ServiceAdmission& admission, const Request& request,
                TimePoint now) {
  CountSent(admission.shares, ClassOf(request.priority), request.organisation,
            now);
}

bool IsPressed(const ServiceAdmission& admission, const Room& room) {
  return admission.is_overloaded || admission.decline_ratio >= kManyDeclined ||
         room.service.load_per_slot >= 1 || CountWaiting(admission) > 0;
}

}  // namespace

const char* ReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kTooLate:
      return "too_late";
    case RefusalReason::kNoRetryBudget:
      return "no_retry_budget";
    case RefusalReason::kLineFull:
      return "line_full";
  }
  return "unknown";
}

Decision Admit(ServiceAdmission& admission, const Request& request,
               const Room& room, TimePoint now, Random& random) {
  const std::size_t priority = ClassOf(request.priority);
  CountArrival(admission.shares, priority, request.organisation, now);
  Count(admission.arrivals[priority], now);
  ++admission.counts[priority].arrived;
  RecordTarget(admission, request, now);
  UpdateOverload(admission, room, now);
  const bool is_first = CountAhead(admission.first, priority) == 0;
  if (!admission.is_overloaded || (is_first && HasRoom(admission, room, now))) {
    RecordSent(admission, request, now);
    return Send{};
  }
  const Duration wait = WaitForRoom(admission, request, room, now);
  const Duration needed = wait + WaitAtServers(admission, room) +
                          LongWork(admission.work, request.kind);
  if (request.deadline - now < std::max(needed, kMinTimeLeft)) {
    return MakeRefusal(admission, request, RefusalReason::kTooLate, wait, now,
                       random);
  }
  return Enqueue(admission, admission.first, request, wait, now, random);
}

Decision AdmitRetry(ServiceAdmission& admission, const Request& request,
                    const Room& room, TimePoint now, Random& random) {
  const std::size_t priority = ClassOf(request.priority);
  Count(admission.retry_arrivals[priority], now);
  const bool is_first = CountAhead(admission.retries, priority) == 0;
  if (is_first && room.may_retry[priority]) return Send{};
  const Duration wait = WaitForRetry(admission, request, room, now);
  const Duration needed = wait + LongWork(admission.work, request.kind);
  if (request.deadline - now < std::max(needed, kMinTimeLeft)) {
    return MakeRefusal(admission, request, RefusalReason::kNoRetryBudget, wait,
                       now, random);
  }
  return Enqueue(admission, admission.retries, request, wait, now, random);
}

std::optional<Released> TakeReady(ServiceAdmission& admission, const Room& room,
                                  TimePoint now, Random& random) {
  UpdateOverload(admission, room, now);
  Purge(admission, room, now, random);
  if (!admission.decided.empty()) {
    Released released = admission.decided.back();
    admission.decided.pop_back();
    return released;
  }
  std::array<bool, kPriorities> blocked{};
  for (std::size_t i = 0; i < kPriorities; ++i) blocked[i] = !room.may_retry[i];
  if (const auto it =
          TakeNext(admission.retries, admission.shares, blocked, now)) {
    return Released{it->request.call, true, std::nullopt};
  }
  if (!HasRoom(admission, room, now)) return std::nullopt;
  if (const auto it = TakeNext(admission.first, admission.shares, {}, now)) {
    RecordSent(admission, it->request, now);
    return Released{it->request.call, false, std::nullopt};
  }
  return std::nullopt;
}

bool Cancel(ServiceAdmission& admission, CallId call) {
  if (Remove(admission.first, call) || Remove(admission.retries, call)) {
    return true;
  }
  return std::erase_if(admission.decided,
                       [&](const Released& it) { return it.call == call; }) > 0;
}

void RecordEnd(ServiceAdmission& admission, std::uint64_t kind,
               declarations::Priority priority, End end, Duration latency,
               TimePoint now) {
  PriorityCounts& counts = admission.counts[ClassOf(priority)];
  const double declined = end == End::kDeclined ? 1 : 0;
  admission.decline_ratio +=
      kDeclineWeight * (declined - admission.decline_ratio);
  if (end == End::kDeclined) ++counts.declined;
  if (end != End::kServed) return;
  ++counts.served;
  Count(admission.served, now);
  RecordLatency(admission.work, kind, latency);
}

void Merge(ServiceAdmission& admission, const std::string& sender,
           const ServicePressure& message, TimePoint now) {
  MergePressure(admission.peers, sender, message, now);
}

std::optional<ServicePressure> TakePressure(ServiceAdmission& admission,
                                            const Room& room, TimePoint now) {
  const Duration age = now - admission.shared_at;
  if (age < kShareInterval) return std::nullopt;
  admission.shared_at = now;
  const auto counts = std::exchange(admission.counts, {});
  const bool is_pressed = IsPressed(admission, room);
  // The counts of a longer time than usual would not be those of one interval.
  const bool is_usual = age < 2 * kShareInterval;
  if (!is_usual) return std::nullopt;
  if (!is_pressed && !ViewOf(admission.peers, now).is_pressed) {
    return std::nullopt;
  }
  constexpr double kPercent = 100;
  ServicePressure message;
  message.is_pressed = is_pressed;
  message.interval_ms = static_cast<std::uint32_t>(ToMillis(age));
  message.counts.assign(counts.begin(), counts.end());
  message.load_percent =
      static_cast<std::uint32_t>(room.service.load_per_slot * kPercent);
  return message;
}

std::size_t CountWaiting(const ServiceAdmission& admission) {
  return SizeOf(admission.first) + SizeOf(admission.retries);
}

}  // namespace ibisladder::admission
