#include "tests/auto/support/golden.h"

#include <cppunit/TestAssert.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace ibisladder::testing {
namespace {

/// When set, golden files are rewritten instead of compared.
constexpr const char* kUpdateVariable = "IBIS_UPDATE_GOLDEN";

}  // namespace

void CompareWithGolden(const std::string& file,
                       const std::vector<std::string>& lines) {
  std::string text;
  for (const auto& it : lines) text += it + "\n";
  if (std::getenv(kUpdateVariable) != nullptr) {
    std::ofstream(file) << text;
    return;
  }
  std::ostringstream expected;
  expected << std::ifstream(file).rdbuf();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(file, expected.str(), text);
}

}  // namespace ibisladder::testing
