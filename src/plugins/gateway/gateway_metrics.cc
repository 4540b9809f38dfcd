#include "plugins/gateway/gateway_metrics.h"

namespace ibisladder::gateway {
namespace {

using metrics::AddCounter;
using metrics::AddFamily;
using metrics::AddGauge;
using metrics::AddSample;
using prometheus::MetricType;

void AddAnswers(metrics::Families& families,
                const ForwarderCounters& counters) {
  auto& answers = AddFamily(families, "gateway_answer_seconds",
                            "Time from a request's arrival to its answer",
                            MetricType::Histogram);
  for (const auto& [key, histogram] : counters.answers) {
    metrics::AddHistogram(answers, histogram,
                          {{"service", key.service},
                           {"route", key.route},
                           {"outcome", key.outcome}});
  }
  auto& own = AddFamily(families, "gateway_own_answers_total",
                        "Answers of the gateway's own, by result code",
                        MetricType::Counter);
  for (const auto& [code, n] : counters.own_answers) {
    AddSample(own, static_cast<double>(n), {{"result", std::to_string(code)}});
  }
  auto& second_attempts = AddFamily(
      families, "gateway_second_attempts_total",
      "Second attempts, by the end of the first one", MetricType::Counter);
  for (const auto& [reason, n] : counters.second_attempts) {
    AddSample(second_attempts, static_cast<double>(n), {{"reason", reason}});
  }
}

}  // namespace

void AddMetrics(metrics::Families& families, const GatewayTask& gateway) {
  const Forwarder& forwarder = gateway.forwarder();
  const ForwarderCounters& counters = CountersOf(forwarder);
  AddCounter(families, "gateway_requests_total", "Requests that arrived",
             counters.arrived);
  AddCounter(families, "gateway_abandoned_total",
             "Requests whose caller left before the answer",
             counters.abandoned);
  AddCounter(families, "gateway_ejections_total",
             "Ejections of backend servers", counters.ejections);
  AddAnswers(families, counters);
  const auto configuration = CurrentConfiguration(forwarder);
  AddGauge(families, "gateway_configuration_version", "Version in force",
           configuration == nullptr
               ? 0
               : static_cast<double>(configuration->version.value()));
  AddGauge(families, "gateway_open_requests", "Requests without an answer",
           static_cast<double>(OpenCalls(forwarder)));
  AddGauge(families, "gateway_caller_connections", "Open callers' connections",
           static_cast<double>(gateway.callers().open_connections()));
  AddGauge(families, "gateway_server_connections",
           "Open connections to backend servers",
           static_cast<double>(gateway.servers().open_connections()));
  AddCounter(families, "gateway_server_connections_total",
             "Connections opened to backend servers",
             gateway.servers().opened());
}

}  // namespace ibisladder::gateway
