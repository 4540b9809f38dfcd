// Decides which connections of callers end: slow ones, idle ones, and those
// that hold memory or descriptors that are short.
#include <algorithm>

#include "plugins/gateway/caller_connection.h"
#include "plugins/gateway/caller_connections.h"

namespace ibisladder::gateway {

using Internal::CallerConnection;
namespace {

/// Time that a caller has to close its side after the last answer. Closing the
/// socket earlier resets the connection if the caller is still sending.
constexpr Duration kLingerTimeout = Seconds(1);

/// A request head may take this many times the header timeout, if bytes arrive
/// all the time.
constexpr int kHeadTimeoutFactor = 2;
/// Least rates, bytes per second, of long bodies and of callers that take
/// answers.
constexpr double kMinBodyRate = 1024;
constexpr double kMinTakenRate = 1024;
/// How long an answer may be taken at less than the least rate.
constexpr Duration kTakeTimeout = Seconds(15);
/// Connections that hold less are not closed for lack of memory.
constexpr std::size_t kSmallHolding = 4096;
/// Memory of a connection without requests.
constexpr std::size_t kConnectionBytes = 2048;
/// An incomplete request is not closed for another connection before this age.
constexpr Duration kMinAge = Millis(500);

constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusUnavailable = 503;

std::size_t& HeldFor(memory::Holdings& holdings, memory::Use use) {
  return holdings[static_cast<std::size_t>(use)];
}

/// Whether an incomplete request arrives too slowly.
bool IsSlow(const CallerConnection& connection, const CallerLimits& limits,
            TimePoint now) {
  const Duration age = now - connection.message_started_at;
  const bool is_incomplete =
      connection.parser.in_message() && !connection.discards_input;
  if (!IsReading(connection) || !is_incomplete || age <= limits.header_timeout)
    return false;
  bool is_slow = now - connection.last_activity_at > limits.header_timeout;
  if (connection.parser.in_body()) {
    is_slow |= memory::RateAt(connection.received, now) < kMinBodyRate;
  } else {
    is_slow |= age > kHeadTimeoutFactor * limits.header_timeout;
  }
  return is_slow && !HasUnreadInput(connection);
}

/// Notes what the caller has taken. Returns whether that is too slow.
bool IsSlowReader(CallerConnection& connection, TimePoint now) {
  const std::size_t unsent = UnsentBytes(connection);
  if (unsent < connection.unsent_bytes) {
    memory::Advance(connection.taken, connection.unsent_bytes - unsent, now);
    connection.last_activity_at = now;
  }
  connection.unsent_bytes = unsent;
  if (unsent == 0) {
    connection.unsent_since.reset();
    return false;
  }
  if (!connection.unsent_since) connection.unsent_since = now;
  return now - *connection.unsent_since > kTakeTimeout &&
         memory::RateAt(connection.taken, now) < kMinTakenRate;
}

}  // namespace

void CallerConnections::UpdateHoldings(CallerConnection& connection) {
  memory::Holdings held{};
  HeldFor(held, memory::Use::kReceiving) = kConnectionBytes +
                                           UnreadBytes(connection) +
                                           connection.parser.held_bytes();
  HeldFor(held, memory::Use::kWaiting) = connection.waiting_bytes;
  HeldFor(held, memory::Use::kAnswers) =
      connection.ready_bytes + UnsentBytes(connection);
  memory::Report(guard_->budget(), connection.reported, held);
}

void CallerConnections::ForgetHoldings(CallerConnection& connection) {
  memory::Report(guard_->budget(), connection.reported, {});
}

std::vector<std::pair<std::uint64_t, memory::Holder>>
CallerConnections::Holders(TimePoint now) const {
  std::vector<std::pair<std::uint64_t, memory::Holder>> result;
  for (const auto& [id, it] : connections_) {
    const std::size_t receiving = it->parser.held_bytes() + UnreadBytes(*it);
    const std::size_t answers = it->ready_bytes + UnsentBytes(*it);
    if (receiving + answers < kSmallHolding) continue;
    const double rate =
        memory::RateAt(receiving > answers ? it->received : it->taken, now);
    result.push_back({id, {receiving + answers, rate, it->address}});
  }
  return result;
}

void CallerConnections::Release(std::uint64_t id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  CallerConnection& connection = *it->second;
  const bool reads_answers =
      connection.ready_bytes + UnsentBytes(connection) < kSmallHolding;
  if (!reads_answers || connection.discards_input) {
    Close(id);
  } else if (connection.pending_answers.empty()) {
    RejectInput(connection, kStatusUnavailable);
  } else {
    // Requests that run already are not aborted.
    StopReading(connection);
    UpdateHoldings(connection);
  }
}

bool CallerConnections::MakeRoom() {
  if (connections_.size() < max_connections_) return true;
  const TimePoint now = net::MonotonicNow();
  const CallerConnection* idle = nullptr;
  const CallerConnection* slow = nullptr;
  for (const auto& [id, it] : connections_) {
    if (it->is_lingering || IsIdle(*it)) {
      if (idle == nullptr || it->last_activity_at < idle->last_activity_at) {
        idle = it.get();
      }
      continue;
    }
    const bool is_incomplete = it->pending_answers.empty() &&
                               it->parser.in_message() &&
                               now - it->message_started_at > kMinAge;
    if (!is_incomplete) continue;
    if (slow == nullptr || memory::RateAt(it->received, now) <
                               memory::RateAt(slow->received, now)) {
      slow = it.get();
    }
  }
  const CallerConnection* chosen = idle != nullptr ? idle : slow;
  if (chosen == nullptr) return false;
  guard_->Count(GuardReason::kDescriptors, chosen->address);
  Close(chosen->id);
  return true;
}

bool CallerConnections::IsExpired(const CallerConnection& connection,
                                  TimePoint now) const {
  if (connection.is_lingering) {
    return now - connection.linger_started_at > kLingerTimeout;
  }
  // Callers that take an answer have their own time limit.
  if (!connection.pending_answers.empty() || UnsentBytes(connection) > 0) {
    return false;
  }
  return now - connection.last_activity_at > limits_.idle_timeout &&
         !HasUnreadInput(connection);
}

void CallerConnections::Sweep(TimePoint now) {
  std::vector<std::uint64_t> expired;
  std::vector<CallerConnection*> slow;
  for (const auto& [id, connection] : connections_) {
    if (IsExpired(*connection, now) || HasLeftUnnoticed(*connection)) {
      expired.push_back(id);
    } else if (IsSlowReader(*connection, now)) {
      guard_->Count(GuardReason::kSlowReader, connection->address);
      expired.push_back(id);
    } else if (IsSlow(*connection, limits_, now)) {
      guard_->Count(GuardReason::kSlowRequest, connection->address);
      slow.push_back(connection.get());
    } else {
      ResumeReading(*connection);
      UpdateHoldings(*connection);
    }
  }
  for (CallerConnection* it : slow) RejectInput(*it, kStatusRequestTimeout);
  for (const std::uint64_t it : expired) Close(it);
}

void CallerConnections::CloseIdle() {
  std::vector<std::uint64_t> idle;
  for (const auto& [id, connection] : connections_) {
    if (IsIdle(*connection)) idle.push_back(id);
  }
  for (const std::uint64_t it : idle) StartLinger(*connections_.at(it));
}

}  // namespace ibisladder::gateway
