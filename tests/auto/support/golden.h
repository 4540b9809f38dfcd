#ifndef TESTS_AUTO_SUPPORT_GOLDEN_H_
#define TESTS_AUTO_SUPPORT_GOLDEN_H_

#include <string>
#include <vector>

/// Comparison with golden files, which hold the complete expected output of a
/// test.
namespace ibisladder::testing {

/// Fails the running CppUnit test unless `lines` are those of `file`, a path
/// relative to the source root. When the environment variable
/// IBIS_UPDATE_GOLDEN is set, rewrites the file instead.
void CompareWithGolden(const std::string& file,
                       const std::vector<std::string>& lines);

}  // namespace ibisladder::testing

#endif  // TESTS_AUTO_SUPPORT_GOLDEN_H_
