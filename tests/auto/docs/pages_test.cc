#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <regex>

#include "libs/base/log_event.h"
#include "libs/declarations/declaration_fields.h"
#include "libs/settings/settings_fields.h"
#include "tests/auto/docs/source_files.h"
#include "tests/auto/support/story.h"

// Guards against pages whose tables differ from the code, and broken links.
namespace ibisladder {
namespace {

using testing::ReadSourceFile;
using testing::Section;
using testing::TableRows;

/// Returns the constants of an enum by number, with their names without the
/// "k".
std::map<int, std::string> ConstantsIn(const std::string& file) {
  const std::string text = ReadSourceFile(file);
  const std::regex pattern(R"(k(\w+) = (\d+),)");
  std::map<int, std::string> constants;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end;
       it != end; ++it) {
    constants[std::stoi((*it)[2])] = (*it)[1];
  }
  CPPUNIT_ASSERT(!constants.empty());
  return constants;
}

/// Asserts that the first cells of the rows are these numbers, each exactly
/// once.
void AssertSameNumbers(const std::map<int, std::string>& constants,
                       const std::vector<std::vector<std::string>>& rows,
                       const std::string& prefix) {
  std::vector<std::string> expected;
  for (const auto& [n, name] : constants) {
    expected.push_back(prefix + std::to_string(n));
  }
  std::vector<std::string> found;
  for (const auto& it : rows) found.push_back(it.at(0));
  std::sort(expected.begin(), expected.end());
  std::sort(found.begin(), found.end());
  for (const auto& it : expected) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(it + " must have exactly one row",
                                 std::ptrdiff_t{1},
                                 std::count(found.begin(), found.end(), it));
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE("there are rows without a constant in the code",
                               expected.size(), found.size());
}

/// Asserts that the rows below the heading describe the fields, apart from the
/// meanings, which must not be empty. `arrays` is the number of further rows.
void AssertFields(const std::string& page, const std::string& heading,
                  const std::vector<json::FieldInfo>& infos,
                  std::size_t arrays) {
  const auto rows = TableRows(ReadSourceFile(page), heading);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(heading, infos.size() + arrays, rows.size());
  for (std::size_t i = 0; i < infos.size(); ++i) {
    const auto& info = infos[i];
    const std::vector<std::string> expected = {
        "`" + info.name + "`", info.type, info.unit.empty() ? "-" : info.unit,
        info.default_value == "required" ? info.default_value
                                         : "`" + info.default_value + "`",
        info.range};
    for (std::size_t n = 0; n < expected.size(); ++n) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(info.name, expected[n], rows[i].at(n));
    }
    CPPUNIT_ASSERT_MESSAGE(info.name, !rows[i].at(expected.size()).empty());
  }
}

/// Asserts that the targets of the page's relative links exist.
void AssertLinks(const std::filesystem::path& page) {
  const std::string text = ReadSourceFile(page.string());
  const std::regex pattern(R"(\]\(([^)#:]+)(#[^)]*)?\))");
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end;
       it != end; ++it) {
    const auto target = page.parent_path() / (*it)[1].str();
    CPPUNIT_ASSERT_MESSAGE(
        page.string() + " links to a missing file: " + target.string(),
        std::filesystem::exists(target));
  }
}

class PagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PagesTest);
  CPPUNIT_TEST(ResultCodesAreListed);
  CPPUNIT_TEST(EventsAreListed);
  CPPUNIT_TEST(ExitCodesAreListed);
  CPPUNIT_TEST(FieldsAreListed);
  CPPUNIT_TEST(LinkTargetsExist);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ResultCodesAreListed() {
    const auto rows = TableRows(ReadSourceFile("docs/RESULT-CODES.md"), "");
    AssertSameNumbers(ConstantsIn("src/libs/base/result_code.h"), rows, "");
    for (const auto& it : rows) {
      const int n = std::stoi(it.at(0));
      const auto code = static_cast<ResultCode>(n);
      constexpr int kFirstCodeWithoutOutcome = 4000;
      const std::string outcome(
          n < kFirstCodeWithoutOutcome ? OutcomeName(OutcomeOf(code)) : "-");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it[0], outcome, it.at(1));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it[0], std::string(Describe(code)),
                                   it.at(2));
      CPPUNIT_ASSERT_MESSAGE(it[0], !it.at(3).empty());
    }
  }

  void EventsAreListed() {
    const auto rows = TableRows(ReadSourceFile("docs/EVENTS.md"), "");
    AssertSameNumbers(ConstantsIn("src/libs/base/log_event.h"), rows, "E");
    for (const auto& it : rows) {
      const auto event = static_cast<LogEvent>(std::stoi(it.at(0).substr(1)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it[0], std::string(EventName(event)),
                                   it.at(1));
      CPPUNIT_ASSERT_MESSAGE(it[0], !it.at(2).empty());
    }
  }

  void ExitCodesAreListed() {
    AssertSameNumbers(
        ConstantsIn("src/tools/ibisladder/exit_code.h"),
        TableRows(ReadSourceFile("docs/OPERATORS.md"), "The tool in scripts"),
        "");
  }

  void FieldsAreListed() {
    using namespace declarations;  // NOLINT(google-build-using-namespace)
    const std::string page = "docs/DECLARATIONS.md";
    AssertFields(page, "Document",
                 json::DescribeFields(kTopFields, Declarations()), 3);
    AssertFields(page, "Service",
                 json::DescribeFields(kServiceFields, Service()), 1);
    AssertFields(page, "Backend server",
                 json::DescribeFields(kServerFields, BackendServer()), 0);
    AssertFields(page, "Route", json::DescribeFields(kRouteFields, Route()), 1);
    AssertFields(page, "Organisation",
                 json::DescribeFields(kOrganisationFields, Organisation()), 0);
    AssertFields("docs/SETTINGS.md", "Settings",
                 json::DescribeFields(settings::kSettingsFields,
                                      settings::DaemonSettings()),
                 1);
  }

  void LinkTargetsExist() {
    AssertLinks("README.md");
    AssertLinks("CONTRIBUTING.md");
    const std::filesystem::recursive_directory_iterator pages("docs");
    for (const auto& it : pages) {
      if (it.path().extension() == ".md") AssertLinks(it.path());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PagesTest);

}  // namespace
}  // namespace ibisladder
