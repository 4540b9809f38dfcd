#ifndef LIBS_LIMITS_CREDIT_H_
#define LIBS_LIMITS_CREDIT_H_

#include <array>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/base/random.h"
#include "libs/limits/quota_keeper.h"

/// The instance's side of quotas: requests take credit that the organisation's
/// keeper granted, or wait for it.
namespace ibisladder::limits {

enum class CreditResult : std::uint8_t {
  kGranted,   ///< With credit of the first keeper.
  kFallback,  ///< With credit of the fallback keeper.
  kHold,      ///< While the first keeper does not reply.
  kDenied,    ///< The organisation is over its quota.
  kNoReply,   ///< No keeper replied in time.
  kWaits,
};
constexpr std::size_t kCreditResults = 5;
/// Returns the name for logs and metrics, such as "granted".
const char* CreditResultName(CreditResult result);

/// Credit that expires.
struct CreditBatch {
  std::uint32_t tokens = 0;
  CreditResult source = CreditResult::kGranted;
  TimePoint expires_at;
};

struct WaitingRequest {
  CallId call;
  TimePoint since;
};

/// The question to a keeper whose reply is awaited.
struct OpenQuestion {
  CreditRequest request;
  std::size_t place = 0;
  /// Requests that waited when it was first sent.
  std::size_t waiting = 0;
  TimePoint asked_at;
  TimePoint sent_at;
};

struct OrganisationCredit {
  std::string name;
  Quota quota;
  KeeperPlaces places;
  std::vector<CreditBatch> batches;
  /// Expired credit, which the next question returns.
  std::uint32_t expired = 0;
  std::vector<WaitingRequest> waiting;
  std::optional<OpenQuestion> question;
  /// Arrivals, with exponential decay.
  double arrivals = 0;
  TimePoint arrived_at;
  /// Admitted requests by second, the latest first.
  static constexpr std::size_t kRecentSeconds = 5;
  std::array<std::uint32_t, kRecentSeconds> admitted{};
  TimePoint second;
  /// Requests admitted in the 5 s before the first keeper's last reply.
  std::uint32_t recent_with_keeper = 0;
  /// Rate that may be admitted if the first keeper falls silent.
  double hold_rate = 0;
  double hold_tokens = 0;
  TimePoint hold_filled_at;
  TimePoint first_replied_at;
  /// When the first keeper was last sent a question for credit.
  TimePoint first_asked_at;
  /// The first keeper does not reply, or is none; it is only probed.
  bool is_first_silent = false;
  TimePoint probed_at;
  std::uint64_t probe = 0;
  /// Until then requests are denied without a question.
  TimePoint denied_until;
  TimePoint turn;
  /// When a request was last denied; none while the organisation counts as not
  /// limited.
  std::optional<TimePoint> limited_at;
  TimePoint used_at;
  /// Is in the list of those that Update handles.
  bool is_busy = false;
};

/// The end of a request's wait.
struct CreditOutcome {
  CallId call;
  CreditResult result = CreditResult::kGranted;
  /// When another request may be admitted, if this one was not.
  Duration retry_after{};
};

/// An organisation that is limited now, or no longer.
struct LimitedChange {
  std::string organisation;
  bool is_limited = false;
};

/// Both sides of the quotas at one instance.
struct Quotas {
  QuotaSettings settings;
  QuotaMembers members;
  QuotaKeeper keeper;
  std::unordered_map<OrganisationId, OrganisationCredit> credits;
  std::unordered_map<std::uint64_t, OrganisationId> questions;
  std::uint64_t last_number = 0;
  std::vector<OrganisationId> busy;
  TimePoint cleaned_at;
  // What is to be done; the owner takes it.
  std::vector<CreditQuestion> to_send;
  std::vector<CreditOutcome> outcomes;
  std::vector<LimitedChange> changes;
};

/// Replaces the list of instances.
void SetMembers(Quotas& quotas, const std::string& self,
                const std::vector<std::string>& names, TimePoint now);

/// Takes credit for a request. If it has to wait, its outcome follows, perhaps
/// at once. Nothing waits if the quota has no rate.
CreditOutcome TakeCredit(Quotas& quotas, const std::string& organisation,
                         const Quota& quota, CallId call, TimePoint now,
                         Random& random);
/// Returns whether TakeCredit would deny a request without asking a keeper.
/// Changes nothing.
bool DeniesAtOnce(const Quotas& quotas, OrganisationId organisation,
                  TimePoint now);
/// Denies a request as TakeCredit does if DeniesAtOnce; takes no credit.
std::optional<CreditOutcome> DenyAtOnce(Quotas& quotas,
                                        OrganisationId organisation,
                                        CallId call, TimePoint now,
                                        Random& random);
/// Gives the credit of a request back that was not sent.
void GiveBack(Quotas& quotas, const std::string& organisation, TimePoint now);
/// Ends the wait of a request. Returns false if it does not wait.
bool CancelWait(Quotas& quotas, const std::string& organisation, CallId call);
/// Forgets an organisation that has no limit any more; its waiting requests are
/// admitted.
void RemoveQuota(Quotas& quotas, const std::string& organisation);

/// Handles another instance's question, and returns the reply if there is one.
std::optional<CreditReply> HandleQuestion(Quotas& quotas,
                                          const CreditRequest& request,
                                          const std::optional<Quota>& known,
                                          TimePoint now);
/// Handles a reply. Ignores it if its question is not open.
void HandleReply(Quotas& quotas, const CreditReply& reply, TimePoint now,
                 Random& random);
/// Repeats questions, ends waits, returns unused credit. Call about every
/// 25 ms.
void Update(Quotas& quotas, TimePoint now, Random& random);

}  // namespace ibisladder::limits

#endif  // LIBS_LIMITS_CREDIT_H_
