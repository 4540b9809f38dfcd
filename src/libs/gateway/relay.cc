#include "libs/gateway/relay.h"

#include <charconv>
#include <sstream>
#include <utility>

namespace ibisladder::gateway {
namespace {

/// Stands for an unknown caller address.
constexpr char kNoAddress[] = "-";

}  // namespace

std::string FormatRelayOrigin(const RelayOrigin& origin) {
  std::ostringstream out;
  out << origin.service.value() << ' ' << origin.version.value() << ' '
      << origin.attempts_left << ' ' << (origin.is_retry ? 1 : 0) << ' '
      << (origin.caller_address.empty() ? kNoAddress : origin.caller_address);
  return out.str();
}

std::optional<RelayOrigin> ParseRelayOrigin(const std::string& text) {
  std::istringstream in(text);
  std::uint64_t service = 0;
  std::uint64_t version = 0;
  int is_retry = 0;
  RelayOrigin origin;
  in >> service >> version >> origin.attempts_left >> is_retry >>
      origin.caller_address;
  const bool is_read =
      !in.fail() && in.peek() == std::istringstream::traits_type::eof();
  if (!is_read || is_retry < 0 || is_retry > 1) return std::nullopt;
  origin.service = ServiceId(service);
  origin.version = ConfigVersion(version);
  origin.is_retry = is_retry == 1;
  if (origin.caller_address == kNoAddress) origin.caller_address.clear();
  return origin;
}

std::string FormatRelayedCaller(const RelayedCaller& caller) {
  return std::to_string(static_cast<int>(caller.priority)) + ' ' +
         caller.organisation;
}

std::optional<RelayedCaller> ParseRelayedCaller(const std::string& text) {
  int priority = 0;
  const char* end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, priority);
  const bool is_read =
      ec == std::errc() && (at == end || *at == ' ') && priority >= 0 &&
      priority <= static_cast<int>(declarations::Priority::kLow);
  if (!is_read) return std::nullopt;
  RelayedCaller caller;
  caller.priority = static_cast<declarations::Priority>(priority);
  if (at != end) caller.organisation.assign(at + 1, end);
  return caller;
}

std::optional<std::string> TakeField(net::Headers& headers, const char* name) {
  const std::string* found = net::FindHeader(headers, name);
  if (found == nullptr) return std::nullopt;
  std::string value = *found;
  std::erase_if(headers, [name](const auto& it) {
    return net::EqualsIgnoreCase(it.first, name);
  });
  return value;
}

void AddRelayOrigin(net::Headers& headers, const RelayOrigin& origin) {
  headers.emplace_back(kRelayField, FormatRelayOrigin(origin));
  if (!origin.caller) return;
  headers.emplace_back(kRelayCallerField, FormatRelayedCaller(*origin.caller));
}

std::optional<RelayOrigin> TakeRelayOrigin(net::Headers& headers) {
  const auto text = TakeField(headers, kRelayField);
  const auto caller = TakeField(headers, kRelayCallerField);
  auto origin = text ? ParseRelayOrigin(*text) : std::nullopt;
  if (origin && caller) origin->caller = ParseRelayedCaller(*caller);
  return origin;
}

ResultCode ParseRelayResult(const std::string& text) {
  int code = 0;
  const char* end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, code);
  const bool is_read = ec == std::errc() && at == end && code > 0;
  return is_read ? static_cast<ResultCode>(code)
                 : ResultCode::kOutcomeUncertain;
}

}  // namespace ibisladder::gateway
