#include "tests/auto/docs/source_files.h"

#include <cppunit/TestAssert.h>

#include <fstream>
#include <iterator>
#include <sstream>

namespace ibisladder::testing {
namespace {

std::string Trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(' ');
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

std::vector<std::string> CellsOf(const std::string& line) {
  std::vector<std::string> cells;
  std::istringstream stream(line.substr(1));
  for (std::string cell; std::getline(stream, cell, '|');) {
    cells.push_back(Trimmed(cell));
  }
  return cells;
}

}  // namespace

std::string ReadSourceFile(const std::string& path) {
  std::ifstream file(path);
  CPPUNIT_ASSERT_MESSAGE("cannot open " + path, file.is_open());
  return {std::istreambuf_iterator<char>(file), {}};
}

std::vector<std::vector<std::string>> TableRows(const std::string& page,
                                                const std::string& heading) {
  std::vector<std::vector<std::string>> rows;
  bool inside = heading.empty();
  std::size_t lines = 0;  // Lines of the current table so far.
  std::istringstream stream(page);
  for (std::string line; std::getline(stream, line);) {
    if (line.starts_with("## ") && !heading.empty()) {
      inside = line == "## " + heading;
    }
    lines = line.starts_with("|") ? lines + 1 : 0;
    if (inside && lines > 2) rows.push_back(CellsOf(line));
  }
  return rows;
}

}  // namespace ibisladder::testing
