#ifndef PLUGINS_GATEWAY_CONNECTION_GUARD_H_
#define PLUGINS_GATEWAY_CONNECTION_GUARD_H_

#include <sigc++/sigc++.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/base/log_event.h"
#include "libs/base/time.h"
#include "libs/memory/memory_budget.h"

/// Keeps the memory that all connections of clients hold together within the
/// process's budget.
namespace ibisladder::gateway {

class CallerConnections;

/// Why a client was refused or its connection closed.
enum class GuardReason : std::uint8_t {
  kMemory,       ///< The budget was exceeded.
  kNoBody,       ///< The body of a request was not stored, for lack of memory.
  kSlowRequest,  ///< A request arrived too slowly.
  kSlowReader,   ///< An answer was read too slowly.
  kDescriptors,  ///< There were too many connections.
};
constexpr std::size_t kGuardReasons = 5;

/// Returns the name for logs and metrics, such as "slow_request".
const char* ReasonName(GuardReason reason);

class ConnectionGuard {
 public:
  explicit ConnectionGuard(const memory::MemoryBudget& budget)
      : budget_(budget) {}

  // Commands.

  void Add(CallerConnections* connections);
  void Remove(CallerConnections* connections);
  /// Counts a client that was refused or closed.
  void Count(GuardReason reason, const std::string& address);
  /// Closes connections if the budget is exceeded. The caller's own connection
  /// may be among them.
  void Reclaim(TimePoint now);
  /// Writes a log line about clients that were refused or closed, if it is due.
  void Sweep(TimePoint now);

  // Queries.

  memory::MemoryBudget& budget() { return budget_; }
  const memory::MemoryBudget& budget() const { return budget_; }
  std::uint64_t count(GuardReason reason) const {
    return counts_[static_cast<std::size_t>(reason)];
  }
  sigc::signal<void(const LogLine&)>& signal_log() { return log_; }

 private:
  using Counts = std::array<std::uint64_t, kGuardReasons>;

  memory::MemoryBudget budget_;
  std::vector<CallerConnections*> connections_;
  Counts counts_{};
  Counts logged_{};
  TimePoint logged_at_;
  /// Clients since the last log line, for a bounded number of addresses.
  std::map<std::string, std::uint64_t> by_address_;
  sigc::signal<void(const LogLine&)> log_;
};

}  // namespace ibisladder::gateway

#endif  // PLUGINS_GATEWAY_CONNECTION_GUARD_H_
