#ifndef LIBS_ROUTING_WAIT_QUEUE_H_
#define LIBS_ROUTING_WAIT_QUEUE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "libs/base/time.h"
#include "libs/routing/router.h"

/// Bounded queue of one service with three priorities, served by weighted
/// turns: high first, low never left out for ever.
namespace ibisladder::routing::Internal {

constexpr std::size_t kPriorities = 3;

struct Waiting {
  RoutingRequest request;
  TimePoint since;
};

struct WaitQueue {
  /// By priority; oldest first.
  std::array<std::vector<Waiting>, kPriorities> classes;
  /// Virtual time of each class: the lowest has the next turn.
  std::array<double, kPriorities> virtual_times{};
  std::size_t size = 0;
};

inline std::size_t ClassOf(declarations::Priority priority) {
  return static_cast<std::size_t>(priority);
}

// Commands.

void Push(WaitQueue& queue, const RoutingRequest& request, TimePoint now);
/// Takes the entry at `index` of `rank` out; `served` uses up a turn.
Waiting Take(WaitQueue& queue, std::size_t rank, std::size_t index,
             bool served);
bool Remove(WaitQueue& queue, CallId call);
/// Makes room for a call of `priority` in a full queue. Each class has reserved
/// places: one that holds fewer displaces the youngest of the lowest class that
/// holds more; beyond them, a call only displaces a lower class.
std::optional<Waiting> Displace(WaitQueue& queue,
                                declarations::Priority priority,
                                std::size_t limit);

// Queries.

/// The class whose turn it is, of those not in `blocked`.
std::optional<std::size_t> NextClass(
    const WaitQueue& queue, const std::array<bool, kPriorities>& blocked);
/// Calls that are expected to be served before a new one of `priority`.
double ExpectedAhead(const WaitQueue& queue, declarations::Priority priority);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_WAIT_QUEUE_H_
