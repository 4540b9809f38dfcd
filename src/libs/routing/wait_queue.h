#ifndef LIBS_ROUTING_WAIT_QUEUE_H_
#define LIBS_ROUTING_WAIT_QUEUE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "libs/base/time.h"
#include "libs/routing/router.h"

/// Bounded queue of one service with three priorities, served by weighted fair
/// queueing: high priority gets most, low is never starved.
namespace ibisladder::routing::Internal {

struct Waiting {
  RoutingRequest request;
  TimePoint since;
};

struct WaitQueue {
  /// One class per priority. Retries come first, the latest before earlier
  /// ones; then other calls, oldest first.
  std::array<std::vector<Waiting>, kPriorities> classes;
  /// Virtual time of each class; the lowest is served next.
  std::array<double, kPriorities> vtimes{};
  std::size_t size = 0;
};

inline std::size_t ClassOf(declarations::Priority priority) {
  return static_cast<std::size_t>(priority);
}

// Commands.

void Push(WaitQueue& queue, const RoutingRequest& request, TimePoint now);
/// Removes and returns the entry at `index` of class `class_index`; `served`
/// advances the virtual time of the class.
Waiting Take(WaitQueue& queue, std::size_t class_index, std::size_t index,
             bool served);
bool Remove(WaitQueue& queue, CallId call);
/// Removes an entry to free a place for a call of `priority` in a full queue.
/// Each class has reserved places: a class that holds fewer displaces the
/// youngest call of the lowest class that holds more. Beyond its reserved
/// places a call displaces only lower classes.
std::optional<Waiting> Displace(WaitQueue& queue,
                                declarations::Priority priority,
                                std::size_t limit);

// Queries.

/// Returns the class to serve next among those not in `blocked`.
std::optional<std::size_t> NextClass(
    const WaitQueue& queue, const std::array<bool, kPriorities>& blocked);
/// Returns the number of calls expected to be served before a new one of
/// `priority`.
double ExpectedAhead(const WaitQueue& queue, declarations::Priority priority);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_WAIT_QUEUE_H_
