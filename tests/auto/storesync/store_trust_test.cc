#include "libs/storesync/store_trust.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::storesync {
namespace {

using ibisladder::testing::Section;

constexpr char kKey[] = "era";
constexpr StoreEra kEra(7);
const TimePoint kStart{Seconds(100)};

StoreTrust MakeTrust() {
  StoreTrust trust;
  trust.key = kKey;
  return trust;
}

RangeReply RecordOf(const std::string& value) {
  return {{{kKey, value, Revision(3)}}, false, Revision(9)};
}

/// Returns the level after the record was read from a store of the era.
TrustLevel LevelAfter(const Reply& reply, std::optional<StoreEra> era) {
  StoreTrust trust = MakeTrust();
  CPPUNIT_ASSERT(NextCall(trust, era, false, kStart));
  HandleReply(trust, reply, era, kStart);
  return trust.level;
}

class StoreTrustTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreTrustTest);
  CPPUNIT_TEST(RecordDecidesWhetherAStartedProcessTrustsTheStore);
  CPPUNIT_TEST(CallsAreRepeatedAfterAPause);
  CPPUNIT_TEST(RecordIsWrittenOnceInAnEra);
  CPPUNIT_TEST(UninformedProcessReadsTheRecordOfANewEra);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a process that takes the content of a restored store for
  /// the newest.
  void RecordDecidesWhetherAStartedProcessTrustsTheStore() {
    Section("it names the era", [] {
      CPPUNIT_ASSERT(LevelAfter(RecordOf("7"), kEra) == TrustLevel::kTrusted);
    });
    Section("or another one, or none that can be read", [] {
      for (const char* it :
           {"6", "8", "", "7 ", "-7", "seven", "99999999999999999999999"}) {
        CPPUNIT_ASSERT_MESSAGE(
            it, LevelAfter(RecordOf(it), kEra) == TrustLevel::kDoubted);
      }
    });
    Section("only the record itself counts", [] {
      RangeReply list = RecordOf("6");
      list.items.front().key = "eras-of-others";
      CPPUNIT_ASSERT(LevelAfter(list, kEra) == TrustLevel::kTrusted);
    });
    Section("without a record, the fleet starts for the first time", [] {
      CPPUNIT_ASSERT(LevelAfter(RangeReply{}, kEra) == TrustLevel::kTrusted);
    });
    Section("a store without eras is never restored", [] {
      CPPUNIT_ASSERT(LevelAfter(RecordOf("6"), std::nullopt) ==
                     TrustLevel::kTrusted);
    });
  }

  void CallsAreRepeatedAfterAPause() {
    StoreTrust trust = MakeTrust();
    CPPUNIT_ASSERT(NextCall(trust, kEra, false, kStart));
    CPPUNIT_ASSERT(!NextCall(trust, kEra, false, kStart + Seconds(1)));
    HandleReply(trust, CallFailed{}, kEra, kStart);
    CPPUNIT_ASSERT(trust.level == TrustLevel::kUnchecked);
    CPPUNIT_ASSERT(!NextCall(trust, kEra, false, kStart + Millis(100)));
    CPPUNIT_ASSERT(NextCall(trust, kEra, false, kStart + Millis(300)));
  }

  /// Guards against starts in calm times that have to wait for a proof, since
  /// nobody has written the record.
  void RecordIsWrittenOnceInAnEra() {
    StoreTrust trust = MakeTrust();
    CPPUNIT_ASSERT(NextCall(trust, kEra, true, kStart));
    HandleReply(trust, RangeReply{}, kEra, kStart);
    CPPUNIT_ASSERT(!NextCall(trust, kEra, false, kStart));
    const auto call = NextCall(trust, kEra, true, kStart);
    CPPUNIT_ASSERT(call && std::holds_alternative<PutCall>(*call));
    CPPUNIT_ASSERT_EQUAL(std::string("7"), std::get<PutCall>(*call).value);
    CPPUNIT_ASSERT(std::get<PutCall>(*call).lease == LeaseId());
    HandleReply(trust, Stored{}, kEra, kStart);
    CPPUNIT_ASSERT(!NextCall(trust, kEra, true, kStart + Seconds(9)));
    Section("and again in the next one", [&] {
      BeginEra(trust, true, kStart);
      CPPUNIT_ASSERT(trust.level == TrustLevel::kTrusted);
      CPPUNIT_ASSERT(!NextCall(trust, StoreEra(8), false, kStart));
      CPPUNIT_ASSERT(NextCall(trust, StoreEra(8), true, kStart));
    });
    Section("but not for a store without eras", [] {
      StoreTrust other = MakeTrust();
      other.level = TrustLevel::kTrusted;
      CPPUNIT_ASSERT(!NextCall(other, std::nullopt, true, kStart));
    });
  }

  /// Guards against a process that had lost the store before it was restored,
  /// and trusts it although it may have missed a version.
  void UninformedProcessReadsTheRecordOfANewEra() {
    StoreTrust trust = MakeTrust();
    trust.level = TrustLevel::kTrusted;
    BeginEra(trust, false, kStart);
    const auto call = NextCall(trust, StoreEra(8), true, kStart);
    CPPUNIT_ASSERT(call && std::holds_alternative<RangeCall>(*call));
    HandleReply(trust, RecordOf("7"), StoreEra(8), kStart);
    CPPUNIT_ASSERT(trust.level == TrustLevel::kDoubted);
    Section("a doubt lasts into the next era", [&] {
      BeginEra(trust, false, kStart);
      CPPUNIT_ASSERT(trust.level == TrustLevel::kDoubted);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTrustTest);

}  // namespace
}  // namespace ibisladder::storesync
