#ifndef LIBS_WIRE_BOUNDED_ARCHIVE_H_
#define LIBS_WIRE_BOUNDED_ARCHIVE_H_

#include <algorithm>
#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

/// Decodes the output of cereal's portable binary archive from untrusted bytes.
/// cereal's own input archive resizes strings and vectors to the length given
/// in the input; this one checks that length first.
namespace ibisladder::wire {

/// Input archive over bytes in memory; throws cereal::Exception on malformed
/// input and never allocates more than a small multiple of the input's size.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes)
      : cereal::InputArchive<BoundedInputArchive,
                             cereal::AllowEmptyClassElision>(this),
        rest_(bytes) {
    std::uint8_t is_little = 0;
    Read(&is_little, 1);
    if (is_little > 1) throw cereal::Exception("unknown byte order");
    swaps_ = (is_little == 1) != (std::endian::native == std::endian::little);
  }

  template <typename T>
  void ReadNumber(T& value) {
    char buf[sizeof(T)];
    Read(buf, sizeof(T));
    if (swaps_) std::reverse(std::begin(buf), std::end(buf));
    // A bool with a byte other than 0 and 1 is undefined behaviour.
    if constexpr (std::is_same_v<T, bool>) {
      value = buf[0] != 0;
    } else {
      std::memcpy(&value, buf, sizeof(T));
    }
  }

  /// Reads a count of items that take at least one byte each; throws if the
  /// rest of the input is shorter.
  std::size_t ReadCount() {
    std::uint64_t count = 0;
    ReadNumber(count);
    if (count > rest_.size()) throw cereal::Exception("count exceeds input");
    return static_cast<std::size_t>(count);
  }

  std::string_view ReadBytes(std::size_t size) {
    if (size > rest_.size()) throw cereal::Exception("input ends early");
    const std::string_view bytes = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return bytes;
  }

  bool at_end() const { return rest_.empty(); }

 private:
  void Read(void* to, std::size_t size) {
    std::memcpy(to, ReadBytes(size).data(), size);
  }

  std::string_view rest_;
  bool swaps_ = false;
};

/// Encodes `value` with cereal's portable binary archive, little-endian.
template <typename T>
std::string EncodePortable(const T& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(
        stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    archive(value);
  }
  return std::move(stream).str();
}

/// Decodes `value`, which may be followed by fields of later builds. Returns
/// false when `bytes` do not begin with a T; `value` is then in an unspecified
/// state. Throws nothing for malformed input.
template <typename T>
bool DecodeGrowing(std::string_view bytes, T& value) {
  try {
    BoundedInputArchive archive(bytes);
    archive(value);
    return true;
  } catch (const cereal::Exception&) {
    return false;
  }
}

/// The same for messages that never get further fields: returns false when
/// `bytes` are not exactly one T.
template <typename T>
bool DecodePortable(std::string_view bytes, T& value) {
  try {
    BoundedInputArchive archive(bytes);
    archive(value);
    return archive.at_end();
  } catch (const cereal::Exception&) {
    return false;
  }
}

}  // namespace ibisladder::wire

// cereal finds these loaders in its own namespace and prefers them, as they are
// more specialised than its loaders for any archive.
namespace cereal {

template <typename T, std::enable_if_t<std::is_arithmetic_v<T>, int> = 0>
void CEREAL_LOAD_FUNCTION_NAME(ibisladder::wire::BoundedInputArchive& archive,
                               T& value) {
  archive.ReadNumber(value);
}

/// The binary format holds no names.
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(ibisladder::wire::BoundedInputArchive& archive,
                               NameValuePair<T>& pair) {
  archive(pair.value);
}

inline void CEREAL_LOAD_FUNCTION_NAME(
    ibisladder::wire::BoundedInputArchive& archive, std::string& value) {
  const std::size_t size = archive.ReadCount();
  value = archive.ReadBytes(size);
}

/// Appends item by item, so that memory grows only with the input read.
template <typename T, typename A>
void CEREAL_LOAD_FUNCTION_NAME(ibisladder::wire::BoundedInputArchive& archive,
                               std::vector<T, A>& value) {
  const std::size_t count = archive.ReadCount();
  value.clear();
  for (std::size_t i = 0; i < count; ++i) {
    T item{};
    archive(item);
    value.push_back(std::move(item));
  }
}

}  // namespace cereal

/// Tells cereal which output archive matches this input archive.
template <>
struct cereal::traits::detail::get_output_from_input<
    ibisladder::wire::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif  // LIBS_WIRE_BOUNDED_ARCHIVE_H_
