#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "tests/auto/controlplane/fleet.h"
#include "tests/auto/support/story.h"

namespace ibisladder::controlplane {
namespace {

using testing::CheckProperty;

constexpr std::uint32_t kInstances = 5;
constexpr Duration kInForceWithin = Seconds(6);

/// Counts of faults and replies over all cases.
struct CaseCounts {
  int lost = 0;
  int duplicated = 0;
  int cut = 0;
  int lost_replies = 0;
  int slow_writes = 0;
  int invalid_replies = 0;
  int refused = 0;
  int restarts = 0;
  int accepted = 0;
  std::map<ResultCode, int> operator_replies;
};

/// A random schedule of operators' changes and faults in a small fleet.
class Schedule {
 public:
  explicit Schedule(unsigned seed) : fleet_(kInstances, seed) {
    for (std::uint32_t i = 0; i < kInstances; ++i) fleet_.Start(i);
    fleet_.Run(Seconds(2));
  }

  void RunRandomStep() {
    auto& faults = fleet_.faults();
    const auto i = *rc::gen::inRange<std::uint32_t>(0, kInstances);
    const auto k = *rc::gen::inRange<std::uint32_t>(0, kInstances);
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
      case 1:
        Change(i);
        break;
      case 2:
        Change(i);
        Change(k);
        break;
      case 3:
        Repeat(i);
        break;
      case 4:
        faults.loss = *rc::gen::element(0.0, 0.1, 0.4);
        faults.duplicate = *rc::gen::element(0.0, 0.3);
        break;
      case 5:
        faults.lost_reply = *rc::gen::element(0.0, 0.3, 0.8);
        faults.invalid_reply = *rc::gen::element(0.0, 0.0, 0.3);
        faults.slow_write = *rc::gen::element(0.0, 0.0, 0.4);
        break;
      case 6:
        faults.store_down = !faults.store_down;
        break;
      case 7:
        faults.cuts.insert({i, k});
        break;
      case 8:
        faults.cuts.clear();
        break;
      case 9:
        fleet_.Kill(i);
        break;
      case 10:
        Restart(i);
        break;
      default:
        // The store goes down while an operator's change is being applied.
        Change(i);
        fleet_.Run(Millis(*rc::gen::inRange(0, 20)));
        faults.store_down = true;
        fleet_.Run(Seconds(*rc::gen::element(0, 12)));
    }
    fleet_.Run(Millis(*rc::gen::inRange(0, 1500)));
  }

  /// Ends all faults, restarts all stopped instances and waits. A change must
  /// be in force 6 s after that, or 6 s after its acceptance if that is later:
  /// a slow write may still arrive.
  void Settle() {
    auto& faults = fleet_.faults();
    faults.loss = faults.duplicate = 0;
    faults.lost_reply = faults.invalid_reply = faults.slow_write = 0;
    faults.store_down = false;
    faults.cuts.clear();
    for (std::uint32_t i = 0; i < kInstances; ++i) {
      if (!fleet_.node(i).runs) Restart(i);
    }
    const auto stopped_at = fleet_.now();
    while (fleet_.now() <
           std::max(stopped_at, fleet_.newest_head_at()) + kInForceWithin) {
      fleet_.Run(Millis(100));
    }
  }

  void CheckOutcome() {
    const auto& heads = fleet_.store().heads();
    RC_ASSERT(fleet_.regressions() == 0);
    RC_ASSERT(fleet_.store().incomplete_heads() == 0);
    std::map<std::uint64_t, ConfigVersion> accepted;
    for (std::size_t i = 0; i < heads.size(); ++i) {
      RC_ASSERT(heads[i].version.value() == i + 1);
      const auto change = heads[i].changes.back().change;
      RC_ASSERT(accepted.emplace(change, heads[i].version).second);
    }
    for (const auto& it : fleet_.operator_replies()) CheckReply(it, accepted);
    const auto newest = heads.empty() ? ConfigVersion() : heads.back().version;
    for (std::uint32_t i = 0; i < kInstances; ++i) {
      RC_ASSERT(fleet_.version(i) == newest);
    }
  }

  void AddTo(CaseCounts& counts) {
    const auto& faults = fleet_.faults();
    counts.lost += faults.lost;
    counts.duplicated += faults.duplicated;
    counts.cut += faults.cut;
    counts.lost_replies += faults.lost_replies;
    counts.slow_writes += faults.slow_writes;
    counts.invalid_replies += faults.invalid_replies;
    counts.refused += faults.calls_in_outages;
    counts.restarts += restarts_;
    counts.accepted += static_cast<int>(fleet_.store().heads().size());
    for (const auto& it : fleet_.operator_replies())
      ++counts.operator_replies[it.code];
  }

 private:
  void Change(std::uint32_t i) {
    if (!fleet_.node(i).runs) return;
    last_ = "change-" + std::to_string(changes_++);
    last_based_on_ = fleet_.version(i);
    fleet_.Apply(i, last_, last_based_on_, Content());
  }

  void Repeat(std::uint32_t i) {
    if (!fleet_.node(i).runs || last_.empty()) return;
    repeated_.insert(last_);
    fleet_.Apply(i, last_, last_based_on_, Content());
  }

  void Restart(std::uint32_t i) {
    ++restarts_;
    fleet_.Start(i);
  }

  declarations::Declarations Content() const {
    auto items = MakeDeclarations(1, 2, 2, 2);
    items.organisations[0].max_in_flight = static_cast<std::uint32_t>(changes_);
    return items;
  }

  void CheckReply(const OperatorReply& reply,
                  const std::map<std::uint64_t, ConfigVersion>& accepted) {
    const auto it = accepted.find(HashChangeId(reply.change_id));
    const bool is_accepted = it != accepted.end();
    switch (reply.code) {
      case ResultCode::kDone:
        RC_ASSERT(is_accepted);
        RC_ASSERT(it->second == reply.version);
        break;
      case ResultCode::kWriteUnknown:
        break;
      case ResultCode::kUnavailable:
        // A repeat with the same id may have been accepted.
        if (!repeated_.contains(reply.change_id)) RC_ASSERT(!is_accepted);
        break;
      default:
        RC_ASSERT(reply.code == ResultCode::kConflict);
        RC_ASSERT(!is_accepted);
    }
  }

  Fleet fleet_;
  int changes_ = 0;
  int restarts_ = 0;
  std::string last_;
  ConfigVersion last_based_on_;
  std::set<std::string> repeated_;
};

/// Guards against wrong replies to operators, and against accepted changes that
/// are lost or reverted, under random faults of links, instances and the store.
class PropertiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PropertiesTest);
  CPPUNIT_TEST(AcceptedChangesSurviveFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptedChangesSurviveFaults() {
    CaseCounts counts;
    int cases = 0;
    CheckProperty(
        "operators get true replies, and accepted changes are in force "
        "within 6 s after the faults and never revert",
        4601, 3000, [&] {
          Schedule schedule(*rc::gen::arbitrary<unsigned>());
          const int n = *rc::gen::inRange(5, 30);
          for (int i = 0; i < n; ++i) schedule.RunRandomStep();
          schedule.Settle();
          schedule.AddTo(counts);
          ++cases;
          schedule.CheckOutcome();
        });
    std::cout << "  " << cases << " cases: datagrams lost " << counts.lost
              << ", duplicated " << counts.duplicated << ", cut " << counts.cut
              << "; store replies lost " << counts.lost_replies
              << ", slow writes " << counts.slow_writes << ", invalid replies "
              << counts.invalid_replies << ", calls in outages "
              << counts.refused << "; restarts " << counts.restarts
              << "; changes accepted " << counts.accepted << ", replies";
    for (const auto& [code, n] : counts.operator_replies) {
      std::cout << " " << static_cast<int>(code) << ": " << n;
    }
    std::cout << "\n";
    CPPUNIT_ASSERT(counts.lost > 0 && counts.duplicated > 0);
    CPPUNIT_ASSERT(counts.lost_replies > 0 && counts.restarts > 0);
    CPPUNIT_ASSERT(counts.slow_writes > 0 && counts.cut > 0);
    CPPUNIT_ASSERT(counts.operator_replies[ResultCode::kConflict] > 0);
    CPPUNIT_ASSERT(counts.operator_replies[ResultCode::kWriteUnknown] > 0);
    CPPUNIT_ASSERT(counts.operator_replies[ResultCode::kUnavailable] > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PropertiesTest);

}  // namespace
}  // namespace ibisladder::controlplane
