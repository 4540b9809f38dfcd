#include "libs/http1/message_parser.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::http1 {
namespace {

using ibisladder::testing::CheckProperty;
using ibisladder::testing::Section;

constexpr unsigned kSplitSeed = 71;
constexpr unsigned kCorruptionSeed = 72;
constexpr int kCases = 400;

struct Parsed {
  std::vector<Request> requests;
  std::optional<ParseFailure> failure;
};

Parsed ParseRequests(const std::string& bytes, const Limits& limits = {}) {
  Parsed result;
  auto parser = RequestParser::Create(limits);
  result.failure = parser.Feed(bytes, result.requests);
  return result;
}

struct Answers {
  std::vector<Response> responses;
  std::optional<ParseFailure> failure;
};

Answers ParseResponses(const std::string& bytes) {
  Answers result;
  auto parser = ResponseParser::Create({});
  result.failure = parser.Feed(bytes, result.responses);
  return result;
}

bool IsRejected(const std::string& bytes) {
  return ParseRequests(bytes).failure == ParseFailure::kMalformed;
}

class MessageParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageParserTest);
  CPPUNIT_TEST(RequestsAreParsedInOrder);
  CPPUNIT_TEST(AmbiguousFramingIsRejected);
  CPPUNIT_TEST(RejectedHeadsAreNoMessages);
  CPPUNIT_TEST(FoldedLinesOfResponsesAreRejected);
  CPPUNIT_TEST(UnknownTransferCodingsAreRejected);
  CPPUNIT_TEST(SizeLimitsAreEnforced);
  CPPUNIT_TEST(BodiesThatNobodyNeedsAreNotStored);
  CPPUNIT_TEST(ParsingPausesBetweenRequests);
  CPPUNIT_TEST(EndsOfResponsesAreDetected);
  CPPUNIT_TEST(ResponsesHaveAValidStatus);
  CPPUNIT_TEST(BodiesCanBeTakenInParts);
  CPPUNIT_TEST(SplitInputGivesSameRequests);
  CPPUNIT_TEST(CorruptedInputGivesNoInvalidRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsAreParsedInOrder() {
    Section("two pipelined requests", [] {
      const Parsed parsed = ParseRequests(
          "GET /a/1?x=2 HTTP/1.1\r\nHost: h\r\n\r\n"
          "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
      CPPUNIT_ASSERT(!parsed.failure);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parsed.requests.size());
      CPPUNIT_ASSERT_EQUAL(std::string("/a/1?x=2"), parsed.requests[0].target);
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), parsed.requests[1].body);
    });
    Section("chunked body", [] {
      const Parsed parsed = ParseRequests(
          "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
          "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), parsed.requests.at(0).body);
    });
    Section("requests after one that closes the connection are ignored", [] {
      const Parsed parsed = ParseRequests(
          "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
          "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed.requests.size());
      CPPUNIT_ASSERT(!parsed.requests[0].keep_alive);
    });
  }

  void AmbiguousFramingIsRejected() {
    Section("two different Content-Length fields", [] {
      CPPUNIT_ASSERT(
          IsRejected("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                     "Content-Length: 4\r\n\r\nabcd"));
    });
    Section("blank before the colon of a field", [] {
      CPPUNIT_ASSERT(IsRejected("GET /a HTTP/1.1\r\nHost : h\r\n\r\n"));
    });
    Section("Content-Length and Transfer-Encoding: chunked", [] {
      CPPUNIT_ASSERT(
          IsRejected("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    });
    Section("Content-Length that is not a number", [] {
      CPPUNIT_ASSERT(IsRejected(
          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc"));
    });
  }

  /// Guards against messages that count as complete and empty since something
  /// in their head is rejected.
  void RejectedHeadsAreNoMessages() {
    const std::vector<std::string> lines = {"X Y: a", "X-Y : a", "X\tY: a",
                                            "Content-Length : 2"};
    for (const std::string& line : lines) {
      Section(line, [&] {
        const std::string rest =
            "\r\n" + line + "\r\nContent-Length: 2\r\n\r\nab";
        const Answers answers = ParseResponses("HTTP/1.1 200 OK" + rest);
        CPPUNIT_ASSERT(answers.failure == ParseFailure::kMalformed);
        CPPUNIT_ASSERT(answers.responses.empty());
        const Parsed parsed = ParseRequests("POST / HTTP/1.1" + rest);
        CPPUNIT_ASSERT(parsed.failure == ParseFailure::kMalformed);
        CPPUNIT_ASSERT(parsed.requests.empty());
      });
    }
    Section("the same in trailers", [&] {
      for (const std::string& line : lines) {
        const std::string rest =
            "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n" + line +
            "\r\n\r\n";
        CPPUNIT_ASSERT(
            ParseResponses("HTTP/1.1 200 OK\r\n" + rest).responses.empty());
        CPPUNIT_ASSERT(
            ParseRequests("POST / HTTP/1.1\r\n" + rest).requests.empty());
      }
    });
    Section("a declared length over the limit", [] {
      const Parsed parsed = ParseRequests(
          "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde", {64, 4});
      CPPUNIT_ASSERT(parsed.failure == ParseFailure::kBodyTooLarge);
      CPPUNIT_ASSERT(parsed.requests.empty());
    });
    Section("behind a valid message, which counts", [&] {
      const Answers answers = ParseResponses(
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
          "HTTP/1.1 200 OK\r\nX Y: a\r\n\r\n");
      CPPUNIT_ASSERT(answers.failure == ParseFailure::kMalformed);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.responses.size());
      CPPUNIT_ASSERT_EQUAL(std::string("ab"), answers.responses[0].body);
    });
  }

  /// Guards against values that the server has not sent: a line that starts
  /// with a blank instead of its first byte is joined to the value before.
  void FoldedLinesOfResponsesAreRejected() {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    const std::vector<std::string> lines = {"X: a\r\n b", "X: a\r\n\tb",
                                            "X:\r\n b",   "X: a\n b",
                                            "X: a\r\n ",  " X: a"};
    for (const std::string& before : {std::string(), interim, whole}) {
      for (const std::string& line : lines) {
        Section(line, [&] {
          const std::string bytes = before + "HTTP/1.1 200 OK\r\n" + line +
                                    "\r\nContent-Length: 2\r\n\r\nab";
          const std::size_t valid = before == whole ? 1 : 0;
          for (std::size_t step :
               {std::size_t{1}, std::size_t{2}, std::size_t{7}, bytes.size()}) {
            auto parser = ResponseParser::Create({});
            std::vector<Response> responses;
            std::optional<ParseFailure> failure;
            for (std::size_t at = 0; at < bytes.size(); at += step) {
              failure = parser.Feed(bytes.substr(at, step), responses);
            }
            CPPUNIT_ASSERT(failure == ParseFailure::kMalformed);
            CPPUNIT_ASSERT_EQUAL(valid, responses.size());
          }
        });
      }
    }
    Section("blanks at the start of a body", [] {
      const Answers answers = ParseResponses(
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n a"
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\n\n b\r\n0\r\n\r\n");
      CPPUNIT_ASSERT(!answers.failure);
      CPPUNIT_ASSERT_EQUAL(std::string(" a"), answers.responses.at(0).body);
      CPPUNIT_ASSERT_EQUAL(std::string("\n b"), answers.responses.at(1).body);
    });
  }

  /// Guards against bodies that are passed on in a coding that the fields no
  /// longer name.
  void UnknownTransferCodingsAreRejected() {
    const std::string chunks = "\r\n2\r\nab\r\n0\r\n\r\n";
    for (const char* codings :
         {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: chunked, gzip\r\n",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: \r\n",
          "transfer-encoding: GZIP\r\nContent-Length: 2\r\n",
          "Transfer-Encoding: identity\r\nContent-Length: 2\r\n"}) {
      Section(codings, [&] {
        const Answers answers =
            ParseResponses("HTTP/1.1 200 OK\r\n" + (codings + chunks));
        CPPUNIT_ASSERT(answers.failure == ParseFailure::kMalformed);
        CPPUNIT_ASSERT(answers.responses.empty());
        const Parsed parsed =
            ParseRequests("POST / HTTP/1.1\r\n" + (codings + chunks));
        CPPUNIT_ASSERT(parsed.failure == ParseFailure::kMalformed);
        CPPUNIT_ASSERT(parsed.requests.empty());
      });
    }
    Section("chunked in any case, with a blank behind it", [&] {
      const Answers answers = ParseResponses(
          "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked \r\n" + chunks);
      CPPUNIT_ASSERT_EQUAL(std::string("ab"), answers.responses.at(0).body);
    });
  }

  void SizeLimitsAreEnforced() {
    const Limits limits{64, 4};
    Section("head larger than the limit", [&] {
      const std::string bytes =
          "GET /" + std::string(100, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n";
      CPPUNIT_ASSERT(ParseRequests(bytes, limits).failure ==
                     ParseFailure::kHeadersTooLarge);
    });
    Section("more fields than the limit", [&] {
      const Limits two_fields{64, 4, 2};
      const std::string head = "GET / HTTP/1.1\r\nA: 1\r\nB: 2\r\n";
      CPPUNIT_ASSERT(!ParseRequests(head + "\r\n", two_fields).failure);
      CPPUNIT_ASSERT(ParseRequests(head + "C: 3\r\n\r\n", two_fields).failure ==
                     ParseFailure::kHeadersTooLarge);
    });
    Section("a declared length over the limit, before the body", [&] {
      const Parsed parsed =
          ParseRequests("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", limits);
      CPPUNIT_ASSERT(parsed.failure == ParseFailure::kBodyTooLarge);
    });
    Section("body larger than the limit", [&] {
      CPPUNIT_ASSERT(
          ParseRequests("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde",
                        limits)
              .failure == ParseFailure::kBodyTooLarge);
    });
  }

  /// Guards against memory for bodies of requests that will be refused, and
  /// against taking such a body for the next request.
  void BodiesThatNobodyNeedsAreNotStored() {
    const auto parse = [](const std::string& bytes, std::size_t& held) {
      auto parser = RequestParser::Create({}, [](const Request& head) {
        return FindHeader(head.headers, "Drop") == nullptr;
      });
      Parsed result;
      for (const char it : bytes) {
        result.failure = parser.Feed({&it, 1}, result.requests);
        if (parser.is_dropping()) held = std::max(held, parser.held_bytes());
      }
      return result;
    };
    const std::string next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    std::size_t held = 0;
    for (const std::string& body :
         {"Content-Length: 31\r\n\r\n" + next,
          std::string(
              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")}) {
      Section("dropped, and the connection goes on", [&] {
        const Parsed parsed =
            parse("POST /a HTTP/1.1\r\nDrop: 1\r\n" + body + next, held);
        CPPUNIT_ASSERT(!parsed.failure);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parsed.requests.size());
        CPPUNIT_ASSERT(parsed.requests[0].is_body_dropped);
        CPPUNIT_ASSERT(parsed.requests[0].body.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("/next"), parsed.requests[1].target);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held);
      });
      Section("stored otherwise", [&] {
        const Parsed parsed = parse("POST /a HTTP/1.1\r\n" + body, held);
        CPPUNIT_ASSERT(!parsed.requests.at(0).is_body_dropped);
        CPPUNIT_ASSERT(!parsed.requests.at(0).body.empty());
      });
    }
    Section("a caller that awaits 100 Continue is not read further", [&] {
      const Parsed parsed = parse(
          "POST /a HTTP/1.1\r\nDrop: 1\r\nExpect: 100-continue\r\n"
          "Content-Length: 3\r\n\r\nabc" +
              next,
          held);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed.requests.size());
      CPPUNIT_ASSERT(!parsed.requests[0].keep_alive);
    });
  }

  /// Guards against hundreds of pipelined requests in memory that arrive in one
  /// read.
  void ParsingPausesBetweenRequests() {
    const std::string one = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string bytes = one + one + one;
    auto parser = RequestParser::Create({});
    std::vector<Request> requests;
    const FeedResult first = parser.FeedUpTo(2, bytes, requests);
    CPPUNIT_ASSERT(!first.failure);
    CPPUNIT_ASSERT_EQUAL(2 * one.size(), first.consumed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
    CPPUNIT_ASSERT(!parser.in_message());
    CPPUNIT_ASSERT(!parser.Feed(bytes.substr(first.consumed), requests));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, requests.size());
  }

  void EndsOfResponsesAreDetected() {
    Section("response without a length ends with its connection", [] {
      auto parser = ResponseParser::Create({});
      std::vector<Response> responses;
      CPPUNIT_ASSERT(!parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc", responses));
      CPPUNIT_ASSERT(responses.empty());
      CPPUNIT_ASSERT(parser.in_message());
      CPPUNIT_ASSERT(!parser.FeedEnd(responses));
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), responses.at(0).body);
    });
    Section("response with a length is incomplete if the connection ends", [] {
      auto parser = ResponseParser::Create({});
      std::vector<Response> responses;
      parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", responses);
      parser.FeedEnd(responses);
      CPPUNIT_ASSERT(responses.empty());
    });
    Section("two responses in one read", [] {
      auto parser = ResponseParser::Create({});
      std::vector<Response> responses;
      parser.Feed(
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb",
          responses);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, responses.size());
    });
    Section("response to HEAD has no body", [] {
      auto parser = ResponseParser::Create({});
      parser.ExpectHead(true);
      std::vector<Response> responses;
      parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", responses);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, responses.size());
    });
  }

  void ResponsesHaveAValidStatus() {
    Section("other statuses are rejected with the status line", [] {
      for (const char* status : {"000", "001", "099", "20", "2", "101", "600",
                                 "999", "1000", "-200", "abc", ""}) {
        for (const char* reason : {" Unknown", ""}) {
          const Answers parsed = ParseResponses(
              "HTTP/1.1 " + std::string(status) + reason + "\r\n");
          CPPUNIT_ASSERT_MESSAGE(status, parsed.responses.empty());
          CPPUNIT_ASSERT_MESSAGE(status,
                                 parsed.failure == ParseFailure::kMalformed);
        }
      }
    });
    const std::string final =
        "HTTP/1.1 599 Other\r\nContent-Length: 1\r\n\r\na";
    Section("interim responses are dropped", [&] {
      for (const char* status : {"100", "102", "103", "199"}) {
        const Answers parsed = ParseResponses(
            "HTTP/1.1 " + std::string(status) + "\r\n\r\n" + final);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed.responses.size());
        CPPUNIT_ASSERT_EQUAL(599, parsed.responses.front().status);
      }
    });
    Section("and have no body, also if they state a length", [&] {
      const std::string interim =
          "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\n";
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           ParseResponses(interim + final).responses.size());
      const Answers parsed = ParseResponses(interim + "abc" + final);
      CPPUNIT_ASSERT(parsed.responses.empty());
      CPPUNIT_ASSERT(parsed.failure == ParseFailure::kMalformed);
    });
  }

  /// Guards against parts that are lost or doubled where a body is passed on
  /// while it arrives, and against limits that count parts already passed on.
  void BodiesCanBeTakenInParts() {
    const auto collect = [](const std::string& bytes, std::size_t step,
                            std::uint64_t taken) {
      Limits limits;
      limits.body_bytes = 64;
      auto parser = ResponseParser::Create(limits);
      std::vector<Response> responses;
      const std::string_view input = bytes;
      std::string body;
      for (std::size_t at = 0; at < input.size(); at += step) {
        if (parser.Feed(input.substr(at, step), responses)) {
          return std::string("rejected");
        }
        const bool is_taken =
            (taken >> (at / step % 64)) % 2 == 1 || parser.body_bytes() > 32;
        if (is_taken && parser.body_bytes() > 0) {
          CPPUNIT_ASSERT_EQUAL(200, parser.PartialHead().status);
          body += parser.TakeBody();
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, responses.size());
      return body + responses.front().body;
    };
    Response head;
    head.status = 200;
    CheckProperty("of any size and split, with a length or in chunks",
                  kSplitSeed, kCases,
                  [&](std::string text, std::uint8_t step, std::uint64_t taken,
                      std::uint8_t chunk) {
                    while (text.size() < 500) text += "padding" + text;
                    const std::size_t steps = step % 31 + 1;
                    Response whole = head;
                    whole.body = text;
                    RC_ASSERT(collect(FormatResponse(whole, false, false),
                                      steps, taken) == text);
                    std::string chunks = FormatHead(head, false);
                    const std::size_t size = chunk % 97 + 1;
                    for (std::size_t at = 0; at < text.size(); at += size) {
                      chunks += FormatChunk(text.substr(at, size));
                    }
                    chunks += kLastChunk;
                    RC_ASSERT(collect(chunks, steps, taken) == text);
                  });
    Section("a body beyond the limit that nobody takes is rejected", [&] {
      Limits limits;
      limits.body_bytes = 64;
      auto parser = ResponseParser::Create(limits);
      std::vector<Response> responses;
      Response whole = head;
      whole.body = std::string(65, 'x');
      CPPUNIT_ASSERT(parser.Feed(FormatResponse(whole, false, false),
                                 responses) == ParseFailure::kBodyTooLarge);
    });
  }

  void SplitInputGivesSameRequests() {
    const std::string bytes =
        "GET /a HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n"
        "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\n\r\n";
    CheckProperty("any split of the bytes gives the same requests", kSplitSeed,
                  kCases, [&](std::uint16_t first, std::uint16_t second) {
                    const std::size_t a = first % bytes.size();
                    const std::size_t b = a + second % (bytes.size() - a);
                    auto parser = RequestParser::Create({});
                    std::vector<Request> requests;
                    parser.Feed(bytes.substr(0, a), requests);
                    parser.Feed(bytes.substr(a, b - a), requests);
                    parser.Feed(bytes.substr(b), requests);
                    RC_ASSERT(requests.size() == 3U);
                    RC_ASSERT(requests[1].body == "abc");
                    RC_ASSERT(requests[0].headers.size() == 2U);
                  });
  }

  void CorruptedInputGivesNoInvalidRequest() {
    const std::string valid =
        "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    CheckProperty("corrupted bytes give valid requests or are rejected",
                  kCorruptionSeed, kCases,
                  [&](std::uint16_t place, char byte, std::string noise) {
                    std::string bytes = valid;
                    bytes[place % bytes.size()] = byte;
                    const Parsed parsed = ParseRequests(bytes + noise);
                    for (const Request& it : parsed.requests) {
                      RC_ASSERT(it.target.find('\r') == std::string::npos);
                      RC_ASSERT(it.target.find(' ') == std::string::npos);
                      for (const auto& [name, value] : it.headers) {
                        RC_ASSERT(value.find('\n') == std::string::npos);
                        RC_ASSERT(!name.empty());
                      }
                    }
                  });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageParserTest);

}  // namespace
}  // namespace ibisladder::http1
