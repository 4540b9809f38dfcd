#include "libs/controlplane/document.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <set>
#include <tuple>
#include <utility>

#include "libs/controlplane/declarations_archive.h"
#include "libs/wire/bounded_archive.h"

namespace ibisladder::controlplane {
namespace {

using declarations::Declarations;
using declarations::Organisation;
using declarations::Route;
using declarations::Service;

constexpr std::uint8_t kFormat = 1;
constexpr std::size_t kChecksumBytes = 8;
/// Target for the items (services also count their backend servers) per bucket.
/// The head takes 8 bytes per bucket; in a fleet of the size that it is
/// designed for, both the head and a chunk thus have a few kilobytes.
constexpr std::size_t kItemsPerBucket = 64;
/// A chunk starts with the version that wrote it: 1 byte for the byte order and
/// 8 for the number. The same content written again later thus gets another
/// digest, and deleting the dropped chunk is safe.
constexpr std::size_t kChunkHeaderBytes = 9;

std::uint64_t HashText(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

const std::string& KeyOf(const Service& it) { return it.name; }
const std::string& KeyOf(const Route& it) { return it.prefix; }
const std::string& KeyOf(const Organisation& it) { return it.name; }

bool ComesBefore(const Service& a, const Service& b) { return a.name < b.name; }
bool ComesBefore(const Route& a, const Route& b) {
  return std::tie(a.prefix, a.methods) < std::tie(b.prefix, b.methods);
}
bool ComesBefore(const Organisation& a, const Organisation& b) {
  return a.name < b.name;
}

std::size_t WeightOf(const std::vector<Service>& items) {
  std::size_t n = items.size();
  for (const auto& it : items) n += it.servers.size();
  return n;
}
template <typename Item>
std::size_t WeightOf(const std::vector<Item>& items) {
  return items.size();
}

/// Returns a power of two. The previous count is kept while it is within a
/// factor of two of the ideal one, so that small changes around a limit do not
/// rewrite all chunks.
std::size_t BucketCount(std::size_t weight, std::size_t previous) {
  const std::size_t ideal =
      std::bit_ceil(std::max<std::size_t>(weight / kItemsPerBucket, 1));
  const bool keeps = previous > 0 && std::has_single_bit(previous) &&
                     previous <= ideal * 2 && ideal <= previous * 2;
  return keeps ? previous : ideal;
}

std::string_view BodyOf(const std::string& chunk) {
  const std::string_view bytes = chunk;
  return bytes.substr(std::min(kChunkHeaderBytes, bytes.size()));
}

/// Writes buckets of one kind of item into `document`.
class BucketWriter {
 public:
  BucketWriter(Document& document, const Document* previous)
      : document_(document), previous_(previous) {}

  /// Returns false when a chunk would exceed kMaxChunkBytes.
  template <typename Item>
  bool Write(std::vector<Item> items, const std::vector<ChunkDigest>* before,
             std::vector<ChunkDigest>& digests) {
    std::sort(items.begin(), items.end(),
              [](const Item& a, const Item& b) { return ComesBefore(a, b); });
    const std::size_t n =
        BucketCount(WeightOf(items), before != nullptr ? before->size() : 0);
    std::vector<std::vector<Item>> buckets(n);
    for (auto& it : items) {
      buckets[HashText(KeyOf(it)) % n].push_back(std::move(it));
    }
    digests.assign(n, kEmptyBucket);
    for (std::size_t i = 0; i < n; ++i) {
      if (buckets[i].empty()) continue;
      const bool comparable = before != nullptr && before->size() == n;
      digests[i] = WriteChunk(wire::EncodePortable(buckets[i]),
                              comparable ? (*before)[i] : kEmptyBucket);
      if (digests[i] == kEmptyBucket) return false;
    }
    return true;
  }

 private:
  ChunkDigest WriteChunk(const std::string& body, ChunkDigest before) {
    if (const auto kept = FindSame(body, before)) {
      document_.chunks[before] = kept;
      return before;
    }
    auto bytes = std::make_shared<std::string>(
        wire::EncodePortable(document_.head.version));
    *bytes += body;
    if (bytes->size() > kMaxChunkBytes) return kEmptyBucket;
    const ChunkDigest digest = DigestOf(*bytes);
    document_.chunks[digest] = std::move(bytes);
    return digest;
  }

  ChunkBytes FindSame(const std::string& body, ChunkDigest before) const {
    if (before == kEmptyBucket) return nullptr;
    const auto it = previous_->chunks.find(before);
    if (it == previous_->chunks.end()) return nullptr;
    return BodyOf(*it->second) == body ? it->second : nullptr;
  }

  Document& document_;
  const Document* previous_;
};

void RememberChange(StoredHead& head, const Change& change,
                    const Document* previous) {
  if (previous != nullptr) head.changes = previous->head.changes;
  if (head.changes.size() >= kPastChanges) {
    head.changes.erase(head.changes.begin());
  }
  head.changes.push_back({HashChangeId(change.change_id), change.version});
}

void ListDropped(StoredHead& head, const StoredHead& previous) {
  const auto now = ChunksOf(head);
  const std::set<ChunkDigest> named(now.begin(), now.end());
  for (const auto& it : previous.dropped) {
    // Expired chunks were deleted when `previous` was accepted.
    if (it.version.value() + kKeptVersions > previous.version.value()) {
      head.dropped.push_back(it);
    }
  }
  for (const auto it : ChunksOf(previous)) {
    if (!named.contains(it)) head.dropped.push_back({it, head.version});
  }
}

Error Invalid(std::string message) {
  return {ResultCode::kStoreReplyInvalid, "", std::move(message)};
}

template <typename Item>
bool ReadBuckets(const Document& document,
                 const std::vector<ChunkDigest>& digests,
                 std::vector<Item>& items) {
  for (const auto digest : digests) {
    if (digest == kEmptyBucket) continue;
    const auto it = document.chunks.find(digest);
    if (it == document.chunks.end()) return false;
    std::vector<Item> bucket;
    if (!wire::DecodePortable(BodyOf(*it->second), bucket)) return false;
    std::move(bucket.begin(), bucket.end(), std::back_inserter(items));
  }
  std::sort(items.begin(), items.end(),
            [](const Item& a, const Item& b) { return ComesBefore(a, b); });
  return true;
}

}  // namespace

std::uint64_t HashChangeId(std::string_view change_id) {
  return HashText(change_id);
}

ChunkDigest DigestOf(std::string_view bytes) {
  const ChunkDigest digest = HashText(bytes);
  return digest == kEmptyBucket ? 1 : digest;
}

std::string EncodeHead(const StoredHead& head) {
  std::string bytes = wire::EncodePortable(head);
  const std::uint64_t checksum = HashText(bytes);
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    bytes += static_cast<char>((checksum >> (8 * i)) & 0xffU);
  }
  return bytes;
}

Expected<StoredHead> DecodeHead(std::string_view bytes) {
  if (bytes.size() < kChecksumBytes) {
    return tl::unexpected(Invalid("the head is truncated"));
  }
  const auto body = bytes.substr(0, bytes.size() - kChecksumBytes);
  std::uint64_t checksum = 0;
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    const auto byte = static_cast<std::uint8_t>(bytes[body.size() + i]);
    checksum |= static_cast<std::uint64_t>(byte) << (8 * i);
  }
  if (checksum != HashText(body)) {
    return tl::unexpected(Invalid("the head's checksum is wrong"));
  }
  StoredHead head;
  if (!wire::DecodePortable(body, head) || head.format != kFormat) {
    return tl::unexpected(
        Invalid("the head is malformed or of an unknown format"));
  }
  return head;
}

Expected<DocumentPtr> MakeDocument(const Declarations& items,
                                   const Change& change,
                                   const Document* previous) {
  auto document = std::make_shared<Document>();
  auto& head = document->head;
  head.version = change.version;
  head.writer = change.writer;
  head.keep_addresses_us = items.keep_addresses.count();
  head.address_count = items.address_count;
  head.subset_size = items.subset_size;
  const StoredHead* before = previous != nullptr ? &previous->head : nullptr;
  BucketWriter writer(*document, previous);
  const bool fits =
      writer.Write(items.services, before ? &before->services : nullptr,
                   head.services) &&
      writer.Write(items.routes, before ? &before->routes : nullptr,
                   head.routes) &&
      writer.Write(items.organisations,
                   before ? &before->organisations : nullptr,
                   head.organisations);
  if (!fits) {
    return Fail(ResultCode::kTooLarge, "",
                "the services, routes or organisations of one chunk exceed " +
                    std::to_string(kMaxChunkBytes) + " bytes");
  }
  RememberChange(head, change, previous);
  if (before != nullptr) ListDropped(head, *before);
  document->head_bytes = EncodeHead(head);
  return document;
}

Expected<Declarations> ReadDocument(const Document& document) {
  const auto& head = document.head;
  Declarations items;
  items.keep_addresses = Duration(head.keep_addresses_us);
  items.address_count = head.address_count;
  items.subset_size = head.subset_size;
  const bool whole =
      ReadBuckets(document, head.services, items.services) &&
      ReadBuckets(document, head.routes, items.routes) &&
      ReadBuckets(document, head.organisations, items.organisations);
  if (!whole) return tl::unexpected(Invalid("a chunk is missing or malformed"));
  return items;
}

std::vector<ChunkDigest> ChunksOf(const StoredHead& head) {
  std::vector<ChunkDigest> digests;
  for (const auto* it : {&head.services, &head.routes, &head.organisations}) {
    std::copy_if(it->begin(), it->end(), std::back_inserter(digests),
                 [](ChunkDigest digest) { return digest != kEmptyBucket; });
  }
  return digests;
}

std::optional<ConfigVersion> VersionOfChange(const StoredHead& head,
                                             std::string_view change_id) {
  const std::uint64_t hash = HashChangeId(change_id);
  for (const auto& it : head.changes) {
    if (it.change == hash) return it.version;
  }
  return std::nullopt;
}

std::vector<ChunkDigest> ExpiredChunks(const StoredHead& head) {
  std::vector<ChunkDigest> expired;
  for (const auto& it : head.dropped) {
    if (it.version.value() + kKeptVersions <= head.version.value()) {
      expired.push_back(it.digest);
    }
  }
  return expired;
}

}  // namespace ibisladder::controlplane
