#ifndef TESTS_AUTO_SUPPORT_STORY_H_
#define TESTS_AUTO_SUPPORT_STORY_H_

#include <rapidcheck.h>

#include <functional>
#include <string>

/// Nested sections and RapidCheck properties with fixed seeds for CppUnit
/// tests.
namespace ibisladder::testing {

/// Runs `body` as a section with a title. Sections can be nested. When an
/// assertion fails, the titles of all open sections are printed before it.
void Section(const std::string& title, const std::function<void()>& body);

/// Checks a RapidCheck property with a fixed `seed` and `cases` cases. When it
/// is falsified, fails the running CppUnit test with the counterexample.
template <typename Testable>
void CheckProperty(const std::string& title, unsigned seed, int cases,
                   Testable testable);

namespace Internal {
void ReportProperty(const std::string& title,
                    const rc::detail::TestResult& result);
}  // namespace Internal

template <typename Testable>
void CheckProperty(const std::string& title, unsigned seed, int cases,
                   Testable testable) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  rc::detail::TestMetadata metadata;
  metadata.id = title;
  metadata.description = title;
  Internal::ReportProperty(
      title, rc::detail::checkTestable(std::move(testable), metadata, params));
}

}  // namespace ibisladder::testing

#endif  // TESTS_AUTO_SUPPORT_STORY_H_
