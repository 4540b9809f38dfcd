#ifndef TOOLS_EXPERIMENT_COSTS_H_
#define TOOLS_EXPERIMENT_COSTS_H_

#include <string>

/// CPU time and memory of the detector, measured on the current machine.
namespace ibisladder::experiment {

/// Returns a table over several numbers of servers: nanoseconds per attempt
/// including its evaluation, and nanoseconds per evaluation without requests.
/// Below it, bytes per server, per peer's evidence and per service.
std::string FormatCosts();

}  // namespace ibisladder::experiment

#endif  // TOOLS_EXPERIMENT_COSTS_H_
