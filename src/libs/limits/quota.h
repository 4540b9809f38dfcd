#ifndef LIBS_LIMITS_QUOTA_H_
#define LIBS_LIMITS_QUOTA_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// Quotas: limits of organisations for the requests of all instances together.
/// The first keeper of an organisation holds a token bucket and grants credit;
/// each instance admits requests with the credit that it was granted.
namespace ibisladder::limits {

/// The limit of one organisation.
struct Quota {
  RequestsPerSecond rate;
  /// Requests beyond the rate that may come at once.
  double burst = 0;
};
/// Returns the quota with its numbers in the range that can be computed with;
/// a rate of 0 if it is not a number or negative.
Quota Clamped(const Quota& quota);

/// How much the instances together may exceed a quota: in any window of
/// `window`, (rate * window + burst) * (1 + over) + slack requests.
struct QuotaSettings {
  Duration window = Seconds(5);
  double over = 0.1;
  double slack = 20;
};

/// What the settings are spent on.
///
/// Credit that was granted before a window and is used in it exceeds the bucket
/// by at most the rate x `credit_life`. Two small buckets may be in use at once
/// (a fallback keeper's and that of a keeper that takes over).
struct Allowance {
  /// How long credit is valid: half of `over`.
  Duration credit_life{};
  /// Depth of the bucket beyond the burst, in tokens and seconds of the rate.
  double extra_tokens = 0;
  double extra_seconds = 0;
  /// Small bucket: tokens per second, and part of the rate on top.
  double small_rate = 0;
  double small_part = 0;
  double small_depth = 0;
};
Allowance AllowanceOf(const QuotaSettings& settings);

/// How long an instance may use its hold after the first keeper's last reply.
constexpr Duration kHoldTime = Seconds(5);
/// After this time without a question from an instance that has a hold, the
/// keeper subtracts the hold; the instance begins to use it only then.
constexpr Duration kSilenceTime = Millis(300);
/// Age at which a confirmation of a first keeper no longer counts.
constexpr Duration kConfirmationLife = Millis(2500);
/// Maximum Retry-After, since demand may fall meanwhile.
constexpr Duration kMaxRetryAfter = Seconds(5);

enum class CreditPurpose : std::uint8_t {
  kAsk,      ///< Asks for credit, and shows that the hold is not in use.
  kRelease,  ///< Gives unused credit and the hold back. Is not answered.
  kProbe,    ///< Asks whether the receiver is the first keeper, and replies.
  kCheck,    ///< Asks whether the sender is the first keeper.
  /// The fallback keeper asks the third member whether it may act as first
  /// keeper. Earlier builds refuse, since they take it for kCheck.
  kTakeOver,
};
constexpr std::uint8_t kMaxCreditPurpose = 4;

/// Number of the messages' format. Later formats may add fields at the end.
constexpr std::uint8_t kCreditFormat = 1;

struct CreditRequest {
  std::uint8_t format = kCreditFormat;
  /// Unique at the sender. A repeated question has the same number, and gets
  /// the same credit.
  std::uint64_t number = 0;
  std::string sender;
  OrganisationId organisation;
  CreditPurpose purpose = CreditPurpose::kAsk;
  std::uint32_t wanted = 0;
  /// Requests that the sender admitted in the last 5 s.
  std::uint32_t recent = 0;
  /// Credit that it did not use.
  std::uint32_t returned = 0;
  /// The quota as the sender knows it, for a keeper that does not know it yet.
  Quota quota;

  template <typename Archive>
  void serialize(Archive& archive) {
    auto purpose_number = static_cast<std::uint8_t>(purpose);
    archive(format, number, sender, organisation, purpose_number, wanted,
            recent, returned, quota.rate, quota.burst);
    purpose = purpose_number > kMaxCreditPurpose
                  ? CreditPurpose::kCheck
                  : static_cast<CreditPurpose>(purpose_number);
  }
};

struct CreditReply {
  std::uint8_t format = kCreditFormat;
  std::uint64_t number = 0;
  std::uint32_t granted = 0;
  /// The sender of the reply is not a keeper of the organisation. In the reply
  /// to a check: the receiver is not the first keeper.
  bool is_unknown = false;
  /// It is not the first keeper, and grants from a small bucket.
  bool is_fallback = false;
  /// Tokens per second that the instance may use if the keeper falls silent.
  double hold_rate = 0;
  /// Time until there is a token for the first request that was not granted. In
  /// the reply to a check: time for which another keeper may rely on a
  /// confirmation by the sender.
  Duration retry_after{};

  template <typename Archive>
  void serialize(Archive& archive) {
    std::int64_t retry_us = retry_after.count();
    archive(format, number, granted, is_unknown, is_fallback, hold_rate,
            retry_us);
    retry_after = Duration(retry_us);
  }
};

/// The instances among which keepers are chosen.
struct QuotaMembers {
  std::string self;
  std::vector<std::string> names;
  /// Incremented by each change.
  std::uint32_t version = 0;
  /// When the names were last changed, and when the process had its first ones.
  TimePoint changed_at;
  TimePoint started_at;
};

/// Places of the first keeper, the fallback keeper and the next instance in
/// the list of members; computed again after a change of the list.
struct KeeperPlaces {
  static constexpr std::size_t kCount = 3;
  std::uint32_t version = 0;
  std::array<std::int32_t, kCount> places = {-1, -1, -1};
};
/// Returns the name at the place, or an empty one without such a member.
/// Without members, this instance is the first keeper.
const std::string& KeeperAt(KeeperPlaces& places, const QuotaMembers& members,
                            OrganisationId organisation, std::size_t n);

/// A message for another instance.
struct CreditQuestion {
  std::string keeper;
  CreditRequest request;
};

}  // namespace ibisladder::limits

#endif  // LIBS_LIMITS_QUOTA_H_
