#include "libs/controlplane/document.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "libs/declarations/parse.h"
#include "tests/auto/controlplane/fleet.h"
#include "tests/auto/support/story.h"

namespace ibisladder::controlplane {
namespace {

using testing::CheckProperty;
using testing::Section;

DocumentPtr Make(const declarations::Declarations& items, std::uint64_t version,
                 const Document* previous) {
  const Change change{ConfigVersion(version), InstanceId(1),
                      "change-" + std::to_string(version)};
  return MakeDocument(items, change, previous).value();
}

std::size_t BytesOf(const Document& document) {
  std::size_t n = 0;
  for (const auto& [_, bytes] : document.chunks) n += bytes->size();
  return n;
}

std::size_t NewBytes(const Document& document, const Document& previous) {
  std::size_t n = 0;
  for (const auto& [digest, bytes] : document.chunks) {
    if (!previous.chunks.contains(digest)) n += bytes->size();
  }
  return n;
}

/// Guards against a stored configuration that decodes differently, rewrites far
/// more than a change touches, grows without limit or is accepted when damaged.
class DocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DocumentTest);
  CPPUNIT_TEST(DeclarationsRoundTrip);
  CPPUNIT_TEST(ChangesRewriteLittle);
  CPPUNIT_TEST(DroppedChunksExpire);
  CPPUNIT_TEST(DamagedHeadsAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DeclarationsRoundTrip() {
    const auto items = MakeDeclarations(7, 3, 200, 90);
    const auto document = Make(items, 1, nullptr);
    const auto back = ReadDocument(*document);
    CPPUNIT_ASSERT(back.has_value());
    const auto again = Make(*back, 1, nullptr);
    CPPUNIT_ASSERT(document->head_bytes == again->head_bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, back->services.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, back->services[0].servers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, back->routes.size());
    CPPUNIT_ASSERT(back->keep_addresses == items.keep_addresses);
  }

  void ChangesRewriteLittle() {
    Section("one drained server at the target size", [] {
      auto items = MakeDeclarations(340, 24, 15000, 25000);
      const auto first = Make(items, 1, nullptr);
      items.services[17].servers[3].drained = true;
      const auto second = Make(items, 2, first.get());
      const auto moved = NewBytes(*second, *first) + second->head_bytes.size();
      std::size_t largest = 0;
      for (const auto& [_, bytes] : first->chunks) {
        largest = std::max(largest, bytes->size());
      }
      std::cout << "  document " << BytesOf(*first) << " bytes in "
                << first->chunks.size() << " chunks, the largest " << largest
                << "; head " << second->head_bytes.size()
                << "; one drained server moves " << moved << "\n";
      CPPUNIT_ASSERT(moved < 20'000);
      CPPUNIT_ASSERT(largest < kMaxChunkBytes / 10);
    });
    Section("growth by one item rewrites one chunk", [] {
      auto items = MakeDeclarations(4, 4, 64 * 16, 0);
      const auto first = Make(items, 1, nullptr);
      items.routes.push_back({"/one-more", {}, "service-1"});
      const auto second = Make(items, 2, first.get());
      CPPUNIT_ASSERT(NewBytes(*second, *first) < BytesOf(*first) / 8);
    });
  }

  void DroppedChunksExpire() {
    auto items = MakeDeclarations(2, 2, 4, 4);
    auto document = Make(items, 1, nullptr);
    std::set<ChunkDigest> expired;
    std::set<ChunkDigest> all;
    for (std::uint64_t version = 2; version < 3 * kKeptVersions; ++version) {
      // Alternates between two contents.
      items.organisations[0].max_in_flight = version % 2;
      document = Make(items, version, document.get());
      for (const auto& [digest, _] : document->chunks) all.insert(digest);
      for (const auto it : ExpiredChunks(document->head)) {
        CPPUNIT_ASSERT(!document->chunks.contains(it));
        expired.insert(it);
      }
    }
    CPPUNIT_ASSERT(document->head.dropped.size() <= kKeptVersions + 1);
    CPPUNIT_ASSERT(expired.size() + kKeptVersions + 4 >= all.size());
    CPPUNIT_ASSERT(document->head.changes.size() <= kPastChanges);
  }

  void DamagedHeadsAreRejected() {
    const auto head = Make(MakeDeclarations(1, 1, 1, 1), 1, nullptr);
    CheckProperty("a head with a changed byte is rejected", 4201, 500, [&] {
      auto bytes = head->head_bytes;
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
      RC_ASSERT(!DecodeHead(bytes).has_value());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentTest);

}  // namespace
}  // namespace ibisladder::controlplane
