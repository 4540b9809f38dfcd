#include "plugins/operators/metrics.h"

#include <map>
#include <utility>

#include "libs/metrics/families.h"

namespace ibisladder::operators {
namespace {

using metrics::AddCounter;
using metrics::AddFamily;
using metrics::AddGauge;
using metrics::AddSample;
using metrics::Families;
using prometheus::MetricFamily;
using prometheus::MetricType;

void AddCalls(Families& families, const callerpath::Counters& counters) {
  MetricFamily& answers =
      AddFamily(families, "answers_total", "Calls answered, by outcome",
                MetricType::Counter);
  AddSample(answers, static_cast<double>(counters.done), {{"outcome", "done"}});
  AddSample(answers, static_cast<double>(counters.not_run),
            {{"outcome", "not-run"}});
  AddSample(answers, static_cast<double>(counters.unknown),
            {{"outcome", "unknown"}});
  AddCounter(families, "calls_total", "Calls that arrived", counters.calls);
  AddCounter(families, "attempts_total", "Requests sent to backend servers",
             counters.attempts);
  AddCounter(families, "retries_total", "Attempts after the first of a call",
             counters.retries);
  AddCounter(families, "relayed_total", "Calls relayed to their home instance",
             counters.relayed);
  AddCounter(families, "joined_total",
             "Repeats that joined a call in flight or got its kept answer",
             counters.joined);
  AddCounter(families, "rejected_answers_total",
             "Backend answers that failed their integrity check",
             counters.rejected_answers);
  AddCounter(families, "late_answers_total",
             "Backend answers that nobody waited for", counters.late_answers);
  AddCounter(families, "ejections_total", "Ejections of backend servers",
             counters.ejections);
}

void AddServers(Families& families, const callerpath::PathStatus& path) {
  std::map<std::pair<std::string, std::string>, int> counts;
  for (const auto& it : path.servers) ++counts[{it.service, it.state}];
  MetricFamily& family =
      AddFamily(families, "backend_servers",
                "Backend servers by service and state", MetricType::Gauge);
  for (const auto& [key, n] : counts) {
    AddSample(family, n, {{"service", key.first}, {"state", key.second}});
  }
}

void AddControl(Families& families, const controlplane::ControlStatus& it) {
  std::map<std::string, int> peers;
  for (const auto& peer : it.peers) ++peers[peer.state];
  MetricFamily& family = AddFamily(
      families, "peers", "Other instances by state", MetricType::Gauge);
  for (const auto& [state, n] : peers) AddSample(family, n, {{"state", state}});
  AddGauge(families, "store_up", "Whether the platform's store answers",
           it.store_up ? 1 : 0);
  AddGauge(families, "store_reader", "Whether this instance watches the store",
           it.is_store_reader ? 1 : 0);
  AddCounter(families, "datagrams_sent_total", "Datagrams sent to peers",
             it.counters.datagrams_sent);
  AddCounter(families, "datagrams_received_total", "Datagrams from peers",
             it.counters.datagrams_received);
  AddCounter(families, "datagrams_dropped_total", "Datagrams refused",
             it.counters.datagrams_dropped);
  AddCounter(families, "control_bytes_sent_total", "Bytes sent to peers",
             it.counters.bytes_sent);
  AddCounter(families, "platform_calls_total", "Calls of the platform",
             it.counters.platform_calls);
}

}  // namespace

std::string RenderMetrics(const callerpath::PathStatus& path,
                          const controlplane::ControlStatus& control) {
  Families families;
  AddCalls(families, path.counters);
  AddGauge(families, "configuration_version", "Version in force",
           static_cast<double>(path.version.value()));
  AddGauge(families, "requests_in_flight", "Calls with an open attempt",
           static_cast<double>(path.in_flight));
  AddGauge(families, "requests_queued", "Calls that wait for a server",
           static_cast<double>(path.queued));
  AddGauge(families, "request_records", "At-most-once records kept",
           static_cast<double>(path.records));
  AddGauge(families, "request_record_bytes", "Bytes of answers kept",
           static_cast<double>(path.record_bytes));
  AddServers(families, path);
  AddControl(families, control);
  return metrics::Render(families);
}

}  // namespace ibisladder::operators
