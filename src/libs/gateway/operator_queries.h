#ifndef LIBS_GATEWAY_OPERATOR_QUERIES_H_
#define LIBS_GATEWAY_OPERATOR_QUERIES_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "libs/gateway/forwarder.h"
#include "libs/gateway/organisation_traffic.h"

/// Answers operators' questions about this instance. Nothing here changes the
/// forwarder.
namespace ibisladder::gateway {

/// Maximum number of organisations in one answer.
constexpr std::size_t kMaxOrganisations = 256;

/// The quota of an organisation as this instance sees it.
struct QuotaReport {
  limits::Quota quota;
  /// Name of the first keeper; this instance's own while no list of instances
  /// is known.
  std::string keeper;
  /// Requests that may still be admitted with the credit at hand.
  std::uint64_t credit = 0;
  /// Requests are denied for the quota.
  bool is_limited = false;
};
/// Returns nullopt for an organisation without a quota.
std::optional<QuotaReport> DescribeQuota(const Forwarder& forwarder,
                                         const std::string& organisation,
                                         TimePoint now);

struct OrganisationReport {
  std::string name;
  RequestCounts requests;
  std::optional<QuotaReport> quota;
};
struct OrganisationReports {
  /// Those with most requests, at most kMaxOrganisations; the most first.
  std::vector<OrganisationReport> first;
  std::size_t left_out = 0;
};
/// Returns the organisations that sent requests in the last 10 s.
OrganisationReports DescribeOrganisations(const Forwarder& forwarder,
                                          TimePoint now);

/// Name of this instance; empty until the list of instances is known.
const std::string& InstanceName(const Forwarder& forwarder);

/// Limits how many questions of operators are answered.
struct QuestionLimit {
  static constexpr std::size_t kPerSecond = 4;
  std::deque<TimePoint> answered;
};
/// Returns whether a question may be answered now, and counts it if so.
bool TakeQuestion(QuestionLimit& limit, TimePoint now);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_OPERATOR_QUERIES_H_
