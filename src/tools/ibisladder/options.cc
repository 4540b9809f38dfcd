#include "tools/ibisladder/options.h"

#include <charconv>

#include "libs/declarations/field_checks.h"

namespace ibisladder::tool {
namespace {

tl::unexpected<Error> InvalidValue(const std::string& flag,
                                   const std::string& expected,
                                   const std::string& found) {
  return Fail(ResultCode::kInvalidRequest, flag,
              "expected " + expected + ", found \"" + found + "\"");
}

Expected<std::vector<Endpoint>> ReadEndpoints(
    const char* flag, const std::vector<std::string>& texts) {
  std::vector<Endpoint> endpoints;
  for (const auto& it : texts) {
    const auto endpoint = json::ParseEndpoint(it);
    if (!endpoint) {
      return InvalidValue(flag, std::string(json::kEndpointRule), it);
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

Expected<std::string> ReadToken(const RawFlags& flags,
                                const FileReader& read_file) {
  std::string token = flags.environment_token;
  if (!flags.token_file.empty()) {
    auto text = read_file(flags.token_file);
    if (!text) return text;
    token = text->substr(0, text->find_last_not_of(" \r\n\t") + 1);
  }
  if (token.empty() || json::IsToken(token)) return token;
  // The message does not contain the token, as it may end up in a log.
  return Fail(ResultCode::kInvalidRequest,
              flags.token_file.empty() ? "IBISLADDER_TOKEN" : "--token-file",
              "expected " + std::string(json::kTokenRule));
}

Expected<std::optional<std::uint64_t>> ReadBasedOn(const std::string& text) {
  if (text.empty()) return std::optional<std::uint64_t>();
  std::uint64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  if (ec == std::errc() && rest == end) return std::optional(n);
  return InvalidValue("--based-on", "a version, a whole number such as 41",
                      text);
}

}  // namespace

Expected<Options> ReadOptions(const RawFlags& flags,
                              const FileReader& read_file) {
  Options options;
  options.json = flags.json;
  options.service = flags.service;
  options.change_id = flags.change_id;
  auto endpoints = ReadEndpoints("--endpoint", flags.endpoint);
  if (!endpoints) return tl::unexpected(endpoints.error());
  options.endpoints = std::move(*endpoints);
  auto at = ReadEndpoints("--at", flags.at);
  if (!at) return tl::unexpected(at.error());
  options.at = std::move(*at);
  auto token = ReadToken(flags, read_file);
  if (!token) return tl::unexpected(token.error());
  options.token = std::move(*token);
  const auto based_on = ReadBasedOn(flags.based_on);
  if (!based_on) return tl::unexpected(based_on.error());
  options.based_on = *based_on;
  if (!flags.service.empty() && !json::IsName(flags.service)) {
    return InvalidValue("--service", std::string(json::kNameRule),
                        flags.service);
  }
  if (!flags.change_id.empty() && !json::IsName(flags.change_id)) {
    return InvalidValue("--change-id", std::string(json::kNameRule),
                        flags.change_id);
  }
  return options;
}

}  // namespace ibisladder::tool
