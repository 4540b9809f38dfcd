#ifndef TESTS_STANDINS_STANDIN_FLAGS_H_
#define TESTS_STANDINS_STANDIN_FLAGS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/net/event_loop.h"
#include "libs/net/http_server.h"

/// Functions that the stand-in programs share.
namespace ibisladder::standins {

/// Parses an endpoint such as "127.0.0.1:7001". Ends the program with a message
/// when it is malformed.
Endpoint EndpointFlag(const std::string& text);
/// Parses comma-separated endpoints, as EndpointFlag.
std::vector<Endpoint> EndpointListFlag(const std::string& text);

/// Returns the request's body as a JSON object, or an empty object when it is
/// not one.
nlohmann::json JsonBody(const net::HttpRequest& request);

/// Returns the value of a query argument, or an empty string.
std::string QueryArgument(const std::string& target, const std::string& name);
/// Returns the target without its query.
std::string PathOf(const std::string& target);

/// Returns the value. Without one, prints the error and ends the program with
/// status 2.
template <typename T>
T OrExit(Expected<T> value);
[[noreturn]] void ExitWith(const Error& error);

template <typename T>
T OrExit(Expected<T> value) {
  if (!value) ExitWith(value.error());
  return std::move(*value);
}

}  // namespace ibisladder::standins

#endif  // TESTS_STANDINS_STANDIN_FLAGS_H_
