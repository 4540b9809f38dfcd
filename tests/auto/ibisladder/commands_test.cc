#include "tools/ibisladder/commands.h"

#include <cppunit/extensions/HelperMacros.h>

#include "libs/declarations/parse.h"
#include "tests/auto/ibisladder/fake_fleet.h"
#include "tests/auto/support/story.h"

// Scripts rely on the exit codes. These tests guard against a command that
// reports success or a wrong code for wrong usage, an invalid file or an answer
// that is not a valid reply.
namespace ibisladder::tool {
namespace {

using testing::Section;

void AssertHas(const std::string& part, const std::string& text) {
  CPPUNIT_ASSERT_MESSAGE("\"" + part + "\" is not in: " + text,
                         text.find(part) != std::string::npos);
}

class CommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandsTest);
  CPPUNIT_TEST(ExplainsWrongUsage);
  CPPUNIT_TEST(ValidatesFiles);
  CPPUNIT_TEST(ShowOutputCanBeApplied);
  CPPUNIT_TEST(RejectsInvalidReplies);
  CPPUNIT_TEST(DrainsInstances);
  CPPUNIT_TEST(HelpCoversEveryCommand);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ExplainsWrongUsage() {
    FakeFleet fleet = BillingFleet();
    AssertCode(ExitCode::kUsage, RunTool(fleet, {}));
    AssertHas("help", RunTool(fleet, {"frobnicate"}).err);
    AssertCode(ExitCode::kUsage, RunTool(fleet, {"apply"}));
    AssertCode(ExitCode::kUsage, RunTool(fleet, {"show", "extra"}));
    AssertCode(ExitCode::kUsage,
               RunTool(fleet, {"drain", "server", "billing"}));
    CPPUNIT_ASSERT_MESSAGE("nothing was sent", fleet.calls.empty());
  }

  void ValidatesFiles() {
    FakeFleet fleet = BillingFleet();
    const auto good = RunTool(fleet, {"validate", "d.json"}, {},
                              {{"d.json", kBillingDeclarations}});
    AssertCode(ExitCode::kOk, good);
    CPPUNIT_ASSERT_EQUAL(
        std::string("d.json: valid: 1 service, 2 backend servers, 1 route, "
                    "0 organisations\n"),
        good.out);
    AssertCode(ExitCode::kFileUnreadable,
               RunTool(fleet, {"validate", "missing.json"}));
    AssertCode(ExitCode::kInvalid,
               RunTool(fleet, {"validate", "d.json"}, {}, {{"d.json", "{"}}));
  }

  void ShowOutputCanBeApplied() {
    FakeFleet fleet = BillingFleet();
    const auto shown = RunTool(fleet, {"show"});
    AssertCode(ExitCode::kOk, shown);
    AssertHas("version 1", shown.err);
    AssertCode(ExitCode::kOk,
               RunTool(fleet, {"diff", "d.json"}, {}, {{"d.json", shown.out}}));
    Section("--json adds the version", [&] {
      Options options;
      options.json = true;
      const auto document =
          json::Json::parse(RunTool(fleet, {"show"}, options).out);
      CPPUNIT_ASSERT(document["version"] == 1);
      CPPUNIT_ASSERT(document["declarations"]["services"].size() == 1);
    });
    Section("an instance without a configuration is unavailable", [] {
      FakeFleet empty;
      AssertCode(ExitCode::kUnavailable, RunTool(empty, {"show"}));
    });
  }

  void RejectsInvalidReplies() {
    FakeFleet fleet = BillingFleet();
    for (const char* it : {"<html>502</html>", "\x0a\x05", " "}) {
      fleet.fixed_answer = it;
      AssertCode(ExitCode::kInternal, RunTool(fleet, {"status"}));
      AssertCode(ExitCode::kInternal, RunTool(fleet, {"show"}));
    }
    Section("an unknown outcome of a query is reported as unavailable", [&] {
      fleet.fixed_answer = rpc::EncodeErrorReply(
          {ResultCode::kWriteUnknown, "", ""}, rpc::ContentType::kProtobuf);
      AssertCode(ExitCode::kUnavailable, RunTool(fleet, {"status"}));
    });
    fleet.reachable = false;
    AssertCode(ExitCode::kUnavailable, RunTool(fleet, {"status"}));
  }

  void DrainsInstances() {
    FakeFleet fleet = BillingFleet();
    Options options;
    AssertCode(ExitCode::kOk, RunTool(fleet, {"drain", "instance"}));
    Section("more than one endpoint is refused before any call", [&] {
      options.endpoints = {{"10.0.0.7", 7003}, {"10.0.0.8", 7003}};
      AssertCode(ExitCode::kUsage,
                 RunTool(fleet, {"undrain", "instance"}, options));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.calls.size());
    });
  }

  void HelpCoversEveryCommand() {
    FakeFleet fleet;
    const std::string general = RunTool(fleet, {"help"}).out;
    for (const auto& it : Commands()) {
      const std::string name(it.name);
      AssertHas(name, general);
      std::vector<std::string> words = {"help"};
      std::istringstream stream(name);
      for (std::string word; stream >> word;) words.push_back(word);
      AssertHas("ibisladder " + name, RunTool(fleet, words).out);
    }
    AssertCode(ExitCode::kUsage, RunTool(fleet, {"help", "nothing"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandsTest);

}  // namespace
}  // namespace ibisladder::tool
