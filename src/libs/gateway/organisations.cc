#include "libs/gateway/organisations.h"

#include <xxhash.h>

#include <cinttypes>
#include <cstdio>
#include <utility>

namespace ibisladder::gateway {
namespace {

static_assert(sizeof(KeySecret) >= XXH3_SECRET_SIZE_MIN);

std::uint64_t HashOf(const KeySecret& secret, std::string_view key) {
  return XXH3_64bits_withSecret(key.data(), key.size(), secret.data(),
                                secret.size());
}

/// Takes the same time wherever the texts differ. The volatile result keeps the
/// compiler from ending the loop early.
bool AreEqual(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  volatile unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference = static_cast<unsigned char>(
        difference | static_cast<unsigned char>(a[i] ^ b[i]));
  }
  return difference == 0;
}

const std::string& KeyAt(const OrganisationTable& table,
                         const KeyPlace& place) {
  return table.configuration->organisations[place.organisation].keys[place.key];
}

void AddKey(OrganisationTable& table, const KeyPlace& place) {
  const auto& organisations = table.configuration->organisations;
  const std::string& key = KeyAt(table, place);
  const std::uint64_t hash = HashOf(table.secret, key);
  const auto [begin, end] = table.places.equal_range(hash);
  for (auto it = begin; it != end; ++it) {
    if (KeyAt(table, it->second) != key) continue;
    const bool is_same = organisations[it->second.organisation].name ==
                         organisations[place.organisation].name;
    it->second.is_shared = it->second.is_shared || !is_same;
    return;
  }
  table.places.emplace(hash, place);
}

}  // namespace

KeySecret MakeKeySecret(Random& random) {
  constexpr unsigned kBitsPerByte = 8;
  KeySecret secret{};
  std::uint64_t bits = 0;
  for (std::size_t i = 0; i < secret.size(); ++i) {
    bits = i % sizeof(bits) == 0 ? random() : bits >> kBitsPerByte;
    secret[i] = static_cast<unsigned char>(bits);
  }
  return secret;
}

OrganisationTable MakeOrganisationTable(ConfigurationPtr configuration,
                                        const KeySecret& secret) {
  OrganisationTable table{std::move(configuration), secret, {}};
  const auto& organisations = table.configuration->organisations;
  std::size_t keys = 0;
  for (const Organisation& it : organisations) keys += it.keys.size();
  table.places.reserve(keys);
  for (std::uint32_t i = 0; i < organisations.size(); ++i) {
    for (std::uint32_t k = 0; k < organisations[i].keys.size(); ++k) {
      AddKey(table, {i, k});
    }
  }
  return table;
}

const Organisation* FindHolder(const OrganisationTable& table,
                               std::string_view key) {
  if (key.empty() || key.size() > kMaxKeyBytes) return nullptr;
  const auto [begin, end] = table.places.equal_range(HashOf(table.secret, key));
  for (auto it = begin; it != end; ++it) {
    if (!AreEqual(KeyAt(table, it->second), key)) continue;
    if (it->second.is_shared) return nullptr;
    return &table.configuration->organisations[it->second.organisation];
  }
  return nullptr;
}

std::string KeyDigits(const OrganisationTable& table, std::string_view key) {
  constexpr std::size_t kDigits = 8;
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016" PRIx64,
                HashOf(table.secret, key));
  return std::string(buf.data(), kDigits);
}

void InstallOrganisations(KeyState& keys, const ConfigurationPtr& configuration,
                          std::uint64_t seed) {
  keys.table.reset();
  if (configuration->organisations.empty()) return;
  if (!keys.secret) {
    Random random(~seed);
    keys.secret = MakeKeySecret(random);
  }
  keys.table = MakeOrganisationTable(configuration, *keys.secret);
}

}  // namespace ibisladder::gateway
