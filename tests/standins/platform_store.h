#ifndef TESTS_STANDINS_PLATFORM_STORE_H_
#define TESTS_STANDINS_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/time.h"

/// In-memory key-value store of the platform's stand-in.
namespace ibisladder::standins {

struct StoredValue {
  std::string value;
  std::uint64_t revision = 0;
};

/// A write that took effect.
struct WriteRecord {
  std::string key;
  std::uint64_t revision = 0;
  bool reply_lost = false;
};

class PlatformStore {
 public:
  std::optional<StoredValue> Read(const std::string& key) const;
  /// Returns the new revision, or nothing when the key's revision differs from
  /// `expected`. With `expected` 0 the key must not exist.
  std::optional<std::uint64_t> Write(const std::string& key,
                                     std::uint64_t expected,
                                     const std::string& value);
  /// Returns false when the key does not exist.
  bool Delete(const std::string& key);

  std::uint64_t AddLease(const std::string& key, Duration ttl, TimePoint now);
  /// Returns false when the lease does not exist or has expired.
  bool RenewLease(std::uint64_t lease, TimePoint now);
  /// Removes expired leases with their keys, and returns the keys.
  std::vector<std::string> ExpireLeases(TimePoint now);

  std::vector<WriteRecord>& writes() { return writes_; }

 private:
  struct Lease {
    std::string key;
    Duration ttl{};
    TimePoint expires;
  };

  std::map<std::string, StoredValue> values_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<WriteRecord> writes_;
  std::uint64_t last_revision_ = 0;
  std::uint64_t last_lease_ = 0;
};

}  // namespace ibisladder::standins

#endif  // TESTS_STANDINS_PLATFORM_STORE_H_
