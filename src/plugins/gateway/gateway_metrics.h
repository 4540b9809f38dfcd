#ifndef PLUGINS_GATEWAY_GATEWAY_METRICS_H_
#define PLUGINS_GATEWAY_GATEWAY_METRICS_H_

#include "libs/metrics/families.h"
#include "plugins/gateway/gateway_task.h"

/// Metrics of the data path, documented in docs/METRICS.md.
namespace ibisladder::gateway {

void AddMetrics(metrics::Families& families, const GatewayTask& gateway);

}  // namespace ibisladder::gateway

#endif  // PLUGINS_GATEWAY_GATEWAY_METRICS_H_
