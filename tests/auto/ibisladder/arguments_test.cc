#include "tools/ibisladder/arguments.h"

#include <absl/flags/flag.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"
#include "tools/ibisladder/options.h"

ABSL_FLAG(std::string, sample_text, "", "for this test");
ABSL_FLAG(bool, sample_switch, false, "for this test");

// Abseil ends the process on an unknown flag, without the tool's own error and
// exit code. These tests check that such flags are found first, and that wrong
// values are refused before any instance is called.
namespace ibisladder::tool {
namespace {

using testing::Section;

std::string Normalised(const std::vector<std::string>& args) {
  const auto arguments = NormaliseArguments(args);
  if (!arguments) return "refused " + arguments.error().place;
  std::string buf;
  for (const auto& it : arguments->flags_and_operands) buf += "[" + it + "]";
  return buf + (arguments->help ? " help" : "");
}

ResultCode CodeOf(const RawFlags& flags) {
  const FileReader reader =
      [](const std::string& path) -> Expected<std::string> {
    if (path == "token") return std::string("0123456789abcdef\n");
    return Fail(ResultCode::kFileUnreadable, path, "");
  };
  const auto options = ReadOptions(flags, reader);
  if (!options) return options.error().code;
  CPPUNIT_ASSERT(options->token.empty() ||
                 options->token == "0123456789abcdef");
  return ResultCode::kDone;
}

class ArgumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ArgumentsTest);
  CPPUNIT_TEST(AcceptsDashesInFlags);
  CPPUNIT_TEST(RejectsInvalidFlags);
  CPPUNIT_TEST(ChecksOptions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptsDashesInFlags() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("[t][--sample_text=a=b][--sample_switch=true][--][apply]"
                    "[-][--odd]"),
        Normalised({"t", "apply", "--sample-text=a=b", "-", "--sample_switch",
                    "--", "--odd"}));
    CPPUNIT_ASSERT_EQUAL(std::string("[t][--sample_text=x][--] help"),
                         Normalised({"t", "-sample-text", "x", "-h"}));
  }

  void RejectsInvalidFlags() {
    CPPUNIT_ASSERT_EQUAL(std::string("refused --sampel-text=x"),
                         Normalised({"t", "--sampel-text=x"}));
    CPPUNIT_ASSERT_EQUAL(std::string("refused --sample-text"),
                         Normalised({"t", "--sample-text"}));
    CPPUNIT_ASSERT_EQUAL(std::string("refused --sample-switch=maybe"),
                         Normalised({"t", "--sample-switch=maybe"}));
    CPPUNIT_ASSERT_EQUAL(std::string("refused ---"), Normalised({"t", "---"}));
  }

  void ChecksOptions() {
    const auto code_with = [](auto member, const auto& value) {
      RawFlags flags;
      flags.*member = value;
      return CodeOf(flags);
    };
    CPPUNIT_ASSERT(CodeOf({}) == ResultCode::kDone);
    Section("a token is read from its file, without the line end", [&] {
      const auto member = &RawFlags::token_file;
      CPPUNIT_ASSERT(code_with(member, "token") == ResultCode::kDone);
      CPPUNIT_ASSERT(code_with(member, "none") == ResultCode::kFileUnreadable);
    });
    Section("wrong values of the other options are refused", [&] {
      constexpr auto kWrong = ResultCode::kInvalidRequest;
      CPPUNIT_ASSERT(code_with(&RawFlags::environment_token,
                               "0123456789abcdef\r\nX: y") == kWrong);
      CPPUNIT_ASSERT(code_with(&RawFlags::endpoint,
                               std::vector<std::string>{"host:1"}) == kWrong);
      CPPUNIT_ASSERT(code_with(&RawFlags::based_on, "-1") == kWrong);
      CPPUNIT_ASSERT(code_with(&RawFlags::service, "a/b") == kWrong);
      CPPUNIT_ASSERT(code_with(&RawFlags::change_id, "A") == kWrong);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArgumentsTest);

}  // namespace
}  // namespace ibisladder::tool
