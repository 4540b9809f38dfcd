#ifndef LIBS_MEMORY_MEMORY_BUDGET_H_
#define LIBS_MEMORY_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/time.h"

/// The memory that a process holds for its clients, and which connections end
/// when it runs short.
namespace ibisladder::memory {

/// What memory is held for.
enum class Use : std::uint8_t {
  kReceiving,  ///< Requests that are not complete, and unread input.
  kWaiting,    ///< Requests without an answer.
  kAnswers,    ///< Answers that their callers have not taken.
  kServers,    ///< Requests on their way to servers, and their answers.
};
constexpr std::size_t kUses = 4;

/// Returns the name for metrics, such as "receiving".
const char* UseName(Use use);

/// Bytes of each use.
using Holdings = std::array<std::size_t, kUses>;

struct MemoryBudget {
  std::size_t capacity = 0;
  std::size_t used = 0;
  std::size_t peak = 0;
  Holdings by_use{};
};

/// Returns the budget of a process on a machine with this memory; 0 stands for
/// the smallest machine.
MemoryBudget MakeBudget(std::size_t machine_bytes);

/// Replaces what was reported of a holder, `before`, by `after`.
void Report(MemoryBudget& budget, Holdings& before, const Holdings& after);

/// Whether connections must be closed.
bool IsExceeded(const MemoryBudget& budget);
/// Whether bodies of new requests may be stored.
bool MayStoreBody(const MemoryBudget& budget);
/// Whether new requests of any size may be accepted.
bool MayAccept(const MemoryBudget& budget);
/// Whether requests may be read that were sent before earlier answers.
bool MayReadAhead(const MemoryBudget& budget);
/// Returns the bytes to be given back once the budget is exceeded, so that it
/// does not happen again at once.
std::size_t Excess(const MemoryBudget& budget);

/// Bytes that a client moves in a second.
struct Progress {
  TimePoint since;
  std::size_t bytes = 0;
  double last_rate = 0;
};

/// `n` bytes were moved.
void Advance(Progress& progress, std::size_t n, TimePoint now);
/// Returns bytes per second in the present and the preceding period.
double RateAt(const Progress& progress, TimePoint now);

/// A connection that may be closed.
struct Holder {
  std::size_t bytes = 0;
  double rate = 0;
  std::string address;
};

/// Returns the indexes of the connections to close, so that `excess` bytes are
/// given back: first those without progress, slowest first; then those of
/// addresses that hold more than half of all; then those that hold most.
std::vector<std::size_t> ChooseToClose(const std::vector<Holder>& holders,
                                       std::size_t excess);

}  // namespace ibisladder::memory

#endif  // LIBS_MEMORY_MEMORY_BUDGET_H_
