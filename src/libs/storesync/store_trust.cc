#include "libs/storesync/store_trust.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace ibisladder::storesync {
namespace {

constexpr Duration kRetryInterval = Millis(200);

/// Returns nullopt for a value that is no era.
std::optional<StoreEra> ParseEra(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || rest != end) return std::nullopt;
  return StoreEra(number);
}

void HandleRecord(StoreTrust& trust, const RangeReply& list,
                  std::optional<StoreEra> era) {
  const auto it = std::ranges::find(list.items, trust.key, &Item::key);
  const bool is_found = it != list.items.end();
  trust.recorded = is_found ? ParseEra(it->value) : std::nullopt;
  if (trust.level != TrustLevel::kUnchecked) return;
  const bool is_current = !era || !is_found || trust.recorded == era;
  trust.level = is_current ? TrustLevel::kTrusted : TrustLevel::kDoubted;
}

}  // namespace

std::optional<Call> NextCall(StoreTrust& trust, std::optional<StoreEra> era,
                             bool must_record, TimePoint now) {
  if (trust.is_waiting || now < trust.next_call_at) return std::nullopt;
  if (trust.level == TrustLevel::kUnchecked) {
    trust.is_waiting = true;
    return RangeCall{trust.key, {}};
  }
  const bool is_due = must_record && era && trust.recorded != era;
  if (!is_due) return std::nullopt;
  trust.is_waiting = true;
  return PutCall{trust.key, std::to_string(era->value()), LeaseId()};
}

void HandleReply(StoreTrust& trust, const Reply& reply,
                 std::optional<StoreEra> era, TimePoint now) {
  trust.is_waiting = false;
  if (const auto* list = std::get_if<RangeReply>(&reply)) {
    HandleRecord(trust, *list, era);
  } else if (std::holds_alternative<Stored>(reply)) {
    trust.recorded = era;
  } else {
    trust.next_call_at = now + kRetryInterval;
  }
}

void BeginEra(StoreTrust& trust, bool is_informed, TimePoint now) {
  trust.is_waiting = false;
  trust.next_call_at = now;
  if (trust.level == TrustLevel::kTrusted && !is_informed)
    trust.level = TrustLevel::kUnchecked;
}

}  // namespace ibisladder::storesync
