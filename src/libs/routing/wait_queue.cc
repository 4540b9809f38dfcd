#include "libs/routing/wait_queue.h"

#include <algorithm>
#include <utility>

namespace ibisladder::routing::Internal {
namespace {

/// Weights of high, normal and low priority.
constexpr std::array<double, kPriorities> kWeights = {16, 4, 1};
/// Divisor for the part of the queue that each class keeps, whatever the others
/// send.
constexpr std::size_t kReservedDivisor = 8;

double MinVirtualTime(const WaitQueue& queue) {
  double lowest = 0;
  bool found = false;
  for (std::size_t class_index = 0; class_index < kPriorities; ++class_index) {
    if (queue.classes[class_index].empty()) continue;
    if (!found || queue.vtimes[class_index] < lowest)
      lowest = queue.vtimes[class_index];
    found = true;
  }
  return lowest;
}

}  // namespace

void Push(WaitQueue& queue, const RoutingRequest& request, TimePoint now) {
  const std::size_t class_index = ClassOf(request.priority);
  if (queue.size == 0) queue.vtimes.fill(0);
  if (queue.classes[class_index].empty()) {
    // A class that was idle gains no credit for it.
    queue.vtimes[class_index] =
        std::max(queue.vtimes[class_index], MinVirtualTime(queue));
  }
  auto& waiting = queue.classes[class_index];
  // A retry belongs to a call that has already waited.
  const auto place = request.is_retry ? waiting.begin() : waiting.end();
  waiting.insert(place, {request, now});
  ++queue.size;
}

Waiting Take(WaitQueue& queue, std::size_t class_index, std::size_t index,
             bool served) {
  auto& waiting = queue.classes[class_index];
  Waiting taken = std::move(waiting[index]);
  waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
  --queue.size;
  if (served) queue.vtimes[class_index] += 1 / kWeights[class_index];
  return taken;
}

bool Remove(WaitQueue& queue, CallId call) {
  for (std::size_t class_index = 0; class_index < kPriorities; ++class_index) {
    const auto& waiting = queue.classes[class_index];
    for (std::size_t index = 0; index < waiting.size(); ++index) {
      if (waiting[index].request.call != call) continue;
      Take(queue, class_index, index, false);
      return true;
    }
  }
  return false;
}

std::optional<Waiting> Displace(WaitQueue& queue,
                                declarations::Priority priority,
                                std::size_t limit) {
  const std::size_t reserved =
      std::max<std::size_t>(limit / kReservedDivisor, 1);
  const std::size_t own = ClassOf(priority);
  const bool entitled = queue.classes[own].size() < reserved;
  const std::size_t last = entitled ? 0 : own + 1;
  for (std::size_t class_index = kPriorities; class_index-- > last;) {
    const std::size_t held = queue.classes[class_index].size();
    if (held > reserved) return Take(queue, class_index, held - 1, false);
  }
  return std::nullopt;
}

std::optional<std::size_t> NextClass(
    const WaitQueue& queue, const std::array<bool, kPriorities>& blocked) {
  std::optional<std::size_t> next;
  for (std::size_t class_index = 0; class_index < kPriorities; ++class_index) {
    if (blocked[class_index] || queue.classes[class_index].empty()) continue;
    if (!next || queue.vtimes[class_index] < queue.vtimes[*next])
      next = class_index;
  }
  return next;
}

double ExpectedAhead(const WaitQueue& queue, declarations::Priority priority) {
  const std::size_t own = ClassOf(priority);
  const auto before = static_cast<double>(queue.classes[own].size());
  double ahead = before;
  for (std::size_t class_index = 0; class_index < kPriorities; ++class_index) {
    if (class_index == own) continue;
    // While the own class is served, another class is served in proportion to
    // its weight.
    const double served = (before + 1) * kWeights[class_index] / kWeights[own];
    ahead += std::min<double>(
        static_cast<double>(queue.classes[class_index].size()), served);
  }
  return ahead;
}

}  // namespace ibisladder::routing::Internal
