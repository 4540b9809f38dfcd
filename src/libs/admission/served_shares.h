#ifndef LIBS_ADMISSION_SERVED_SHARES_H_
#define LIBS_ADMISSION_SERVED_SHARES_H_

#include <array>
#include <cstdint>
#include <unordered_map>

#include "libs/base/time.h"
#include "libs/routing/router.h"

/// Which part of the requests of each priority and organisation was sent to
/// servers lately, so that none of them is starved.
namespace ibisladder::admission {

/// Numbers whose weight decays with age.
struct ShareCounts {
  double arrived = 0;
  double sent = 0;
  TimePoint counted_at;
};

struct ServedShares {
  ShareCounts all;
  std::array<ShareCounts, routing::kPriorities> priorities;
  /// At most kMaxOrganisations; others count as not starved.
  std::unordered_map<std::uint64_t, ShareCounts> organisations;
};

void CountArrival(ServedShares& shares, std::size_t priority,
                  std::uint64_t organisation, TimePoint now);
void CountSent(ServedShares& shares, std::size_t priority,
               std::uint64_t organisation, TimePoint now);

/// Return whether less than half as large a part of the requests was sent as of
/// all requests.
bool IsPriorityStarved(const ServedShares& shares, std::size_t priority,
                       TimePoint now);
bool IsOrganisationStarved(const ServedShares& shares,
                           std::uint64_t organisation, TimePoint now);
/// Returns the requests of the organisation that were sent lately.
double SentLately(const ServedShares& shares, std::uint64_t organisation,
                  TimePoint now);

}  // namespace ibisladder::admission

#endif  // LIBS_ADMISSION_SERVED_SHARES_H_
