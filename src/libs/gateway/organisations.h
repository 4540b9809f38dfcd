#ifndef LIBS_GATEWAY_ORGANISATIONS_H_
#define LIBS_GATEWAY_ORGANISATIONS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "libs/base/random.h"
#include "libs/base/time.h"
#include "libs/gateway/configuration.h"

/// Finds the organisation that holds a key. Keys are looked up by a keyed hash,
/// so that nobody can choose keys that collide, and logs can tell keys apart
/// without containing them.
namespace ibisladder::gateway {

/// Longest key in bytes.
constexpr std::size_t kMaxKeyBytes = 256;

/// Random bytes on which the hashes of a process depend.
using KeySecret = std::array<unsigned char, 192>;
KeySecret MakeKeySecret(Random& random);

/// A key, as indexes into the configuration.
struct KeyPlace {
  std::uint32_t organisation = 0;
  std::uint32_t key = 0;
  /// Another organisation has it as well, so that it belongs to neither.
  bool is_shared = false;
};

/// The keys of a configuration by their keyed hash. Keys of the same hash are
/// told apart by comparing them.
struct OrganisationTable {
  ConfigurationPtr configuration;
  KeySecret secret{};
  std::unordered_multimap<std::uint64_t, KeyPlace> places;
};

OrganisationTable MakeOrganisationTable(ConfigurationPtr configuration,
                                        const KeySecret& secret);
/// Returns null if no organisation holds the key.
const Organisation* FindHolder(const OrganisationTable& table,
                               std::string_view key);
/// Returns the first 8 hexadecimal digits of the key's hash, for logs.
std::string KeyDigits(const OrganisationTable& table, std::string_view key);

/// Whether the keys of the installed configuration can be relied on.
struct KeyStanding {
  /// A higher version than the installed one was announced.
  bool is_behind = false;
  /// Keys are accepted until then, by the clock that also counts the time for
  /// which the machine is suspended; nullopt: not at all. Only in force with
  /// ForwarderSettings::strict_revocation.
  std::optional<TimePoint> accepted_until;

  friend bool operator==(const KeyStanding&, const KeyStanding&) = default;
};

/// What a forwarder keeps for looking up keys.
struct KeyState {
  /// Drawn for the first configuration with organisations.
  std::optional<KeySecret> secret;
  /// nullopt while the installed configuration has no organisations.
  std::optional<OrganisationTable> table;
  KeyStanding standing;
};

/// Replaces the table by that of a new configuration. Draws the secret from a
/// generator of its own, so that organisations change no other decision.
void InstallOrganisations(KeyState& keys, const ConfigurationPtr& configuration,
                          std::uint64_t seed);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_ORGANISATIONS_H_
