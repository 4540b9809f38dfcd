#include "libs/storesync/registration.h"

#include "libs/storesync/backoff.h"

namespace ibisladder::storesync {
namespace {

/// Renewals per time to live; a failed one can be repeated before the lease
/// expires.
constexpr int kRenewals = 3;
/// For all calls of a registration. Short, since renewals also detect when an
/// unreachable store is available again, and a renewal costs a tenth of any
/// other call.
constexpr BackoffLimits kBackoff{Millis(150), Millis(250)};

}  // namespace

std::optional<Call> NextCall(Registration& registration, TimePoint now) {
  if (registration.is_waiting || now < registration.next_call_at) {
    return std::nullopt;
  }
  if (registration.is_ending && !registration.lease) return std::nullopt;
  registration.is_waiting = true;
  if (!registration.lease) return GrantLeaseCall{registration.time_to_live};
  if (registration.is_ending) return EndLeaseCall{*registration.lease};
  if (!registration.is_stored) {
    return PutCall{registration.key, registration.value, *registration.lease};
  }
  return RenewLeaseCall{*registration.lease};
}

void HandleReply(Registration& registration, const Reply& reply, TimePoint now,
                 Random& random) {
  registration.is_waiting = false;
  if (std::holds_alternative<CallFailed>(reply)) {
    ++registration.failures;
    registration.next_call_at =
        now + JitteredBackoff(kBackoff, registration.failures, random);
    return;
  }
  registration.failures = 0;
  registration.next_call_at = now;
  if (std::holds_alternative<LeaseEnded>(reply)) {
    registration.lease.reset();
    registration.is_stored = false;
    return;
  }
  if (const auto* granted = std::get_if<LeaseReply>(&reply)) {
    const bool is_renewal = registration.lease.has_value();
    registration.lease = granted->lease;
    if (is_renewal) {
      registration.next_call_at = now + registration.time_to_live / kRenewals;
    }
    return;
  }
  if (std::holds_alternative<Stored>(reply)) {
    registration.is_stored = true;
    registration.next_call_at = now + registration.time_to_live / kRenewals;
  }
}

void RegisterAgain(Registration& registration, TimePoint now) {
  registration.lease.reset();
  registration.is_stored = false;
  registration.is_waiting = false;
  registration.failures = 0;
  registration.next_call_at = now;
}

void Deregister(Registration& registration, TimePoint now) {
  registration.is_ending = true;
  registration.next_call_at = now;
}

}  // namespace ibisladder::storesync
