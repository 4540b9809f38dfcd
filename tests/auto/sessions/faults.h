#ifndef TESTS_AUTO_SESSIONS_FAULTS_H_
#define TESTS_AUTO_SESSIONS_FAULTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/base/time.h"

/// What goes wrong in a session, and how often it did.
namespace ibisladder::sessions {

/// How a backend server treats the requests that reach it.
enum class ServerMode : std::uint8_t {
  kOk,
  kShed,           ///< Definite word; not run.
  kPlain503,       ///< 503 without the word; run or not.
  kRefused,        ///< No connection.
  kResetBefore,    ///< Connection lost, not run.
  kResetAfter,     ///< Connection lost, run.
  kStall,          ///< Run, answered after 8 s.
  kNoAnswer,       ///< Run, never answered.
  kWrongEcho,      ///< Run, answered as another request.
  kWrongBody,      ///< Run, answered with a body that fails its digest.
  kTruncated,      ///< Run, answer cut short.
  kInvalidNotRun,  ///< Run, with a not-run field of another form.
  kDraining,       ///< Run, with the word that the server drains.
  kCount
};

/// One planned step of a session.
struct Step {
  enum class Kind : std::uint8_t {
    kAtMostOnceRequest,  ///< A caller starts an at-most-once request.
    kIdempotentRequest,  ///< A caller starts an idempotent request.
    kServerMode,         ///< A server changes its mode for a while.
    kPause,              ///< An instance stands still for a while.
    kRestart,            ///< An instance is replaced at its address.
    kCut,       ///< One direction between two places is cut for a while.
    kLateCopy,  ///< A copy of some earlier charge arrives again.
    kStop,      ///< An instance is asked to stop.
    kReplace,   ///< An instance is asked to stop, and then replaced.
    kChange,    ///< The next version of the declarations.
    kCount
  };

  Kind kind = Kind::kAtMostOnceRequest;
  Duration at{};
  Duration length{};
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};

/// Rates of what happens to single messages, in percent.
struct Rates {
  int loss = 0;
  int duplicate = 0;
  int delay = 0;
};

/// Settings of one session.
struct Plan {
  std::vector<Step> steps;
  Rates rates;
  std::uint64_t seed = 1;
  /// Callers keep to the time for which they may use a ticket, and start one
  /// charge at a time.
  bool is_well_behaved = false;
  std::size_t max_records = 1000;
  std::size_t max_record_bytes = 1U << 20U;
};

/// How often each fault and each outcome occurred.
using EventCounts = std::map<std::string, std::uint64_t>;

}  // namespace ibisladder::sessions

#endif  // TESTS_AUTO_SESSIONS_FAULTS_H_
