#include "platform/message_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::platform {
namespace {

using http1::FindHeader;
using ibisladder::testing::Section;

class MessageCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageCodecTest);
  CPPUNIT_TEST(RequestsAreConverted);
  CPPUNIT_TEST(AnswersAreDecoded);
  CPPUNIT_TEST(RejectionsHaveRetryAfter);
  CPPUNIT_TEST(LimitsAreDecoded);
  CPPUNIT_TEST(NoticesAreDecoded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsAreConverted() {
    const auto codec = MakeMessageCodec();
    const gateway::CallerRequest request =
        codec.decode_request(CallId(1), {"GET",
                                         "/a",
                                         {{"host", "h"},
                                          {"x-request-id", "id"},
                                          {"x-deadline-ms", "3000"},
                                          {"X-Expect-Instance", "forged"}},
                                         ""});
    CPPUNIT_ASSERT_EQUAL(std::string("id"), request.request_id);
    CPPUNIT_ASSERT(request.timeout == Seconds(3));
    Section("the attempt has the remaining time and the server's name", [&] {
      gateway::SendAttempt attempt;
      attempt.request = std::make_shared<gateway::CallerRequest>(request);
      attempt.server_name = "i-1";
      attempt.time_left = Millis(1500);
      const auto sent = codec.encode_attempt(attempt);
      CPPUNIT_ASSERT_EQUAL(std::string("1500"),
                           *FindHeader(sent.headers, "X-Deadline-Ms"));
      CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                           *FindHeader(sent.headers, "X-Expect-Instance"));
      CPPUNIT_ASSERT_EQUAL(std::string("id"),
                           *FindHeader(sent.headers, "X-Request-Id"));
    });
    Section("a deadline that is not a number is ignored", [&] {
      const auto other = codec.decode_request(
          CallId(2), {"GET", "/a", {{"X-Deadline-Ms", "soon"}}, ""});
      CPPUNIT_ASSERT(!other.timeout);
    });
  }

  /// Guards against a limit that stops all requests to a server, or crashes the
  /// process, because its text is no usable number.
  void LimitsAreDecoded() {
    const auto codec = MakeMessageCodec();
    const auto decode = [&](const net::Headers& headers) {
      return codec.decode_answer({200, headers, ""});
    };
    Section("a decimal number is a limit", [&] {
      for (const auto& [text, rate] :
           {std::pair{"1.8", 1.8}, {"50", 50.0}, {"0.2", 0.2}, {"0", 0.0}}) {
        const auto answer = decode({{"server-limit", text}});
        CPPUNIT_ASSERT(answer.limit.has_value());
        CPPUNIT_ASSERT_EQUAL(rate, answer.limit->value());
        CPPUNIT_ASSERT(answer.unreadable_limit.empty());
      }
    });
    Section("other texts are none, and are kept for the log", [&] {
      for (const char* text :
           {"", " ", "-1", "-0", "nan", "inf", "infinity", "1e3", "0x10",
            "99999999999", "1.8/s", "1,8", "1.8, 2.2", "+2", "1 2"}) {
        const auto answer = decode({{"Server-Limit", text}});
        CPPUNIT_ASSERT_MESSAGE(text, !answer.limit);
        CPPUNIT_ASSERT_MESSAGE(text, !answer.unreadable_limit.empty());
      }
    });
    Section("two fields are none, even if they agree", [&] {
      const auto answer =
          decode({{"Server-Limit", "1.8"}, {"server-limit", "1.8"}});
      CPPUNIT_ASSERT(!answer.limit);
      CPPUNIT_ASSERT_EQUAL(std::string("1.8, 1.8"), answer.unreadable_limit);
    });
    Section("a long text is cut", [&] {
      const auto answer = decode({{"Server-Limit", std::string(20000, '9')}});
      CPPUNIT_ASSERT(!answer.limit);
      CPPUNIT_ASSERT(answer.unreadable_limit.size() <= 64);
    });
    Section("no field, nothing to log", [&] {
      const auto answer = decode({});
      CPPUNIT_ASSERT(!answer.limit && answer.unreadable_limit.empty());
    });
  }

  /// Guards against values that stop all requests to a server for ever, or
  /// crash the process.
  void NoticesAreDecoded() {
    const auto codec = MakeMessageCodec();
    const auto decode = [&](int status, const net::Headers& headers) {
      return codec.decode_answer({status, headers, ""});
    };
    Section("both at once, in any case of letters", [&] {
      const auto answer =
          decode(503, {{"server-leaving", "1"}, {"RETRY-AFTER", "2.5"}});
      CPPUNIT_ASSERT(answer.is_leaving);
      CPPUNIT_ASSERT(answer.pause == Millis(2500));
      CPPUNIT_ASSERT(answer.unreadable_notice.empty());
    });
    Section("other values of the first mean nothing, and are logged", [&] {
      for (const char* text : {"", "0", "true", "2", "1, 1", "01"}) {
        const auto answer = decode(200, {{"Server-Leaving", text}});
        CPPUNIT_ASSERT_MESSAGE(text, !answer.is_leaving);
        CPPUNIT_ASSERT_MESSAGE(text, !answer.unreadable_notice.empty());
      }
    });
    Section("so do times that are no plain seconds", [&] {
      for (const char* text : {"", "-1", "nan", "inf", "1e3", "99999999", "5 s",
                               "Fri, 04 Dec 2026 12:00:00 GMT"}) {
        const auto answer = decode(503, {{"Retry-After", text}});
        CPPUNIT_ASSERT_MESSAGE(text, !answer.pause);
        CPPUNIT_ASSERT_MESSAGE(text, !answer.unreadable_notice.empty());
      }
    });
    Section("a long text is cut", [&] {
      const auto answer =
          decode(503, {{"Retry-After", std::string(9999, 'x')}});
      CPPUNIT_ASSERT(answer.unreadable_notice.size() <= 64);
    });
    Section("of two times the longer one counts", [&] {
      const auto answer =
          decode(503, {{"Retry-After", "3"}, {"Retry-After", "1"}});
      CPPUNIT_ASSERT(answer.pause == Seconds(3));
    });
    Section("with another status it is not for instances", [&] {
      CPPUNIT_ASSERT(!decode(429, {{"Retry-After", "3"}}).pause);
      CPPUNIT_ASSERT(!decode(200, {{"Retry-After", "3"}}).pause);
    });
  }

  void AnswersAreDecoded() {
    const auto codec = MakeMessageCodec();
    Section("a signed answer with its load", [&] {
      const auto answer = codec.decode_answer({200,
                                               {{"X-Response-Signature", "s"},
                                                {"X-Server-Load", "3,1,4"},
                                                {"X-Request-Id", "id"}},
                                               "b"});
      CPPUNIT_ASSERT(answer.is_signed && !answer.not_run && !answer.is_encoded);
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{4}, answer.load->in_flight);
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{4}, answer.load->slots);
    });
    Section("a request that was not run", [&] {
      CPPUNIT_ASSERT(
          codec.decode_answer({503, {{"X-Not-Executed", "1"}}, ""}).not_run);
      CPPUNIT_ASSERT(!codec.decode_answer({503, {}, ""}).not_run);
    });
    Section("an answer of another server at the address", [&] {
      const auto answer = codec.decode_answer({421, {}, ""});
      CPPUNIT_ASSERT(answer.wrong_server && answer.not_run);
    });
    Section("a signed 421, which the server may have given after it ran", [&] {
      const net::Headers signed_fields = {{"X-Response-Signature", "s"}};
      const auto answer = codec.decode_answer({421, signed_fields, ""});
      CPPUNIT_ASSERT(!answer.wrong_server && !answer.not_run);
      net::Headers stated = signed_fields;
      stated.emplace_back("X-Not-Executed", "1");
      const auto rejected = codec.decode_answer({421, stated, ""});
      CPPUNIT_ASSERT(rejected.wrong_server && rejected.not_run);
    });
    Section("an answer matches the request with its ID", [&] {
      CPPUNIT_ASSERT(
          codec.matches_request({200, {{"X-Request-Id", "a"}}, ""}, "a") ==
          gateway::AnswerMatch::kMatches);
      CPPUNIT_ASSERT(
          codec.matches_request({200, {{"X-Request-Id", "b"}}, ""}, "a") ==
          gateway::AnswerMatch::kOther);
      CPPUNIT_ASSERT(codec.matches_request({200, {}, ""}, "a") ==
                     gateway::AnswerMatch::kUnnamed);
    });
  }

  void RejectionsHaveRetryAfter() {
    gateway::CallerAnswer answer;
    answer.status = 503;
    answer.retry_after = Millis(250);
    const auto response = MakeMessageCodec().encode_answer(answer);
    CPPUNIT_ASSERT_EQUAL(std::string("0.250"),
                         *FindHeader(response.headers, "Retry-After"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageCodecTest);

}  // namespace
}  // namespace ibisladder::platform
