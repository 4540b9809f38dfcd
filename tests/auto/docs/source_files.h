#ifndef TESTS_AUTO_DOCS_SOURCE_FILES_H_
#define TESTS_AUTO_DOCS_SOURCE_FILES_H_

#include <string>
#include <vector>

/// Reads files of the source tree for the tests of pages and examples.
namespace ibisladder::testing {

/// Returns the text of a file. Fails the running test when it cannot be opened.
std::string ReadSourceFile(const std::string& path);

/// Returns the cells of all Markdown table rows below a second-level heading,
/// without header and delimiter rows. An empty heading stands for the whole
/// page.
std::vector<std::vector<std::string>> TableRows(const std::string& page,
                                                const std::string& heading);

}  // namespace ibisladder::testing

#endif  // TESTS_AUTO_DOCS_SOURCE_FILES_H_
