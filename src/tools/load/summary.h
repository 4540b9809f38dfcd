#ifndef TOOLS_LOAD_SUMMARY_H_
#define TOOLS_LOAD_SUMMARY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libs/base/time.h"

/// Results of a load run and their output formats.
namespace ibisladder::load {

/// Counted calls to one target.
struct Samples {
  std::vector<Duration> times;  ///< Of calls answered with status 200.
  std::size_t errors = 0;
};

struct Quantiles {
  Duration p50{0};
  Duration p99{0};
  Duration p999{0};
};

struct TargetSummary {
  std::string name;
  /// Calls answered with status 200.
  std::size_t calls = 0;
  std::size_t errors = 0;
  double requests_per_second = 0;
  Quantiles times;
};

struct Summary {
  std::vector<TargetSummary> targets;
  /// Time between the intended and the actual start of the calls.
  Quantiles lateness;
};

inline constexpr char kDirect[] = "direct";
inline constexpr char kEntry[] = "entry";

/// Returns the quantiles by nearest rank; zeros when `times` is empty.
Quantiles QuantilesOf(std::vector<Duration> times);

/// Summarises calls that were counted over `length`.
TargetSummary Summarize(const std::string& name, const Samples& samples,
                        Duration length);

/// Returns the differences between the quantiles of kEntry and kDirect, which
/// are not the quantiles of differences; zeros when one of the targets is
/// missing.
Quantiles AddedTimes(const Summary& summary);

std::string FormatTable(const Summary& summary);
std::string FormatJson(const Summary& summary);

}  // namespace ibisladder::load

#endif  // TOOLS_LOAD_SUMMARY_H_
