#include "libs/http1/message.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::http1 {
namespace {

using ibisladder::testing::Section;

class MessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageTest);
  CPPUNIT_TEST(HopByHopFieldsAreRemoved);
  CPPUNIT_TEST(ResponsesHaveAContentLength);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HopByHopFieldsAreRemoved() {
    Section("forwarded request", [] {
      const std::string bytes =
          FormatRequest({"POST",
                         "/a",
                         {{"Host", "h"},
                          {"Connection", "close, X-Own"},
                          {"X-Own", "1"},
                          {"Expect", "100-continue"},
                          {"Transfer-Encoding", "chunked"},
                          {"X-Kept", "2"}},
                         "abc"},
                        false);
      CPPUNIT_ASSERT_EQUAL(
          std::string("POST /a HTTP/1.1\r\nHost: h\r\nX-Kept: 2\r\n"
                      "Content-Length: 3\r\n\r\nabc"),
          bytes);
    });
  }

  void ResponsesHaveAContentLength() {
    Section("response without a body", [] {
      CPPUNIT_ASSERT_EQUAL(
          std::string("HTTP/1.1 503 Service Unavailable\r\n"
                      "Content-Length: 0\r\nConnection: close\r\n\r\n"),
          FormatResponse({503, {}, "", true}, true, false));
    });
    Section("response to HEAD keeps the given length", [] {
      CPPUNIT_ASSERT_EQUAL(
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"),
          FormatResponse({200, {{"Content-Length", "9"}}, "", true}, false,
                         true));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageTest);

}  // namespace
}  // namespace ibisladder::http1
