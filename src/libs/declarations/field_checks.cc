#include "libs/declarations/field_checks.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace ibisladder::json {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxPathBytes = 256;
constexpr std::size_t kMinTokenBytes = 16;
constexpr std::size_t kMaxTokenBytes = 256;
/// The instances answer these paths themselves.
constexpr std::string_view kReservedPrefix = "/ibisladder";

bool IsVisible(char it) { return it > ' ' && it < '\x7f'; }

bool IsPathCharacter(char it) {
  return IsVisible(it) && it != '?' && it != '#' && it != '"' && it != '\\';
}

/// Returns the canonical text of an address of `family`, or an empty string if
/// `text` is not one or is unspecified.
std::string CanonicalAddress(int family, const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> number{};
  if (inet_pton(family, text.c_str(), number.data()) != 1) return "";
  const bool unspecified = std::all_of(number.begin(), number.end(),
                                       [](auto it) { return it == 0; });
  if (unspecified) return "";
  std::array<char, INET6_ADDRSTRLEN> buf{};
  if (inet_ntop(family, number.data(), buf.data(), buf.size()) == nullptr) {
    return "";
  }
  return buf.data();
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, port);
  if (ec != std::errc() || rest != end) return std::nullopt;
  // Rejects port 0, and leading zeros, which other parsers read as octal.
  if (text.front() == '0') return std::nullopt;
  return port;
}

bool IsSegment(std::string_view text) {
  return !text.empty() && text != "." && text != ".." &&
         std::all_of(text.begin(), text.end(), IsPathCharacter);
}

}  // namespace

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  return std::all_of(text.begin(), text.end(), [](char it) {
    return (it >= 'a' && it <= 'z') || (it >= '0' && it <= '9') || it == '-';
  });
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto port = ParsePort(text.substr(colon + 1));
  if (!port) return std::nullopt;
  std::string host(text.substr(0, colon));
  int family = AF_INET;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    family = AF_INET6;
  }
  std::string address = CanonicalAddress(family, host);
  if (address.empty()) return std::nullopt;
  return Endpoint{std::move(address), *port};
}

bool IsPathPrefix(std::string_view text) {
  if (text == "/") return true;
  if (text.empty() || text.size() > kMaxPathBytes || text.front() != '/') {
    return false;
  }
  if (text == kReservedPrefix ||
      text.starts_with(std::string(kReservedPrefix) + "/")) {
    return false;
  }
  for (std::size_t start = 1; start <= text.size();) {
    const auto end = std::min(text.find('/', start), text.size());
    if (!IsSegment(text.substr(start, end - start))) return false;
    start = end + 1;
  }
  return text.back() != '/';
}

bool IsPath(std::string_view text) {
  if (text.empty()) return true;
  return text.front() == '/' && text.size() <= kMaxPathBytes &&
         std::all_of(text.begin(), text.end(), IsPathCharacter);
}

bool IsMethod(std::string_view text) {
  constexpr std::array<std::string_view, 7> kMethods = {
      "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};
  return std::find(kMethods.begin(), kMethods.end(), text) != kMethods.end();
}

bool IsToken(std::string_view text) {
  return text.size() >= kMinTokenBytes && text.size() <= kMaxTokenBytes &&
         std::all_of(text.begin(), text.end(), IsVisible);
}

}  // namespace ibisladder::json
