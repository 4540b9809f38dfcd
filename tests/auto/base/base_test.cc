#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "libs/base/log_event.h"
#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "tests/auto/support/story.h"

namespace ibisladder {
namespace {

using testing::Section;

class BaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BaseTest);
  CPPUNIT_TEST(ResultCodesMapToOutcomes);
  CPPUNIT_TEST(LineBreaksInLogFieldsAreReplaced);
  CPPUNIT_TEST(EndpointsAreFormatted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ResultCodesMapToOutcomes() {
    Section("the outcome of a result code", [] {
      Section("from 1000 is done", [] {
        CPPUNIT_ASSERT(OutcomeOf(ResultCode::kDone) == Outcome::kDone);
      });
      Section("from 2000 is not run", [] {
        CPPUNIT_ASSERT(OutcomeOf(ResultCode::kNoRoute) == Outcome::kNotRun);
      });
      Section("from 3000 is unknown", [] {
        CPPUNIT_ASSERT(OutcomeOf(ResultCode::kEraExpired) == Outcome::kUnknown);
      });
      Section("a result code converts to a std::error_code", [] {
        const std::error_code ec = ResultCode::kConflict;
        CPPUNIT_ASSERT_EQUAL(5001, ec.value());
      });
    });
  }

  void LineBreaksInLogFieldsAreReplaced() {
    const LogLine line{LogEvent::kCallDispatched,
                       {{"request", "r1"}, {"reason", "two\nlines"}}};
    CPPUNIT_ASSERT_EQUAL(
        std::string("E1001 call_dispatched request=r1 reason=\"two lines\""),
        FormatLogLine(line));
  }

  void EndpointsAreFormatted() {
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:80"),
                         FormatEndpoint({"127.0.0.1", 80}));
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]:80"), FormatEndpoint({"::1", 80}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

}  // namespace
}  // namespace ibisladder
