#ifndef LIBS_LIMITS_QUOTA_KEEPER_H_
#define LIBS_LIMITS_QUOTA_KEEPER_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "libs/limits/process_starts.h"
#include "libs/limits/quota.h"

/// The keeper's side of quotas.
///
/// A first keeper grants the whole rate only while another instance, usually
/// the fallback keeper, confirms every second that it is the first one. An
/// instance that the others have replaced, or that is cut off from them, so
/// ceases to grant before its successor grants the whole rate.
namespace ibisladder::limits {

/// What a first keeper knows of an instance that asks for credit.
struct CreditHolder {
  std::uint64_t last_number = 0;
  CreditReply last_reply;
  TimePoint heard_at;
  /// Tokens granted, with exponential decay.
  double granted = 0;
  /// Rate that it may admit while the keeper is silent.
  double hold_rate = 0;
  /// Rate at which it admitted requests when the keeper took over.
  double claim = 0;
  TimePoint claimed_at;
};

/// An organisation of which this instance is a keeper.
struct KeptQuota {
  Quota quota;
  KeeperPlaces places;
  double tokens = 0;
  TimePoint filled_at;
  double small_tokens = 0;
  TimePoint small_filled_at;
  /// Next time that is told to a request that is not granted.
  TimePoint turn;
  TimePoint used_at;

  // As first keeper.
  bool is_first = false;
  /// It is the fallback keeper, and acts for a silent first keeper.
  bool is_acting = false;
  /// It became the first keeper just after the start of its process.
  bool is_after_start = false;
  /// The claims end early if all other processes have just started.
  bool may_end_claims = false;
  /// Another instance regards a different one as the first keeper.
  bool is_refuted = false;
  /// Of the asked instance, among those that confirm.
  std::uint8_t check_place = 0;
  /// When the first keeper by the list last asked for a confirmation.
  TimePoint first_checked_at;
  /// Only claims are granted, since this time.
  std::optional<TimePoint> claims_since;
  /// After these times a confirmation ends the claims: after a new keeper's
  /// own time, and when no other keeper can rely on the fallback keeper, and
  /// on the third member, any more.
  TimePoint claims_until;
  std::array<TimePoint, 2> others_until{};
  std::uint64_t check_number = 0;
  std::optional<TimePoint> check_sent_at;
  /// Unanswered checks in succession.
  std::size_t unanswered = 0;
  TimePoint confirmed_at;
  std::unordered_map<std::uint64_t, CreditHolder> holders;
  /// Sums over the holders, as of `summed_at`.
  double granted = 0;
  double claims = 0;
  double silent_holds = 0;
  TimePoint summed_at;
};

/// Which instance was last confirmed as first keeper here, and when.
struct Confirmation {
  std::uint64_t keeper = 0;
  TimePoint at;
};

struct QuotaKeeper {
  std::unordered_map<OrganisationId, KeptQuota> quotas;
  std::uint64_t last_check = 0;
  ProcessStarts starts;
  std::unordered_map<std::uint64_t, OrganisationId> open_checks;
  std::unordered_map<OrganisationId, Confirmation> confirmations;
};
/// Checks have numbers from here on, other questions smaller ones.
constexpr std::uint64_t kFirstCheck = std::uint64_t{1} << 63U;

/// Decides on a request. `known` is this instance's own knowledge of the quota,
/// if it has any. Returns none if there is no reply: the request was a release,
/// or the keeper awaits its confirmation. Appends checks to `questions`.
std::optional<CreditReply> Decide(QuotaKeeper& keeper,
                                  const QuotaMembers& members,
                                  const QuotaSettings& settings,
                                  const CreditRequest& request,
                                  const std::optional<Quota>& known,
                                  TimePoint now,
                                  std::vector<CreditQuestion>& questions);

/// Handles the reply to a check. Ignores replies that no check awaits.
void HandleCheckReply(QuotaKeeper& keeper, const CreditReply& reply,
                      const QuotaSettings& settings, TimePoint now);

/// Forgets organisations that are idle and whose bucket is full.
void ForgetIdle(QuotaKeeper& keeper, const QuotaSettings& settings,
                TimePoint now);

}  // namespace ibisladder::limits

#endif  // LIBS_LIMITS_QUOTA_KEEPER_H_
