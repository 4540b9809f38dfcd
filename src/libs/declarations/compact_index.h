#ifndef LIBS_DECLARATIONS_COMPACT_INDEX_H_
#define LIBS_DECLARATIONS_COMPACT_INDEX_H_

#include <bit>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ibisladder::declarations {

/// A hash index over the items of a vector that holds positions only: eight to
/// sixteen bytes an item, where std::unordered_map takes forty or more.
class CompactIndex {
 public:
  /// `count` items will be added.
  explicit CompactIndex(std::size_t count = 0)
      : slots_(std::bit_ceil(2 * count + 1), kEmptySlot) {}

  /// Adds the item at `position`, unless `is_same` holds for one that is there;
  /// returns that one's position.
  template <typename IsSame>
  std::optional<std::uint32_t> Add(std::uint64_t hash, std::uint32_t position,
                                   IsSame is_same) {
    std::uint32_t& slot = slots_[SlotOf(hash, is_same)];
    if (slot != kEmptySlot) return slot;
    slot = position;
    return std::nullopt;
  }

  /// Position of the item with that hash for which `is_same` holds.
  template <typename IsSame>
  std::optional<std::uint32_t> Find(std::uint64_t hash, IsSame is_same) const {
    const std::uint32_t slot = slots_[SlotOf(hash, is_same)];
    if (slot == kEmptySlot) return std::nullopt;
    return slot;
  }

 private:
  static constexpr std::uint32_t kEmptySlot = UINT32_MAX;

  /// The item's slot, or the free one where it would stand.
  template <typename IsSame>
  std::size_t SlotOf(std::uint64_t hash, IsSame is_same) const {
    const std::size_t mask = slots_.size() - 1;
    std::size_t i = hash & mask;
    while (slots_[i] != kEmptySlot && !is_same(slots_[i])) i = (i + 1) & mask;
    return i;
  }

  std::vector<std::uint32_t> slots_;
};

}  // namespace ibisladder::declarations

#endif  // LIBS_DECLARATIONS_COMPACT_INDEX_H_
