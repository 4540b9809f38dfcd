#ifndef LIBS_ADMISSION_WAITING_LINE_H_
#define LIBS_ADMISSION_WAITING_LINE_H_

#include <array>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "libs/admission/served_shares.h"
#include "libs/base/strong_types.h"

/// Requests that wait at the instance for room, in the order in which they are
/// to be sent.
namespace ibisladder::admission {

/// A request for admission.
struct Request {
  CallId call;
  declarations::Priority priority = declarations::Priority::kNormal;
  /// Hash of the name; 0 without an organisation.
  std::uint64_t organisation = 0;
  /// Requests of one kind need similar work; hash of the route.
  std::uint64_t kind = 0;
  TimePoint deadline;
  /// Time within which callers expect the answer.
  Duration target_latency{};
};

struct Waiting {
  Request request;
  /// What the kind was known to need when it began to wait.
  Duration work{};
};

/// Within a priority and organisation, requests with an earlier deadline and
/// less work come first.
struct WaitingLine {
  using Order = std::multimap<TimePoint, Waiting>;
  /// By priority and organisation.
  std::array<std::map<std::uint64_t, Order>, routing::kPriorities> classes;
  std::array<std::size_t, routing::kPriorities> sizes{};
  struct Place {
    std::size_t priority = 0;
    std::uint64_t organisation = 0;
    Order::iterator it;
  };
  std::unordered_map<CallId, Place> places;
};

void Push(WaitingLine& line, const Waiting& waiting);
/// Returns whether the call waited.
bool Remove(WaitingLine& line, CallId call);
/// Removes and returns the request to send next, of a priority that is not
/// blocked: of a starved priority, or else of the highest one; within it, of a
/// starved organisation, or else of the one with the fewest requests sent
/// lately.
std::optional<Waiting> TakeNext(
    WaitingLine& line, const ServedShares& shares,
    const std::array<bool, routing::kPriorities>& blocked, TimePoint now);
/// Removes and returns a request of the lowest priority that is lower than
/// `priority`: the one that would be sent last.
std::optional<Waiting> TakeLast(WaitingLine& line, std::size_t priority);
/// Removes and returns the requests that cannot end before their deadline if
/// their work takes `slowdown` longer.
std::vector<Waiting> TakeLate(WaitingLine& line, Duration slowdown,
                              TimePoint now);

std::size_t SizeOf(const WaitingLine& line);
/// Returns the number of requests of this priority and of higher ones.
std::size_t CountAhead(const WaitingLine& line, std::size_t priority);

}  // namespace ibisladder::admission

#endif  // LIBS_ADMISSION_WAITING_LINE_H_
