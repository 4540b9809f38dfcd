#ifndef LIBS_ADMISSION_OVERLOAD_H_
#define LIBS_ADMISSION_OVERLOAD_H_

#include "libs/admission/admission.h"

/// Whether a service is overloaded, and how many requests may then be at its
/// servers.
namespace ibisladder::admission::Internal {

constexpr double kMicrosPerSecond = 1e6;
/// Requests per slot, running and waiting, that servers may hold at most.
constexpr double kMaxDepth = 20;
/// Part of the rate, or of the servers, that nobody gets less than.
constexpr double kMinPart = 0.1;

/// Returns a duration of at most an hour.
Duration FromSeconds(double seconds);

void Count(Meter& meter, TimePoint now);
double PerSecond(const Meter& meter, TimePoint now);
/// Returns the sum of the first `n` meters.
double SumPerSecond(const std::array<Meter, kPriorities>& meters, std::size_t n,
                    TimePoint now);

/// Looks for the begin and the end of overload, and adapts the correction to
/// the load that servers report.
void UpdateOverload(ServiceAdmission& admission, const Room& room,
                    TimePoint now);
/// Whether one more request may be sent now.
bool HasRoom(const ServiceAdmission& admission, const Room& room,
             TimePoint now);
/// Returns how much longer than its work a request takes while servers let
/// requests wait.
Duration WaitAtServers(const ServiceAdmission& admission, const Room& room);

}  // namespace ibisladder::admission::Internal

#endif  // LIBS_ADMISSION_OVERLOAD_H_
