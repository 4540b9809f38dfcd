#include "libs/net/answer_check.h"

#include <algorithm>
#include <charconv>

namespace ibisladder::net {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool IsField(const std::string& name, const std::string& value) {
  return !name.empty() && std::ranges::all_of(name, &IsTokenByte) &&
         std::ranges::all_of(value, &IsFieldValueByte);
}

bool IsNumber(const std::string& text, std::size_t expected) {
  std::size_t n = 0;
  const char* end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, n);
  return ec == std::errc() && at == end && n == expected;
}

/// Whether chunks or one Content-Length state the length of the body.
bool HasStatedLength(const HttpAnswer& answer) {
  if (FindHeader(answer.headers, "Transfer-Encoding") != nullptr) return true;
  int fields = 0;
  for (const auto& [name, value] : answer.headers) {
    if (!EqualsIgnoreCase(name, "Content-Length")) continue;
    if (++fields > 1 || !IsNumber(value, answer.body.size())) return false;
  }
  return fields == 1;
}

}  // namespace

bool IsValidAnswer(const HttpAnswer& answer, const std::string& method) {
  const bool is_final =
      IsStatus(answer.status) && !IsInterimStatus(answer.status);
  const bool has_valid_fields = std::ranges::all_of(
      answer.headers,
      [](const auto& it) { return IsField(it.first, it.second); });
  if (!is_final || !has_valid_fields) return false;
  if (!HasKnownTransferCoding(answer.headers)) return false;
  const bool has_no_body = method == "HEAD" || answer.status == kNoContent ||
                           answer.status == kNotModified;
  return has_no_body || HasStatedLength(answer);
}

}  // namespace ibisladder::net
