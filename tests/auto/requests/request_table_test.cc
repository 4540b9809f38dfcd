// Guards against an id that is accepted twice or runs after callers were told
// that it was not run: late copies arrive after eras have expired, while the
// table is full or after its window has changed.
#include "libs/requests/request_table.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "tests/auto/support/story.h"

namespace ibisladder::requests {
namespace {

using testing::CheckProperty;
using testing::Section;

constexpr Incarnation kOwnIncarnation{0xab};
constexpr Fingerprint kFingerprint{1, 2};

RequestId MakeId(std::uint32_t era, const std::string& part) {
  return {{InstanceId(7), kOwnIncarnation, Era(era)}, part};
}

RequestTable MakeTable(std::size_t max_records = 100,
                       std::size_t max_refusals = 100) {
  TableSettings settings;
  settings.instance = InstanceId(7);
  settings.incarnation = kOwnIncarnation;
  settings.accepted_eras = 2;
  settings.kept_eras = 2;
  settings.max_records = max_records;
  settings.max_refusals = max_refusals;
  settings.max_kept_answer_bytes = 10;
  return MakeRequestTable(settings, Era(10));
}

bool IsAdmitted(const Admission& admission) {
  return std::holds_alternative<Admitted>(admission);
}

ResultCode CodeOf(const Admission& admission) {
  if (const auto* it = std::get_if<Rejected>(&admission)) return it->code;
  if (const auto* it = std::get_if<Repeated>(&admission)) {
    return it->record->code;
  }
  return ResultCode::kInternal;
}

class RequestTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestTableTest);
  CPPUNIT_TEST(RepeatedIdsReturnTheRecord);
  CPPUNIT_TEST(OldErasAreRemoved);
  CPPUNIT_TEST(FullTablesRefuseNewIds);
  CPPUNIT_TEST(OldestAnswersAreDropped);
  CPPUNIT_TEST(NotRunIsFinal);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RepeatedIdsReturnTheRecord() {
    Section("an accepted id", [] {
      auto table = MakeTable();
      const RequestId id = MakeId(10, "a");
      CPPUNIT_ASSERT(IsAdmitted(Admit(table, id, kFingerprint)));
      Section("is not accepted again", [&] {
        CPPUNIT_ASSERT(!IsAdmitted(Admit(table, id, kFingerprint)));
      });
      Section("refuses another request under it with an unknown outcome", [&] {
        MarkDispatched(table, id);
        const ResultCode code = CodeOf(Admit(table, id, {3, 4}));
        CPPUNIT_ASSERT(code == ResultCode::kRequestIdReused);
        CPPUNIT_ASSERT(OutcomeOf(code) == Outcome::kUnknown);
      });
      Section("cannot be marked as not run while it may be running", [&] {
        MarkNotRun(table, id, ResultCode::kSettledNotRun);
        CPPUNIT_ASSERT(FindRecord(table, id)->state ==
                       RecordState::kDispatched);
      });
      Section("keeps its answer", [&] {
        MarkDone(table, id, {200, {}, "ok"});
        CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                             FindRecord(table, id)->answer->body);
      });
    });
    Section("an id of another incarnation has an unknown outcome", [] {
      auto table = MakeTable();
      RequestId id = MakeId(10, "a");
      id.ticket.incarnation = Incarnation(0xac);
      CPPUNIT_ASSERT(CodeOf(Admit(table, id, kFingerprint)) ==
                     ResultCode::kHomeReplaced);
      CPPUNIT_ASSERT(CodeOfUnrecorded(table, id) == ResultCode::kHomeReplaced);
    });
  }

  void OldErasAreRemoved() {
    Section("a table that advances from era 10 to era 14", [] {
      auto table = MakeTable();
      Admit(table, MakeId(10, "done"), kFingerprint);
      MarkDispatched(table, MakeId(10, "done"));
      MarkDone(table, MakeId(10, "done"), {200, {}, "ok"});
      AdvanceEra(table, Era(14));
      Section("has the record of an id of era 10", [&] {
        CPPUNIT_ASSERT(FindRecord(table, MakeId(10, "done")) != nullptr);
      });
      Section("refuses a new id of era 10 with an unknown outcome", [&] {
        CPPUNIT_ASSERT(CodeOf(Admit(table, MakeId(10, "new"), kFingerprint)) ==
                       ResultCode::kEraExpired);
      });
      Section("removes era 10 in era 15 and answers its ids with unknown", [&] {
        AdvanceEra(table, Era(15));
        CPPUNIT_ASSERT(FindRecord(table, MakeId(10, "done")) == nullptr);
        CPPUNIT_ASSERT(CodeOf(Admit(table, MakeId(10, "done"), kFingerprint)) ==
                       ResultCode::kEraExpired);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.answer_bytes);
      });
      Section("never returns to an earlier era", [&] {
        AdvanceEra(table, Era(3));
        CPPUNIT_ASSERT_EQUAL(15U, table.current.value());
      });
    });
    Section("a growing window accepts no expired era again", [] {
      auto table = MakeTable();
      AdvanceEra(table, Era(20));
      SetWindow(table, 9, 9);
      CPPUNIT_ASSERT(CodeOf(Admit(table, MakeId(17, "a"), kFingerprint)) ==
                     ResultCode::kEraExpired);
      CPPUNIT_ASSERT(IsAdmitted(Admit(table, MakeId(18, "a"), kFingerprint)));
      AdvanceEra(table, Era(27));
      CPPUNIT_ASSERT(IsAdmitted(Admit(table, MakeId(18, "b"), kFingerprint)));
    });
    Section("an unfinished record is kept after its era would be removed", [] {
      auto table = MakeTable();
      Admit(table, MakeId(10, "a"), kFingerprint);
      AdvanceEra(table, Era(100));
      CPPUNIT_ASSERT(FindRecord(table, MakeId(10, "a")) != nullptr);
    });
    Section("an id of a future era is refused permanently", [] {
      auto table = MakeTable();
      CPPUNIT_ASSERT(CodeOf(Admit(table, MakeId(11, "a"), kFingerprint)) ==
                     ResultCode::kEraTooNew);
      AdvanceEra(table, Era(11));
      CPPUNIT_ASSERT(!IsAdmitted(Admit(table, MakeId(11, "a"), kFingerprint)));
      CPPUNIT_ASSERT(IsAdmitted(Admit(table, MakeId(11, "b"), kFingerprint)));
    });
  }

  void FullTablesRefuseNewIds() {
    Section("a table with capacity for one accepted and one refused id", [] {
      auto table = MakeTable(1, 1);
      CPPUNIT_ASSERT(IsAdmitted(Admit(table, MakeId(10, "a"), kFingerprint)));
      CPPUNIT_ASSERT(CodeOf(Admit(table, MakeId(10, "b"), kFingerprint)) ==
                     ResultCode::kRequestTableFull);
      Section("closes the era of the next refused id", [&] {
        CPPUNIT_ASSERT(CodeOf(Admit(table, MakeId(9, "c"), kFingerprint)) ==
                       ResultCode::kRequestTableFull);
        CPPUNIT_ASSERT(table.eras.at(Era(9)).closed);
        CPPUNIT_ASSERT(!table.eras.at(Era(10)).closed);
      });
      Section("answers an id of a future era with unknown", [&] {
        CPPUNIT_ASSERT(CodeOf(Admit(table, MakeId(11, "d"), kFingerprint)) ==
                       ResultCode::kOutcomeUncertain);
      });
      Section("keeps its refusals when there is capacity again", [&] {
        table.settings.max_records = 100;
        CPPUNIT_ASSERT(
            !IsAdmitted(Admit(table, MakeId(10, "b"), kFingerprint)));
        CPPUNIT_ASSERT(!IsAdmitted(Admit(table, MakeId(9, "c"), kFingerprint)));
        CPPUNIT_ASSERT(IsAdmitted(Admit(table, MakeId(10, "e"), kFingerprint)));
      });
      Section("keeps its accepted records", [&] {
        CPPUNIT_ASSERT(FindRecord(table, MakeId(10, "a")) != nullptr);
      });
    });
  }

  void OldestAnswersAreDropped() {
    Section("of three answers of 4 bytes in 10, the oldest is dropped", [] {
      auto table = MakeTable();
      for (const auto* it : {"a", "b", "c"}) {
        Admit(table, MakeId(10, it), kFingerprint);
        MarkDispatched(table, MakeId(10, it));
        MarkDone(table, MakeId(10, it), {200, {}, "1234"});
      }
      CPPUNIT_ASSERT(!FindRecord(table, MakeId(10, "a"))->answer);
      CPPUNIT_ASSERT(FindRecord(table, MakeId(10, "b"))->answer);
      CPPUNIT_ASSERT_EQUAL(std::size_t{8}, table.answer_bytes);
      CPPUNIT_ASSERT(!IsAdmitted(Admit(table, MakeId(10, "a"), kFingerprint)));
    });
  }

  void NotRunIsFinal() {
    CheckProperty(
        "an id is accepted at most once, never after not-run", 12, 400, [] {
          auto table = MakeTable(6, 4);
          std::set<RequestId> accepted;
          std::set<RequestId> refused;
          const auto steps = *rc::gen::container<std::vector<int>>(
              150, rc::gen::inRange(0, 1000));
          for (const int step : steps) {
            if (step < 60) AdvanceEra(table, Era(table.current.value() + 1));
            if (step > 960) SetWindow(table, step % 4, step % 3);
            const RequestId id =
                MakeId(table.current.value() - 4 + step % 6,
                       std::string(1, static_cast<char>('a' + step % 7)));
            if (step % 11 == 0) {
              const bool is_known = FindRecord(table, id) != nullptr;
              if (is_known) continue;
              const auto code =
                  RefuseUnrecorded(table, id, ResultCode::kSettledNotRun);
              if (OutcomeOf(code) == Outcome::kNotRun) refused.insert(id);
              RC_ASSERT(OutcomeOf(code) != Outcome::kNotRun ||
                        !accepted.contains(id));
              continue;
            }
            const Admission it = Admit(table, id, kFingerprint);
            if (IsAdmitted(it)) {
              RC_ASSERT(!refused.contains(id));
              RC_ASSERT(accepted.insert(id).second);
              MarkDispatched(table, id);
              MarkDone(table, id, {200, {}, ""});
            } else if (OutcomeOf(CodeOf(it)) == Outcome::kNotRun) {
              RC_ASSERT(!accepted.contains(id));
              refused.insert(id);
            }
          }
          RC_ASSERT(table.accepted <= 6U);
          RC_ASSERT(table.refused <= 4U);
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTableTest);

}  // namespace
}  // namespace ibisladder::requests
