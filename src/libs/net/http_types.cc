#include "libs/net/http_types.h"

#include <event2/buffer.h>
#include <strings.h>

#include <algorithm>
#include <array>

namespace ibisladder::net {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* FindHeader(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name)) return &value;
  }
  return nullptr;
}

bool IsHopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 11> kNames = {
      "Connection", "Keep-Alive",        "Proxy-Authenticate",
      "TE",         "Proxy-Connection",  "Proxy-Authorization",
      "Trailer",    "Transfer-Encoding", "Upgrade",
      "Host",       "Content-Length"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view it) {
    return EqualsIgnoreCase(it, name);
  });
}

bool IsStatus(int status) {
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  constexpr int kSwitchingProtocols = 101;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

bool IsInterimStatus(int status) {
  constexpr int kFirstFinal = 200;
  return IsStatus(status) && status < kFirstFinal;
}

bool IsTokenByte(char byte) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  const bool is_letter =
      (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
  const bool is_digit = byte >= '0' && byte <= '9';
  return is_letter || is_digit || kMarks.find(byte) != std::string_view::npos;
}

bool IsFieldValueByte(char byte) {
  constexpr unsigned char kFirstVisible = ' ';
  constexpr unsigned char kDelete = 0x7f;
  const auto it = static_cast<unsigned char>(byte);
  return it == '\t' || (it >= kFirstVisible && it != kDelete);
}

bool HasKnownTransferCoding(const Headers& headers) {
  int fields = 0;
  for (const auto& [name, value] : headers) {
    if (!EqualsIgnoreCase(name, "Transfer-Encoding")) continue;
    std::string_view coding = value;
    while (coding.ends_with(' ') || coding.ends_with('\t')) {
      coding.remove_suffix(1);
    }
    if (++fields > 1 || !EqualsIgnoreCase(coding, "chunked")) return false;
  }
  return true;
}

std::string QueryValue(const std::string& target, const char* name) {
  evkeyvalq fields{};
  if (evhttp_parse_query(target.c_str(), &fields) != 0) return "";
  const char* value = evhttp_find_header(&fields, name);
  std::string result = value == nullptr ? "" : value;
  evhttp_clear_headers(&fields);
  return result;
}

std::optional<Headers> QueryParameters(const std::string& target) {
  const auto start = target.find('?');
  if (start == std::string::npos || start + 1 == target.size()) {
    return Headers();
  }
  evkeyvalq fields{};
  if (evhttp_parse_query_str(target.c_str() + start + 1, &fields) != 0) {
    return std::nullopt;
  }
  Headers result = Internal::CopyHeaders(&fields);
  evhttp_clear_headers(&fields);
  return result;
}

namespace Internal {

Headers CopyHeaders(const evkeyvalq* fields) {
  Headers result;
  for (const evkeyval* it = fields->tqh_first; it != nullptr;
       it = it->next.tqe_next) {
    result.emplace_back(it->key, it->value);
  }
  return result;
}

std::string CopyBody(evbuffer* body) {
  std::string result(evbuffer_get_length(body), '\0');
  evbuffer_copyout(body, result.data(), result.size());
  return result;
}

}  // namespace Internal
}  // namespace ibisladder::net
