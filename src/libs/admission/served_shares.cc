#include "libs/admission/served_shares.h"

#include <algorithm>
#include <cmath>

namespace ibisladder::admission {
namespace {

/// Time in which a request's weight decays to 1/e.
constexpr Duration kMemory = Seconds(5);
/// Part of the ratio of all requests below which a priority or an organisation
/// counts as starved. Users ask for a quarter.
constexpr double kStarvedPart = 0.5;
constexpr std::size_t kMaxOrganisations = 4096;
/// Decayed numbers below this are forgotten when room is needed.
constexpr double kForgotten = 0.5;

double DecayOf(const ShareCounts& counts, TimePoint now) {
  const Duration age = std::max(now - counts.counted_at, Duration{});
  return std::exp(-ToSeconds(age) / ToSeconds(kMemory));
}

void Add(ShareCounts& counts, double arrived, double sent, TimePoint now) {
  const double decay = DecayOf(counts, now);
  counts.arrived = counts.arrived * decay + arrived;
  counts.sent = counts.sent * decay + sent;
  counts.counted_at = now;
}

bool IsStarved(const ShareCounts& counts, const ShareCounts& all,
               TimePoint now) {
  const double arrived = counts.arrived * DecayOf(counts, now);
  // A single request that waits is not yet starved.
  if (arrived < 1) return false;
  const double ratio = counts.sent / counts.arrived;
  const double of_all = all.arrived > 0 ? all.sent / all.arrived : 0;
  return ratio < kStarvedPart * of_all;
}

ShareCounts* FindOrganisation(ServedShares& shares, std::uint64_t organisation,
                              TimePoint now) {
  auto& organisations = shares.organisations;
  const auto it = organisations.find(organisation);
  if (it != organisations.end()) return &it->second;
  if (organisations.size() >= kMaxOrganisations) {
    std::erase_if(organisations, [&](const auto& known) {
      const ShareCounts& counts = known.second;
      return counts.arrived * DecayOf(counts, now) < kForgotten;
    });
  }
  if (organisations.size() >= kMaxOrganisations) return nullptr;
  return &organisations[organisation];
}

void AddAll(ServedShares& shares, std::size_t priority,
            std::uint64_t organisation, double arrived, double sent,
            TimePoint now) {
  Add(shares.all, arrived, sent, now);
  Add(shares.priorities[priority], arrived, sent, now);
  if (organisation == 0) return;
  if (ShareCounts* it = FindOrganisation(shares, organisation, now)) {
    Add(*it, arrived, sent, now);
  }
}

}  // namespace

void CountArrival(ServedShares& shares, std::size_t priority,
                  std::uint64_t organisation, TimePoint now) {
  AddAll(shares, priority, organisation, 1, 0, now);
}

void CountSent(ServedShares& shares, std::size_t priority,
               std::uint64_t organisation, TimePoint now) {
  AddAll(shares, priority, organisation, 0, 1, now);
}

bool IsPriorityStarved(const ServedShares& shares, std::size_t priority,
                       TimePoint now) {
  return IsStarved(shares.priorities[priority], shares.all, now);
}

bool IsOrganisationStarved(const ServedShares& shares,
                           std::uint64_t organisation, TimePoint now) {
  const auto it = shares.organisations.find(organisation);
  return it != shares.organisations.end() &&
         IsStarved(it->second, shares.all, now);
}

double SentLately(const ServedShares& shares, std::uint64_t organisation,
                  TimePoint now) {
  const auto it = shares.organisations.find(organisation);
  if (it == shares.organisations.end()) return 0;
  return it->second.sent * DecayOf(it->second, now);
}

}  // namespace ibisladder::admission
