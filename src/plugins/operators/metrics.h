#ifndef PLUGINS_OPERATORS_METRICS_H_
#define PLUGINS_OPERATORS_METRICS_H_

#include <string>

#include "libs/callerpath/caller_path.h"
#include "libs/controlplane/control_plane.h"

/// Prometheus metrics of one instance; docs/METRICS.md lists them.
namespace ibisladder::operators {

/// Returns the text exposition format, version 0.0.4. Backend servers are
/// counted by service and state, so that the size does not grow with their
/// number.
std::string RenderMetrics(const callerpath::PathStatus& path,
                          const controlplane::ControlStatus& control);

}  // namespace ibisladder::operators

#endif  // PLUGINS_OPERATORS_METRICS_H_
