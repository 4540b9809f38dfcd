#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/controlplane/fleet.h"
#include "tests/auto/support/golden.h"
#include "tests/auto/support/story.h"

namespace ibisladder::controlplane {
namespace {

using testing::Section;

constexpr const char* kFile =
    "tests/auto/controlplane/golden/two_operators.txt";
constexpr unsigned kSeed = 4507;

declarations::Declarations Content(std::uint32_t max_in_flight) {
  auto items = MakeDeclarations(2, 2, 2, 2);
  items.organisations[0].max_in_flight = max_in_flight;
  return items;
}

/// Returns a change that affects only the head and writes no chunk.
declarations::Declarations WithSubset(declarations::Declarations items,
                                      std::uint16_t size) {
  items.subset_size = size;
  return items;
}

/// Instances 1, 2 and 3 of a fleet whose instance 0 was never started.
struct Session {
  std::vector<std::string> lines;
  Fleet fleet{4, kSeed};

  Session() {
    fleet.listed().erase(0);
    fleet.Transcribe(&lines);
    for (std::uint32_t i = 1; i < fleet.size(); ++i) fleet.Start(i);
  }

  void Step(const std::string& title) {
    lines.push_back((lines.empty() ? "# " : "\n# ") + title);
  }

  /// The first letter of the change's id names the operator.
  void Apply(std::uint32_t i, const std::string& change, std::uint64_t based_on,
             const declarations::Declarations& items) {
    fleet.WriteTranscript("operator " + change.substr(0, 1) + " applies " +
                          change + " at instance " + std::to_string(i) +
                          ", based on version " + std::to_string(based_on));
    fleet.Apply(i, change, ConfigVersion(based_on), items);
  }

  void Pass(Duration time) {
    fleet.Run(time);
    std::string text = "versions";
    for (std::uint32_t i = 1; i < fleet.size(); ++i) {
      text += " " + std::to_string(i) + ":" +
              std::to_string(fleet.version(i).value());
    }
    fleet.WriteTranscript(text);
  }

  void CheckLastReply(ResultCode code, std::uint64_t version) {
    const auto& reply = fleet.operator_replies().back();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.message, static_cast<int>(code),
                                 static_cast<int>(reply.code));
    CPPUNIT_ASSERT_EQUAL(version, reply.version.value());
  }
};

/// Compares a run of two operators, with conflicts, repeats, a lost reply and
/// an outage of the store, with a golden transcript.
class OperatorsGoldenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorsGoldenTest);
  CPPUNIT_TEST(TwoOperators);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TwoOperators() {
    Section("two operators change the configuration at the same time", [] {
      Session it;
      it.Step("three instances start, and A applies the first version");
      it.Pass(Seconds(5));
      it.Apply(1, "A-1", 0, Content(1));
      it.Pass(Seconds(5));
      it.Step("A and B change version 1 at the same moment");
      it.Apply(1, "A-2", 1, Content(2));
      it.Apply(2, "B-1", 1, Content(3));
      it.Pass(Seconds(5));
      it.Step("A repeats its change elsewhere");
      it.Apply(3, "A-2", 1, Content(2));
      it.Pass(Seconds(2));
      it.Step("B changes version 2, and the reply to its write is lost");
      it.fleet.faults().lost_reply = 1;
      it.Apply(2, "B-2", 2, WithSubset(Content(2), 3));
      it.Pass(Seconds(5));
      it.fleet.faults().lost_reply = 0;
      it.Step("the store is down, and A changes version 3");
      it.fleet.faults().store_down = true;
      it.Pass(Seconds(6));
      it.Apply(1, "A-3", 3, Content(4));
      it.Pass(Seconds(4));
      it.Step("the store is back, and A repeats its change");
      it.fleet.faults().store_down = false;
      it.Pass(Seconds(10));
      it.Apply(1, "A-3", 3, Content(4));
      it.Pass(Seconds(5));
      testing::CompareWithGolden(kFile, it.lines);
      // These also hold when the golden file is written anew.
      it.CheckLastReply(ResultCode::kDone, 4);
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, it.fleet.store().heads().size());
      CPPUNIT_ASSERT_EQUAL(0, it.fleet.regressions());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorsGoldenTest);

}  // namespace
}  // namespace ibisladder::controlplane
