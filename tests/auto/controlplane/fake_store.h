#ifndef TESTS_AUTO_CONTROLPLANE_FAKE_STORE_H_
#define TESTS_AUTO_CONTROLPLANE_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/controlplane/document.h"
#include "libs/controlplane/messages.h"

/// In-memory stand-in for the platform's store. Keeps all accepted heads, so
/// that tests can check the replies to operators against them.
namespace ibisladder::controlplane {

class FakeStore {
 public:
  struct Entry {
    std::string value;
    std::uint64_t revision = 0;
  };

  /// kDone with value and revision, or kStoreNotFound.
  StoreReplied Read(const std::string& key) const;
  /// kDone with the new revision, or kStoreConflict.
  StoreReplied Write(const StoreWrite& write);
  void Delete(const std::string& key);
  /// Restores an older state, as from a backup.
  void Restore(const FakeStore& older);

  std::size_t size() const { return entries_.size(); }
  /// Heads in the order of their acceptance.
  const std::vector<StoredHead>& heads() const { return heads_; }
  /// Number of heads that were accepted before all their chunks were stored.
  int incomplete_heads() const { return incomplete_heads_; }
  /// Whether all chunks that the newest head names are stored.
  bool HeadIsComplete() const;

 private:
  bool IsComplete(const StoredHead& head, const std::string& key) const;

  std::map<std::string, Entry> entries_;
  std::uint64_t revision_ = 0;
  std::vector<StoredHead> heads_;
  std::string head_key_;
  int incomplete_heads_ = 0;
};

}  // namespace ibisladder::controlplane

#endif  // TESTS_AUTO_CONTROLPLANE_FAKE_STORE_H_
