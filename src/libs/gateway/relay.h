#ifndef LIBS_GATEWAY_RELAY_H_
#define LIBS_GATEWAY_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/declarations/declarations.h"
#include "libs/net/http_types.h"

/// Requests that one instance passes on to another, since it does not reach the
/// servers itself. They are HTTP/1.1 like those of callers, with a field that
/// says how the other instance must treat them.
namespace ibisladder::gateway {

/// Field of a request that an instance passes on.
constexpr char kRelayField[] = "Ibisladder-Relay";
/// Field of an answer that the other instance generated itself: its result
/// code. Without it the answer is a backend server's.
constexpr char kRelayResultField[] = "Ibisladder-Result";

/// Field of a request that an instance passes on: priority and name of the
/// caller's organisation. Only present if the configuration has organisations.
/// It is a field of its own, since earlier builds refuse a longer kRelayField;
/// they pass it on to the server, with the platform's field for organisations.
constexpr char kRelayCallerField[] = "Ibisladder-Relay-Caller";

/// What the instance that passes a request on knows of its caller.
struct RelayedCaller {
  declarations::Priority priority = declarations::Priority::kNormal;
  /// Name of the organisation; empty without one.
  std::string organisation;

  friend bool operator==(const RelayedCaller&, const RelayedCaller&) = default;
};

std::string FormatRelayedCaller(const RelayedCaller& caller);
/// Returns nullopt for texts that FormatRelayedCaller does not write.
std::optional<RelayedCaller> ParseRelayedCaller(const std::string& text);

/// What the instance that passes a request on has decided.
struct RelayOrigin {
  ServiceId service;
  /// Version of its configuration.
  ConfigVersion version;
  /// Number of further servers to which the request may be sent.
  std::uint32_t attempts_left = 1;
  /// The request has reached a server before, so that it needs retry budget.
  bool is_retry = false;
  /// IP address of the caller; empty if not known.
  std::string caller_address;
  /// In kRelayCallerField; nullopt if the other instance knows no
  /// organisations.
  std::optional<RelayedCaller> caller;

  friend bool operator==(const RelayOrigin&, const RelayOrigin&) = default;
};

std::string FormatRelayOrigin(const RelayOrigin& origin);
/// Returns nullopt for texts that FormatRelayOrigin does not write.
std::optional<RelayOrigin> ParseRelayOrigin(const std::string& text);

/// Adds the fields of a request that is passed on.
void AddRelayOrigin(net::Headers& headers, const RelayOrigin& origin);
/// Removes these fields and returns what they say; nullopt if that cannot be
/// read.
std::optional<RelayOrigin> TakeRelayOrigin(net::Headers& headers);

/// Removes the field and returns its value; nullopt without one.
std::optional<std::string> TakeField(net::Headers& headers, const char* name);
/// Returns the result code of a field's text; kOutcomeUncertain if it cannot be
/// read.
ResultCode ParseRelayResult(const std::string& text);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_RELAY_H_
