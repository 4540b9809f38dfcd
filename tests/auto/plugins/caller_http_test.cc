// Guards against callers' requests that are misread or passed on with fields of
// the API itself, and against answers with the wrong outcome or a Retry-After
// that is too short.
#include "plugins/caller/caller_http.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::caller {
namespace {

using testing::Section;

net::HttpRequest Request(const std::string& method, const std::string& target,
                         net::Headers headers = {}) {
  return {1, method, target, std::move(headers), "body"};
}

class CallerHttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerHttpTest);
  CPPUNIT_TEST(RequestsAreConvertedToEvents);
  CPPUNIT_TEST(AnswersCarryOutcomeAndResult);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsAreConvertedToEvents() {
    const CallId call(7);
    Section("a call, without fields that are not passed on", [&] {
      const auto query =
          ReadQuery(call, Request("POST", "/charge?x=1",
                                  {{"Idempotency-Key", "t1.1.a.1.x"},
                                   {"ibisladder-organisation", "surf"},
                                   {"Ibisladder-Timeout-Ms", "250"},
                                   {"Connection", "keep-alive"},
                                   {"Accept", "text/plain"}}));
      const auto& it = std::get<callerpath::CallArrived>(query).request;
      CPPUNIT_ASSERT_EQUAL(std::string("t1.1.a.1.x"), it.request_id);
      CPPUNIT_ASSERT_EQUAL(std::string("surf"), it.organisation);
      CPPUNIT_ASSERT(it.timeout == Millis(250));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.headers.size());
      CPPUNIT_ASSERT_EQUAL(std::string("Accept"), it.headers[0].first);
    });
    Section("a request for the addresses of a service", [&] {
      const auto query = ReadQuery(
          call, Request("GET", "/ibisladder/v1/addresses?a=b&service=shop"));
      CPPUNIT_ASSERT_EQUAL(
          std::string("shop"),
          std::get<callerpath::AddressesRequested>(query).service);
    });
    Section("requests for the outcome and the settlement of an id", [&] {
      const auto asked =
          ReadQuery(call, Request("GET", "/ibisladder/v1/requests/t1.1.a.1.x"));
      CPPUNIT_ASSERT(!std::get<callerpath::OutcomeRequested>(asked).settle);
      const auto settled = ReadQuery(
          call, Request("POST", "/ibisladder/v1/requests/t1.1.a.1.x/settle"));
      const auto& it = std::get<callerpath::OutcomeRequested>(settled);
      CPPUNIT_ASSERT(it.settle);
      CPPUNIT_ASSERT_EQUAL(std::string("t1.1.a.1.x"), it.request_id);
    });
    Section("unknown paths and methods of the API are refused", [&] {
      for (const auto& request :
           {Request("POST", "/ibisladder/v1/addresses"),
            Request("GET", "/ibisladder/v1/requests/x/settle"),
            Request("GET", "/ibisladder/v2")}) {
        const auto query = ReadQuery(call, request);
        CPPUNIT_ASSERT(std::get<callerpath::CallerAnswer>(query).code ==
                       ResultCode::kNoRoute);
      }
    });
    Section(
        "a timeout that is not a number from 1 to 86400000 is refused", [&] {
          for (const char* it : {"", "0", "-1", "1.5", "5s", "86400001",
                                 "99999999999999999999"}) {
            const auto query = ReadQuery(
                call, Request("GET", "/a", {{"Ibisladder-Timeout-Ms", it}}));
            CPPUNIT_ASSERT(std::get<callerpath::CallerAnswer>(query).code ==
                           ResultCode::kInvalidRequest);
          }
        });
    Section("an invalid timeout with a request id has an unknown outcome", [&] {
      const auto query =
          ReadQuery(call, Request("POST", "/charge",
                                  {{"Ibisladder-Timeout-Ms", "soon"},
                                   {"Idempotency-Key", "t1.1.a.1.x"}}));
      CPPUNIT_ASSERT(
          OutcomeOf(std::get<callerpath::CallerAnswer>(query).code) ==
          Outcome::kUnknown);
    });
  }

  void AnswersCarryOutcomeAndResult() {
    callerpath::CallerAnswer answer;
    answer.code = ResultCode::kOverloaded;
    answer.headers = {{"Ibisladder-Outcome", "done"}, {"X-Kept", "yes"}};
    answer.retry_after = Millis(1200);
    const auto headers = AnswerHeaders(answer);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                         *net::FindHeader(headers, "Ibisladder-Outcome"));
    CPPUNIT_ASSERT_EQUAL(std::string("2006"),
                         *net::FindHeader(headers, "Ibisladder-Result"));
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         *net::FindHeader(headers, "Retry-After"));
    CPPUNIT_ASSERT(net::FindHeader(headers, "X-Kept") != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerHttpTest);

}  // namespace
}  // namespace ibisladder::caller
