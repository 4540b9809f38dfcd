// Runs all CppUnit tests of the program and prints one line for each test,
// "PASS name" or "FAIL name", which scripts/test counts.
#include <cppunit/Exception.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <sstream>
#include <string>

namespace {

class LineListener : public CppUnit::TestListener {
 public:
  void startTest(CppUnit::Test* /*test*/) override { failed_ = false; }

  void addFailure(const CppUnit::TestFailure& failure) override {
    failed_ = true;
    const auto where = failure.sourceLine();
    std::cout << "  " << where.fileName() << ":" << where.lineNumber() << ":\n";
    std::istringstream reason(failure.thrownException()->what());
    std::string line;
    while (std::getline(reason, line)) std::cout << "    " << line << "\n";
  }

  void endTest(CppUnit::Test* test) override {
    std::cout << (failed_ ? "FAIL " : "PASS ") << test->getName() << std::endl;
  }

 private:
  bool failed_ = false;
};

}  // namespace

/// The optional argument is the path of a test; only that test or suite runs.
int main(int argc, char** argv) {
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  LineListener listener;
  result.addListener(&collector);
  result.addListener(&listener);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result, argc > 1 ? argv[1] : "");
  return collector.wasSuccessful() ? 0 : 1;
}
