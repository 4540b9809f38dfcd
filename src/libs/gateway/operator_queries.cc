#include "libs/gateway/operator_queries.h"

#include <algorithm>
#include <utility>

#include "libs/gateway/forwarder_state.h"
#include "libs/limits/keepers.h"

namespace ibisladder::gateway {

std::optional<QuotaReport> DescribeQuota(const Forwarder& forwarder,
                                         const std::string& organisation,
                                         TimePoint now) {
  const OrganisationId id = MakeOrganisationId(organisation);
  const auto quota = forwarder.quota_limits.find(id);
  if (quota == forwarder.quota_limits.end()) return std::nullopt;
  QuotaReport report;
  report.quota = quota->second;
  report.keeper = forwarder.directory_state.self;
  const auto& members = forwarder.directory_state.members;
  if (!members.empty()) {
    report.keeper = limits::KeepersOf(id.value(), members).first;
  }
  const auto credit = forwarder.quotas.credits.find(id);
  if (credit == forwarder.quotas.credits.end()) return report;
  report.is_limited = credit->second.limited_at.has_value();
  for (const limits::CreditBatch& it : credit->second.batches) {
    if (now < it.expires_at) report.credit += it.tokens;
  }
  return report;
}

OrganisationReports DescribeOrganisations(const Forwarder& forwarder,
                                          TimePoint now) {
  OrganisationReports result;
  auto& reports = result.first;
  for (const auto& [name, recent] :
       forwarder.organisation_traffic.organisations) {
    const RequestCounts counts = SumOf(recent, now);
    if (counts != RequestCounts()) reports.push_back({name, counts, {}});
  }
  std::ranges::sort(reports, [](const auto& a, const auto& b) {
    return a.requests.arrived != b.requests.arrived
               ? a.requests.arrived > b.requests.arrived
               : a.name < b.name;
  });
  const std::size_t kept = std::min(reports.size(), kMaxOrganisations);
  result.left_out = reports.size() - kept;
  reports.resize(kept);
  for (OrganisationReport& it : reports) {
    it.quota = DescribeQuota(forwarder, it.name, now);
  }
  return result;
}

const std::string& InstanceName(const Forwarder& forwarder) {
  return forwarder.directory_state.self;
}

bool TakeQuestion(QuestionLimit& limit, TimePoint now) {
  while (!limit.answered.empty() &&
         now - limit.answered.front() >= Seconds(1)) {
    limit.answered.pop_front();
  }
  if (limit.answered.size() >= QuestionLimit::kPerSecond) return false;
  limit.answered.push_back(now);
  return true;
}

}  // namespace ibisladder::gateway
