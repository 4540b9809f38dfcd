#ifndef LIBS_DECLARATIONS_COMPACT_INDEX_H_
#define LIBS_DECLARATIONS_COMPACT_INDEX_H_

#include <bit>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ibisladder::declarations {

/// Hash index over the items of a vector. It stores only positions, 8 to 16
/// bytes per item, where std::unordered_map takes 40 or more. Open addressing
/// with linear probing.
class CompactIndex {
 public:
  /// Reserves slots for `count` items; the index does not grow.
  explicit CompactIndex(std::size_t count = 0)
      : slots_(std::bit_ceil(2 * count + 1), kEmptySlot) {}

  /// Adds the item at `position`. If `is_same` returns true for an item already
  /// in the index, adds nothing and returns that item's position.
  template <typename IsSame>
  std::optional<std::uint32_t> Add(std::uint64_t hash, std::uint32_t position,
                                   IsSame is_same) {
    std::uint32_t& slot = slots_[SlotOf(hash, is_same)];
    if (slot != kEmptySlot) return slot;
    slot = position;
    return std::nullopt;
  }

  /// Returns the position of the item with that hash for which `is_same`
  /// returns true.
  template <typename IsSame>
  std::optional<std::uint32_t> Find(std::uint64_t hash, IsSame is_same) const {
    const std::uint32_t slot = slots_[SlotOf(hash, is_same)];
    if (slot == kEmptySlot) return std::nullopt;
    return slot;
  }

 private:
  static constexpr std::uint32_t kEmptySlot = UINT32_MAX;

  /// Returns the item's slot, or the empty slot where it would be inserted.
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
