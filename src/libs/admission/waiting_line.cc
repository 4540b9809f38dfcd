#include "libs/admission/waiting_line.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace ibisladder::admission {
namespace {

using Class = std::map<std::uint64_t, WaitingLine::Order>;

std::size_t ClassOf(const Request& request) {
  return static_cast<std::size_t>(request.priority);
}

Waiting Take(WaitingLine& line, std::size_t priority, Class::iterator group,
             WaitingLine::Order::iterator it) {
  Waiting waiting = std::move(it->second);
  group->second.erase(it);
  if (group->second.empty()) line.classes[priority].erase(group);
  --line.sizes[priority];
  line.places.erase(waiting.request.call);
  return waiting;
}

std::optional<std::size_t> NextClass(
    const WaitingLine& line, const ServedShares& shares,
    const std::array<bool, routing::kPriorities>& blocked, TimePoint now) {
  std::optional<std::size_t> next;
  for (std::size_t i = 0; i < routing::kPriorities; ++i) {
    if (blocked[i] || line.classes[i].empty()) continue;
    if (IsPriorityStarved(shares, i, now)) return i;
    if (!next) next = i;
  }
  return next;
}

Class::iterator NextGroup(Class& groups, const ServedShares& shares,
                          TimePoint now) {
  auto next = groups.begin();
  if (groups.size() == 1) return next;
  double least = SentLately(shares, next->first, now);
  for (auto it = groups.begin(); it != groups.end(); ++it) {
    if (IsOrganisationStarved(shares, it->first, now)) return it;
    const double sent = SentLately(shares, it->first, now);
    if (sent < least) {
      next = it;
      least = sent;
    }
  }
  return next;
}

}  // namespace

void Push(WaitingLine& line, const Waiting& waiting) {
  const std::size_t priority = ClassOf(waiting.request);
  const std::uint64_t organisation = waiting.request.organisation;
  const TimePoint key = waiting.request.deadline + waiting.work;
  const auto it = line.classes[priority][organisation].emplace(key, waiting);
  ++line.sizes[priority];
  line.places[waiting.request.call] = {priority, organisation, it};
}

bool Remove(WaitingLine& line, CallId call) {
  const auto place = line.places.find(call);
  if (place == line.places.end()) return false;
  const auto [priority, organisation, it] = place->second;
  Take(line, priority, line.classes[priority].find(organisation), it);
  return true;
}

std::optional<Waiting> TakeNext(
    WaitingLine& line, const ServedShares& shares,
    const std::array<bool, routing::kPriorities>& blocked, TimePoint now) {
  const auto priority = NextClass(line, shares, blocked, now);
  if (!priority) return std::nullopt;
  const auto group = NextGroup(line.classes[*priority], shares, now);
  return Take(line, *priority, group, group->second.begin());
}

std::optional<Waiting> TakeLast(WaitingLine& line, std::size_t priority) {
  for (std::size_t i = routing::kPriorities; i-- > priority + 1;) {
    if (line.classes[i].empty()) continue;
    const auto group = std::ranges::max_element(
        line.classes[i], {}, [](const auto& it) { return it.second.size(); });
    return Take(line, i, group, std::prev(group->second.end()));
  }
  return std::nullopt;
}

std::vector<Waiting> TakeLate(WaitingLine& line, Duration slowdown,
                              TimePoint now) {
  std::vector<Waiting> late;
  for (const auto& groups : line.classes) {
    for (const auto& [organisation, order] : groups) {
      for (const auto& [key, it] : order) {
        if (it.request.deadline - now < it.work + slowdown) late.push_back(it);
      }
    }
  }
  for (const Waiting& it : late) Remove(line, it.request.call);
  return late;
}

std::size_t SizeOf(const WaitingLine& line) { return line.places.size(); }

std::size_t CountAhead(const WaitingLine& line, std::size_t priority) {
  const auto end =
      line.sizes.begin() + static_cast<std::ptrdiff_t>(priority) + 1;
  return std::accumulate(line.sizes.begin(), end, std::size_t{0});
}

}  // namespace ibisladder::admission
