#include "libs/http1/message.h"

#include <array>
#include <charconv>
#include <string_view>

namespace ibisladder::http1 {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

void AppendField(std::string& out, std::string_view name,
                 std::string_view value) {
  out.append(name).append(": ").append(value).append(kLineEnd);
}

/// Returns whether the Connection field lists `name` (RFC 9110, 7.6.1).
bool IsNamedByConnection(const std::string* connection, std::string_view name) {
  if (connection == nullptr) return false;
  std::string_view rest = *connection;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    std::string_view item = rest.substr(0, comma);
    while (!item.empty() && item.front() == ' ') item.remove_prefix(1);
    while (!item.empty() && item.back() == ' ') item.remove_suffix(1);
    if (net::EqualsIgnoreCase(item, name)) return true;
    if (comma == std::string_view::npos) break;
    rest.remove_prefix(comma + 1);
  }
  return false;
}

/// Appends the fields that are not hop-by-hop, except Expect.
void AppendEndToEnd(std::string& out, const Headers& headers) {
  const std::string* connection = FindHeader(headers, "Connection");
  for (const auto& [name, value] : headers) {
    if (net::IsHopByHop(name) || net::EqualsIgnoreCase(name, "Expect"))
      continue;
    if (IsNamedByConnection(connection, name)) continue;
    AppendField(out, name, value);
  }
}

void AppendStatusLine(std::string& out, int status) {
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  out.append(ReasonPhrase(status)).append(kLineEnd);
}

}  // namespace

const char* FailureName(ParseFailure failure) {
  switch (failure) {
    case ParseFailure::kMalformed:
      return "malformed";
    case ParseFailure::kHeadersTooLarge:
      return "headers_too_large";
    case ParseFailure::kBodyTooLarge:
      return "body_too_large";
  }
  return "unknown";
}

std::string FormatRequest(const Request& request, bool close) {
  std::string out;
  out.reserve(512 + request.body.size());
  out.append(request.method).append(" ").append(request.target);
  out.append(" HTTP/1.1\r\n");
  if (const auto* host = FindHeader(request.headers, "Host")) {
    AppendField(out, "Host", *host);
  }
  AppendEndToEnd(out, request.headers);
  const bool has_length = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
  if (has_length) {
    AppendField(out, "Content-Length", std::to_string(request.body.size()));
  }
  if (close) AppendField(out, "Connection", "close");
  out.append(kLineEnd).append(request.body);
  return out;
}

std::string FormatResponse(const Response& response, bool close, bool to_head) {
  std::string out;
  out.reserve(512 + response.body.size());
  AppendStatusLine(out, response.status);
  AppendEndToEnd(out, response.headers);
  const bool bodiless =
      response.status == kNoContent || response.status == kNotModified;
  if (to_head) {
    const auto* length = FindHeader(response.headers, "Content-Length");
    if (length != nullptr) AppendField(out, "Content-Length", *length);
  } else if (!bodiless) {
    AppendField(out, "Content-Length", std::to_string(response.body.size()));
  }
  if (close) AppendField(out, "Connection", "close");
  out.append(kLineEnd);
  if (!to_head && !bodiless) out.append(response.body);
  return out;
}

bool HasLength(const Response& response) {
  return FindHeader(response.headers, "Content-Length") != nullptr &&
         FindHeader(response.headers, "Transfer-Encoding") == nullptr;
}

std::string FormatHead(const Response& response, bool close) {
  std::string out;
  AppendStatusLine(out, response.status);
  AppendEndToEnd(out, response.headers);
  if (HasLength(response)) {
    AppendField(out, "Content-Length",
                *FindHeader(response.headers, "Content-Length"));
  } else {
    AppendField(out, "Transfer-Encoding", "chunked");
  }
  if (close) AppendField(out, "Connection", "close");
  return out.append(kLineEnd);
}

std::string FormatChunk(std::string_view part) {
  constexpr int kHexadecimal = 16;
  if (part.empty()) return "";
  std::array<char, 16> digits{};
  const auto [end, ec] = std::to_chars(
      digits.data(), digits.data() + digits.size(), part.size(), kHexadecimal);
  std::string out(digits.data(), end);
  return out.append(kLineEnd).append(part).append(kLineEnd);
}

}  // namespace ibisladder::http1
