#include "plugins/caller/caller_http.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ibisladder::caller {
namespace {

constexpr std::string_view kApiPrefix = "/ibisladder/";
constexpr std::string_view kAddressesPath = "/ibisladder/v1/addresses";
constexpr std::string_view kRequestsPrefix = "/ibisladder/v1/requests/";
constexpr std::string_view kSettleSuffix = "/settle";
constexpr std::string_view kReservedPrefix = "Ibisladder-";
constexpr std::int64_t kMaxTimeoutMillis = 24LL * 3600 * 1000;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

callerpath::CallerAnswer MakeRefusal(ResultCode code, int status,
                                     const std::string& message) {
  callerpath::CallerAnswer answer;
  answer.code = code;
  answer.status = status;
  answer.headers = {{"Content-Type", "application/json"}};
  answer.body = nlohmann::json{
      {"code", static_cast<int>(code)},
      {"outcome", OutcomeName(OutcomeOf(code))},
      {"message",
       message}}.dump();
  return answer;
}

bool IsReservedField(std::string_view name) {
  return net::EqualsIgnoreCase(name.substr(0, kReservedPrefix.size()),
                               kReservedPrefix) ||
         net::EqualsIgnoreCase(name, "Idempotency-Key");
}

std::string FieldValue(const net::Headers& headers, std::string_view name) {
  const std::string* value = net::FindHeader(headers, name);
  return value == nullptr ? std::string() : *value;
}

/// Returns 0 when the field is absent, none when it is not a whole number of
/// milliseconds from 1 to kMaxTimeoutMillis.
std::optional<Duration> ReadTimeout(const net::Headers& headers) {
  const std::string* text = net::FindHeader(headers, "Ibisladder-Timeout-Ms");
  if (text == nullptr) return Duration(0);
  std::int64_t n = 0;
  const char* end = text->data() + text->size();
  const auto [last, ec] = std::from_chars(text->data(), end, n);
  if (ec != std::errc() || last != end || n <= 0 || n > kMaxTimeoutMillis) {
    return std::nullopt;
  }
  return Millis(n);
}

std::string ServiceParameter(std::string_view query) {
  constexpr std::string_view kName = "service=";
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view it = query.substr(0, end);
    if (it.substr(0, kName.size()) == kName) {
      return std::string(it.substr(kName.size()));
    }
    if (end == std::string_view::npos) break;
    query.remove_prefix(end + 1);
  }
  return {};
}

CallerQuery ReadApiQuery(CallId call, const net::HttpRequest& request) {
  const std::string_view target = request.target;
  const std::size_t query_start = target.find('?');
  const std::string_view path = target.substr(0, query_start);
  const std::string_view query = query_start == std::string_view::npos
                                     ? ""
                                     : target.substr(query_start + 1);
  if (path == kAddressesPath && request.method == "GET") {
    return callerpath::AddressesRequested{call, ServiceParameter(query)};
  }
  if (path.substr(0, kRequestsPrefix.size()) == kRequestsPrefix) {
    std::string_view id = path.substr(kRequestsPrefix.size());
    const bool settles =
        id.size() > kSettleSuffix.size() &&
        id.substr(id.size() - kSettleSuffix.size()) == kSettleSuffix;
    if (settles && request.method == "POST") {
      id.remove_suffix(kSettleSuffix.size());
      return callerpath::OutcomeRequested{call, std::string(id), true, {}};
    }
    if (!settles && request.method == "GET") {
      return callerpath::OutcomeRequested{call, std::string(id), false, {}};
    }
  }
  return MakeRefusal(ResultCode::kNoRoute, kNotFound,
                     "no such call of the entry instance's own interface");
}

}  // namespace

CallerQuery ReadQuery(CallId call, net::HttpRequest request) {
  if (request.target.empty() || request.target.front() != '/') {
    return MakeRefusal(ResultCode::kInvalidRequest, kBadRequest,
                       "the target must be a path");
  }
  if (request.target.compare(0, kApiPrefix.size(), kApiPrefix) == 0) {
    return ReadApiQuery(call, request);
  }
  const auto timeout = ReadTimeout(request.headers);
  if (!timeout) {
    // The id may have run before; its outcome is not known here.
    const bool has_id =
        net::FindHeader(request.headers, "Idempotency-Key") != nullptr;
    return MakeRefusal(
        has_id ? ResultCode::kOutcomeUncertain : ResultCode::kInvalidRequest,
        kBadRequest,
        "Ibisladder-Timeout-Ms must be a whole number of "
        "milliseconds from 1 to 86400000");
  }
  callerpath::CallArrived arrived{call, {}, {}};
  callerpath::CallRequest& it = arrived.request;
  it.method = std::move(request.method);
  it.target = std::move(request.target);
  it.organisation = FieldValue(request.headers, "Ibisladder-Organisation");
  it.request_id = FieldValue(request.headers, "Idempotency-Key");
  it.timeout = *timeout;
  it.body = std::move(request.body);
  for (auto& [name, value] : request.headers) {
    if (net::IsHopByHop(name) || IsReservedField(name)) continue;
    it.headers.emplace_back(name, std::move(value));
  }
  return arrived;
}

net::Headers AnswerHeaders(const callerpath::CallerAnswer& answer) {
  net::Headers headers;
  for (const auto& [name, value] : answer.headers) {
    if (net::IsHopByHop(name) || IsReservedField(name)) continue;
    headers.emplace_back(name, value);
  }
  headers.emplace_back("Ibisladder-Outcome",
                       OutcomeName(OutcomeOf(answer.code)));
  headers.emplace_back("Ibisladder-Result",
                       std::to_string(static_cast<int>(answer.code)));
  if (answer.retry_after) {
    // The field has whole seconds; rounding up keeps the lower bound of the
    // random delay.
    const std::int64_t millis = ToMillis(*answer.retry_after);
    constexpr std::int64_t kMillisPerSecond = 1000;
    const std::int64_t seconds =
        (millis + kMillisPerSecond - 1) / kMillisPerSecond;
    headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  return headers;
}

}  // namespace ibisladder::caller
