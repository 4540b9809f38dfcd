#ifndef LIBS_BASE_STRONG_TYPES_H_
#define LIBS_BASE_STRONG_TYPES_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

/// Distinct types for ids and counters, so that the compiler rejects a mix-up.
/// They have the size of the type they wrap.
namespace ibisladder {

/// Wraps a `Rep`; comparable only with values of the same `Tag`.
template <typename Tag, typename Rep>
class Strong {
 public:
  using Representation = Rep;

  constexpr Strong() = default;
  constexpr explicit Strong(Rep value) : value_(std::move(value)) {}

  constexpr const Rep& value() const { return value_; }

  friend constexpr auto operator<=>(const Strong&, const Strong&) = default;

  /// cereal support: written as the wrapped value alone.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  Rep value_{};
};

/// Number of an entry instance, taken from its settings; unique in the fleet.
using InstanceId = Strong<struct InstanceIdTag, std::uint32_t>;
/// Random number generated at each start of an instance.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
/// Counter that an incarnation advances by its own monotonic clock.
using Era = Strong<struct EraTag, std::uint32_t>;
/// Name of an availability zone.
using ZoneName = Strong<struct ZoneNameTag, std::string>;
/// 64-bit hash of a service's name.
using ServiceId = Strong<struct ServiceIdTag, std::uint64_t>;
/// 64-bit hash of "service/server" by name; the same on every instance.
using BackendServerId = Strong<struct BackendServerIdTag, std::uint64_t>;
/// 64-bit hash of an organisation's name.
using OrganisationId = Strong<struct OrganisationIdTag, std::uint64_t>;
/// Version of the active declarations; each change increments it by one.
using ConfigVersion = Strong<struct ConfigVersionTag, std::uint64_t>;
/// One exchange with a caller, unique in the process.
using CallId = Strong<struct CallIdTag, std::uint64_t>;
/// One exchange with a backend server, unique in the process.
using AttemptId = Strong<struct AttemptIdTag, std::uint64_t>;

ServiceId MakeServiceId(std::string_view service);
BackendServerId MakeBackendServerId(std::string_view service,
                                    std::string_view server);
OrganisationId MakeOrganisationId(std::string_view organisation);

/// A rate of requests.
using RequestsPerSecond = Strong<struct RequestsPerSecondTag, double>;

/// IPv4 or IPv6 address, without brackets, with a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(address, port);
  }
};

/// Returns "address:port", with brackets around an IPv6 address.
std::string FormatEndpoint(const Endpoint& endpoint);

}  // namespace ibisladder

template <typename Tag, typename Rep>
struct std::hash<ibisladder::Strong<Tag, Rep>> {
  std::size_t operator()(const ibisladder::Strong<Tag, Rep>& it) const {
    return std::hash<Rep>()(it.value());
  }
};

#endif  // LIBS_BASE_STRONG_TYPES_H_
