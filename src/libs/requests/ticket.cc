#include "libs/requests/ticket.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace ibisladder::requests {
namespace {

constexpr std::string_view kPrefix = "t1.";
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;
constexpr std::size_t kMaxCallerPart = 64;

/// Removes the part before the next dot from `rest` and returns it; without a
/// dot returns all of `rest`.
std::string_view NextPart(std::string_view& rest) {
  const std::size_t n = rest.find('.');
  const std::string_view part = rest.substr(0, n);
  rest = n == std::string_view::npos ? std::string_view() : rest.substr(n + 1);
  return part;
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text, int base) {
  Number n = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, n, base);
  if (ec != std::errc() || it != end || text.empty()) return std::nullopt;
  return n;
}

std::string FormatHex(std::uint64_t value) {
  char buf[kHexadecimal];  // 64 bits have at most 16 hexadecimal digits.
  const auto [end, ec] =
      std::to_chars(std::begin(buf), std::end(buf), value, kHexadecimal);
  return ec == std::errc() ? std::string(buf, end) : std::string();
}

bool IsCallerPartChar(char it) {
  return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
         (it >= '0' && it <= '9') || it == '_' || it == '-';
}

tl::unexpected<Error> InvalidTicket(std::string_view text) {
  return Fail(
      ResultCode::kTicketInvalid, std::string(text),
      "expected t1.<instance>.<incarnation, hex>.<era>, numbers without "
      "leading zeros; for a request id followed by .<caller part>, 1 to "
      "64 characters of A-Z a-z 0-9 _ -");
}

/// Parses a ticket from the front of `rest`; also accepts non-canonical
/// numbers.
std::optional<Ticket> ParseTicketPart(std::string_view& rest) {
  if (!rest.starts_with(kPrefix)) return std::nullopt;
  rest.remove_prefix(kPrefix.size());
  const auto instance = ParseNumber<std::uint32_t>(NextPart(rest), kDecimal);
  const auto incarnation =
      ParseNumber<std::uint64_t>(NextPart(rest), kHexadecimal);
  const auto era = ParseNumber<std::uint32_t>(NextPart(rest), kDecimal);
  if (!instance || !incarnation || !era) return std::nullopt;
  return Ticket{InstanceId(*instance), Incarnation(*incarnation), Era(*era)};
}

}  // namespace

std::string FormatTicket(const Ticket& ticket) {
  std::string buf(kPrefix);
  buf += std::to_string(ticket.instance.value());
  buf += '.';
  buf += FormatHex(ticket.incarnation.value());
  buf += '.';
  buf += std::to_string(ticket.era.value());
  return buf;
}

std::string FormatRequestId(const RequestId& id) {
  return FormatTicket(id.ticket) + "." + id.caller_part;
}

Expected<Ticket> ParseTicket(std::string_view text) {
  std::string_view rest = text;
  const auto ticket = ParseTicketPart(rest);
  // A ticket has exactly one text: leading zeros and the like are refused.
  if (!ticket || FormatTicket(*ticket) != text) return InvalidTicket(text);
  return *ticket;
}

Expected<RequestId> ParseRequestId(std::string_view text) {
  std::string_view rest = text;
  const auto ticket = ParseTicketPart(rest);
  if (!ticket || rest.empty() || rest.size() > kMaxCallerPart ||
      !std::all_of(rest.begin(), rest.end(), IsCallerPartChar)) {
    return InvalidTicket(text);
  }
  RequestId id{*ticket, std::string(rest)};
  if (FormatRequestId(id) != text) return InvalidTicket(text);
  return id;
}

}  // namespace ibisladder::requests
