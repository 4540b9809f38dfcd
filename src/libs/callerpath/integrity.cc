#include "libs/callerpath/integrity.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>

namespace ibisladder::callerpath::Internal {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr std::size_t kSha256Bytes = 32;
/// Base64 length of 32 bytes, without the terminator that EVP_EncodeBlock adds.
constexpr std::size_t kSha256Base64 = 44;
constexpr std::string_view kDigestPrefix = "sha-256=:";
constexpr std::string_view kReservedPrefix = "ibisladder-";

char ToLower(char it) {
  return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

std::string_view Trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number n = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || it != end || text.empty()) return std::nullopt;
  return n;
}

/// Returns an empty string when OpenSSL fails.
std::string Sha256Base64(std::string_view body) {
  std::array<unsigned char, kSha256Bytes> digest{};
  std::array<unsigned char, kSha256Base64 + 1> buf{};
  if (EVP_Digest(body.data(), body.size(), digest.data(), nullptr, EVP_sha256(),
                 nullptr) != 1) {
    return {};
  }
  const int n = EVP_EncodeBlock(buf.data(), digest.data(), kSha256Bytes);
  return {buf.begin(), buf.begin() + n};
}

/// Also true when the field has no sha-256 member; other algorithms are not
/// checked.
bool DigestMatches(std::string_view field, std::string_view body) {
  while (!field.empty()) {
    const std::size_t comma = field.find(',');
    std::string_view member = Trim(field.substr(0, comma));
    field = comma == std::string_view::npos ? std::string_view()
                                            : field.substr(comma + 1);
    if (!member.starts_with(kDigestPrefix)) continue;
    member.remove_prefix(kDigestPrefix.size());
    if (!member.ends_with(':')) return false;
    member.remove_suffix(1);
    return member == Sha256Base64(body);
  }
  return true;
}

bool HasBody(const ServerAnswered& answer, std::string_view method) {
  return method != "HEAD" && answer.status != kNoContent &&
         answer.status != kNotModified;
}

/// Returns a description of the failed check; empty when the answer passes.
std::string FindFault(const ServerAnswered& answer, std::string_view request_id,
                      std::string_view method) {
  const std::string* echo = FindHeader(answer.headers, "Ibisladder-Request-Id");
  if (echo == nullptr) return "missing Ibisladder-Request-Id";
  if (*echo != request_id) return "Ibisladder-Request-Id of another request";
  if (!HasBody(answer, method)) return {};
  if (const auto* it = FindHeader(answer.headers, "Content-Length")) {
    if (ParseNumber<std::size_t>(*it) != answer.body.size()) {
      return "Content-Length is malformed or differs from the body's length";
    }
  }
  if (const auto* it = FindHeader(answer.headers, "Content-Digest")) {
    if (!DigestMatches(*it, answer.body))
      return "Content-Digest is malformed or differs from the body's";
  }
  return {};
}

void ParseLoadMember(std::string_view member, routing::LoadReport& report) {
  const std::size_t equals = member.find('=');
  if (equals == std::string_view::npos) return;
  const std::string_view name = Trim(member.substr(0, equals));
  const std::string_view value = Trim(member.substr(equals + 1));
  if (name == "state") {
    report.draining = value == "draining";
    report.warming = value == "warming";
    return;
  }
  const auto n = ParseNumber<std::uint16_t>(value);
  if (!n) return;
  if (name == "in_flight") report.in_flight = *n;
  if (name == "slots" && *n > 0) report.slots = *n;
}

}  // namespace

const std::string* FindHeader(const Headers& headers, std::string_view name) {
  for (const auto& [it, value] : headers) {
    if (EqualsIgnoringCase(it, name)) return &value;
  }
  return nullptr;
}

AnswerCheck CheckAnswer(const ServerAnswered& answer,
                        std::string_view request_id, std::string_view method) {
  if (std::string fault = FindFault(answer, request_id, method);
      !fault.empty()) {
    return {AnswerKind::kCorrupt, std::move(fault)};
  }
  const std::string* not_run = FindHeader(answer.headers, "Ibisladder-Not-Run");
  if (not_run == nullptr) return {AnswerKind::kValid, {}};
  if (answer.status != kServiceUnavailable || *not_run != request_id) {
    return {AnswerKind::kCorrupt,
            "Ibisladder-Not-Run without status 503 or of another request"};
  }
  return {AnswerKind::kNotRun, {}};
}

std::optional<routing::LoadReport> ParseLoad(const Headers& headers) {
  const std::string* field = FindHeader(headers, "Ibisladder-Load");
  if (field == nullptr) return std::nullopt;
  routing::LoadReport report;
  std::string_view rest = *field;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    ParseLoadMember(rest.substr(0, comma), report);
    rest = comma == std::string_view::npos ? std::string_view()
                                           : rest.substr(comma + 1);
  }
  return report;
}

Headers CallerHeaders(const Headers& headers) {
  Headers kept;
  for (const auto& it : headers) {
    const std::string_view name = it.first;
    const bool is_reserved =
        name.size() >= kReservedPrefix.size() &&
        EqualsIgnoringCase(name.substr(0, kReservedPrefix.size()),
                           kReservedPrefix);
    const bool is_framing = EqualsIgnoringCase(name, "Content-Length") ||
                            EqualsIgnoringCase(name, "Transfer-Encoding") ||
                            EqualsIgnoringCase(name, "Connection");
    if (!is_reserved && !is_framing) kept.push_back(it);
  }
  return kept;
}

}  // namespace ibisladder::callerpath::Internal
