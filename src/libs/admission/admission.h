#ifndef LIBS_ADMISSION_ADMISSION_H_
#define LIBS_ADMISSION_ADMISSION_H_

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "libs/admission/learned_work.h"
#include "libs/admission/pressure.h"
#include "libs/admission/served_shares.h"
#include "libs/admission/waiting_line.h"
#include "libs/base/random.h"

/// Decides which requests of one service are sent, delayed or refused on this
/// instance while the service has too little room.
namespace ibisladder::admission {

/// What may be sent to the service's servers now.
struct Room {
  routing::ServiceRoom service;
  /// Number of instances that share the servers.
  std::size_t instances = 1;
  /// Whether the retry budget admits a retry, by priority.
  std::array<bool, kPriorities> may_retry{};
  /// Retries that the budget admits in the long run.
  double retries_per_second = 0;
};

enum class RefusalReason : std::uint8_t {
  kTooLate,        ///< It could not end before its deadline.
  kNoRetryBudget,  ///< No retry is admitted before its deadline.
  kLineFull,       ///< Too many requests wait, none of lower priority.
};
constexpr std::size_t kRefusalReasons = 3;
/// Returns the name for logs and metrics, such as "too_late".
const char* ReasonName(RefusalReason reason);

struct Send {};
struct Wait {};
/// Refuse now; the caller should return after the given time.
struct Refuse {
  RefusalReason reason = RefusalReason::kTooLate;
  Duration retry_after{};
};
using Decision = std::variant<Send, Wait, Refuse>;

/// A waiting request that is to be sent or refused now.
struct Released {
  CallId call;
  bool is_retry = false;
  std::optional<Refuse> refusal;
};

/// How an attempt ended.
enum class End : std::uint8_t { kServed, kDeclined, kFailed };

/// Requests whose weight decays with age.
struct Meter {
  double count = 0;
  TimePoint counted_at;
};

/// Numbers since the start.
struct AdmissionCounters {
  /// By priority.
  std::array<std::uint64_t, kPriorities> delayed{};
  std::array<std::array<std::uint64_t, kRefusalReasons>, kPriorities> refused{};
};

struct ServiceAdmission {
  LearnedWork work;
  ServedShares shares;
  PeerPressure peers;
  /// First attempts that wait for room, and retries that wait for room and
  /// retry budget.
  WaitingLine first;
  WaitingLine retries;
  /// Decisions that TakeReady has not yet returned.
  std::vector<Released> decided;
  bool is_overloaded = false;
  /// When overload was last seen.
  TimePoint overloaded_at;
  TimePoint updated_at;
  TimePoint purged_at;
  /// Factor on the number of requests that may be in flight, from the load that
  /// servers report.
  double correction = 1;
  /// Moving average: fraction of the attempts that servers declined.
  double decline_ratio = 0;
  struct Target {
    Duration latency{};
    TimePoint seen_at;
  };
  /// Target latencies by kind; at most kMaxTargets.
  std::unordered_map<std::uint64_t, Target> targets;
  Meter served;
  std::array<Meter, kPriorities> arrivals;
  std::array<Meter, kPriorities> retry_arrivals;
  /// Since the latest message.
  std::array<PriorityCounts, kPriorities> counts;
  TimePoint shared_at;
  AdmissionCounters counters;
};

// Commands.

/// Decides on the first attempt of a request, and on a further one. A request
/// that waits is returned by TakeReady later, unless Cancel is called.
Decision Admit(ServiceAdmission& admission, const Request& request,
               const Room& room, TimePoint now, Random& random);
Decision AdmitRetry(ServiceAdmission& admission, const Request& request,
                    const Room& room, TimePoint now, Random& random);
/// Returns the next waiting request that can be sent or must be refused now.
/// `room` must be current in each call.
std::optional<Released> TakeReady(ServiceAdmission& admission, const Room& room,
                                  TimePoint now, Random& random);
/// Removes a waiting request. Returns whether there was one.
bool Cancel(ServiceAdmission& admission, CallId call);
/// Records the end of an attempt. `latency` is without the time that the
/// request waited at the server, as far as that is known.
void RecordEnd(ServiceAdmission& admission, std::uint64_t kind,
               declarations::Priority priority, End end, Duration latency,
               TimePoint now);
/// Applies another instance's message.
void Merge(ServiceAdmission& admission, const std::string& sender,
           const ServicePressure& message, TimePoint now);
/// Returns the message for the other instances when it is due: every 500 ms
/// while room is lacking here, or at an instance that has sent one.
std::optional<ServicePressure> TakePressure(ServiceAdmission& admission,
                                            const Room& room, TimePoint now);

// Queries.

/// Returns the number of this instance's requests that may be at servers under
/// overload.
double AllowedInFlight(const ServiceAdmission& admission, const Room& room,
                       TimePoint now);
std::size_t CountWaiting(const ServiceAdmission& admission);

}  // namespace ibisladder::admission

#endif  // LIBS_ADMISSION_ADMISSION_H_
