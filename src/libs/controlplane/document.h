#ifndef LIBS_CONTROLPLANE_DOCUMENT_H_
#define LIBS_CONTROLPLANE_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/declarations/declarations.h"

/// The stored form of one version of the declarations: a small head that
/// names immutable chunks by digest. Items are spread over buckets by the hash
/// of their name, so that a change rewrites the chunks that it touches.
namespace ibisladder::controlplane {

/// Digest of a chunk's bytes.
using ChunkDigest = std::uint64_t;
using ChunkBytes = std::shared_ptr<const std::string>;
using Chunks = std::map<ChunkDigest, ChunkBytes>;

/// Digest of an empty bucket, which has no chunk.
constexpr ChunkDigest kEmptyBucket = 0;
/// Largest chunk, bytes. The platform's store accepts values up to 1,000,000.
constexpr std::size_t kMaxChunkBytes = 900'000;
/// Accepted changes kept in the head, so that a repeat is recognised.
constexpr std::size_t kPastChanges = 64;
/// Number of versions for which a chunk is kept after the last head that names
/// it.
constexpr std::uint64_t kKeptVersions = 32;

/// An accepted change.
struct PastChange {
  /// Hash of the change's id.
  std::uint64_t change = 0;
  ConfigVersion version;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(change, version);
  }
};

/// A chunk that heads from `version` on no longer name.
struct DroppedChunk {
  ChunkDigest digest = kEmptyBucket;
  ConfigVersion version;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(digest, version);
  }
};

/// The value of the head's key.
struct StoredHead {
  std::uint8_t format = 1;
  ConfigVersion version;
  InstanceId writer;
  std::int64_t keep_addresses_us = 0;
  std::uint8_t address_count = 0;
  std::uint16_t subset_size = 0;
  /// One digest per bucket.
  std::vector<ChunkDigest> services;
  std::vector<ChunkDigest> routes;
  std::vector<ChunkDigest> organisations;
  /// Oldest first; the last one is this version's.
  std::vector<PastChange> changes;
  std::vector<DroppedChunk> dropped;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(format, version, writer, keep_addresses_us, address_count,
            subset_size, services, routes, organisations, changes, dropped);
  }
};

/// A head with its chunks, complete.
struct Document {
  StoredHead head;
  /// The head as stored.
  std::string head_bytes;
  Chunks chunks;
};
using DocumentPtr = std::shared_ptr<const Document>;

/// Version, writer and change id of a new version.
struct Change {
  ConfigVersion version;
  InstanceId writer;
  std::string change_id;
};

std::uint64_t HashChangeId(std::string_view change_id);
ChunkDigest DigestOf(std::string_view bytes);

std::string EncodeHead(const StoredHead& head);
/// kStoreReplyInvalid unless `bytes` are a complete head of a known format.
Expected<StoredHead> DecodeHead(std::string_view bytes);

/// Builds the version that follows `previous` (may be null) from `items`, and
/// reuses unchanged chunks. kTooLarge when a chunk exceeds kMaxChunkBytes.
Expected<DocumentPtr> MakeDocument(const declarations::Declarations& items,
                                   const Change& change,
                                   const Document* previous);

/// Returns the declarations of a complete document, items sorted by name
/// (routes by prefix and methods). kStoreReplyInvalid when a chunk is missing
/// or malformed.
Expected<declarations::Declarations> ReadDocument(const Document& document);

/// All chunks that `head` names.
std::vector<ChunkDigest> ChunksOf(const StoredHead& head);

/// Returns the version that the change with this id created, if `head` still
/// lists the change.
std::optional<ConfigVersion> VersionOfChange(const StoredHead& head,
                                             std::string_view change_id);

/// Returns chunks to delete: dropped kKeptVersions or more versions before
/// `head`.
std::vector<ChunkDigest> ExpiredChunks(const StoredHead& head);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_DOCUMENT_H_
