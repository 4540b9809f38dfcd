// Real instances before servers whose answers break off or are not valid HTTP.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "libs/http1/message.h"
#include "platform/wire_names.h"
#include "tests/auto/support/story.h"
#include "tests/process/scripted_fleet.h"

namespace ibisladder::process {
namespace {

using testing::Section;
using End = ScriptedAnswer::End;

constexpr std::size_t kSmallAnswer = 5000;
/// Larger answers are passed on while they arrive.
constexpr std::size_t kMaxKeptAnswer = 256U << 10U;
constexpr std::size_t kLargeAnswer = 400'000;
/// More than the kernel's buffers on both sides hold, so that most of it is
/// unsent while the answer arrives.
constexpr std::size_t kLongUpload = 8'000'000;
/// Below the routes' timeout of four seconds.
constexpr Duration kSoon = Seconds(3);
constexpr int kStatusOk = 200;
constexpr int kStatusBadGateway = 502;

bool IsRejected(const ReceivedAnswer& answer) {
  return answer.is_whole && answer.status == kStatusBadGateway &&
         answer.body.empty() &&
         answer.head.find(platform::kSignature) == std::string::npos;
}

/// Checks that a server answered, and that the caller soon got a 502 of the
/// instance's own instead.
void ExpectRejected(const CallResult& result) {
  CPPUNIT_ASSERT_MESSAGE(Describe(result), result.attempts > 0);
  CPPUNIT_ASSERT_MESSAGE(Describe(result), IsRejected(result.answer));
  CPPUNIT_ASSERT_MESSAGE(Describe(result), result.took < kSoon);
}

/// The same for an answer that breaks off after `size` bytes of its body. If it
/// was passed on while it arrived, the caller must notice.
void ExpectNotWhole(const CallResult& result, std::size_t size) {
  if (size <= kMaxKeptAnswer || IsRejected(result.answer)) {
    ExpectRejected(result);
    return;
  }
  CPPUNIT_ASSERT_MESSAGE(Describe(result), result.attempts > 0);
  CPPUNIT_ASSERT_MESSAGE(Describe(result), !result.answer.is_whole);
  CPPUNIT_ASSERT_MESSAGE(Describe(result), result.took < kSoon);
}

struct CallKind {
  const char* title;
  const char* method;
  const char* prefix;
};

constexpr CallKind kCallKinds[] = {
    {"GET", "GET", "/browse/"},
    {"POST, idempotent", "POST", "/browse/"},
    {"POST, at most once", "POST", "/charge/"},
};

constexpr std::pair<End, const char*> kEnds[] = {
    {End::kReset, "reset"},
    {End::kClose, "closed unread"},
    {End::kShutdown, "shut down"},
};

ScriptedAnswer WithLength(std::size_t size) {
  ScriptedAnswer answer;
  answer.fields = "Content-Length: " + std::to_string(size) + "\r\n";
  answer.body = std::string(size, 'd');
  return answer;
}

ScriptedAnswer InChunks(std::size_t size, const std::string& trailer) {
  constexpr std::size_t kChunk = 4096;
  ScriptedAnswer answer;
  answer.fields = "Transfer-Encoding: chunked\r\n";
  for (std::size_t at = 0; at < size; at += kChunk) {
    answer.body +=
        http1::FormatChunk(std::string(std::min(kChunk, size - at), 'd'));
  }
  answer.body += "0\r\n" + trailer + "\r\n";
  return answer;
}

ScriptedAnswer WithoutLength(std::size_t size, End end) {
  ScriptedAnswer answer;
  answer.body = std::string(size, 'd');
  answer.end = end;
  return answer;
}

class EntryBrokenAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryBrokenAnswersTest);
  CPPUNIT_TEST(WholeAnswersArePassedOn);
  CPPUNIT_TEST(AnswersThatEndWhileTheRequestIsSentAreNotWhole);
  CPPUNIT_TEST(AnswersThatAreResetAfterTheRequestAreNotWhole);
  CPPUNIT_TEST(AnswersWithoutAValidStatusAreNotPassedOn);
  CPPUNIT_TEST(AnswersWithInvalidFieldsAreNotPassedOn);
  CPPUNIT_TEST(AnswersWithInvalidTrailersAreNotWhole);
  CPPUNIT_TEST(AnswersInUnknownCodingsAreNotPassedOn);
  CPPUNIT_TEST(AnswersWithUnusualFieldsArePassedOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against checks that reject valid answers.
  void WholeAnswersArePassedOn() {
    ScriptedFleet fleet;
    for (const CallKind& call : kCallKinds) {
      for (const std::size_t size : {kSmallAnswer, kLargeAnswer}) {
        Section(std::string(call.title) + ", " + std::to_string(size), [&] {
          for (const std::size_t upload : {std::size_t{0}, kLongUpload}) {
            const auto expect_whole = [&](const ScriptedAnswer& answer) {
              const CallResult it =
                  fleet.Call(call.method, call.prefix, upload, answer);
              CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(it), kStatusOk,
                                           it.answer.status);
              CPPUNIT_ASSERT_MESSAGE(Describe(it), it.answer.is_whole);
              CPPUNIT_ASSERT(it.answer.body == std::string(size, 'd'));
              CPPUNIT_ASSERT_EQUAL(1, it.attempts);
            };
            Section("with a length", [&] { expect_whole(WithLength(size)); });
            Section("ended by the connection", [&] {
              expect_whole(WithoutLength(size, End::kClose));
              expect_whole(WithoutLength(size, End::kShutdown));
            });
            Section("with a length, before the request is read", [&] {
              ScriptedAnswer early = WithLength(size);
              early.reads_body = upload == 0;
              expect_whole(early);
            });
          }
        });
      }
    }
  }

  /// Guards against a part of an answer without a length that reaches the
  /// caller as the whole: the server resets or closes the connection while the
  /// request is still being sent.
  void AnswersThatEndWhileTheRequestIsSentAreNotWhole() {
    constexpr int kTries = 5;
    constexpr Duration kDelayStep = Millis(2);
    for (const CallKind& call : kCallKinds) {
      for (const std::size_t size :
           {kSmallAnswer / 2, kLargeAnswer / 2, kLargeAnswer}) {
        ScriptedFleet fleet;
        for (const auto& it : kEnds) {
          Section(std::string(call.title) + ", " + std::to_string(size) +
                      " bytes, " + it.second,
                  [&] {
                    for (int i = 0; i < kTries; ++i) {
                      ScriptedAnswer answer = WithoutLength(size, it.first);
                      answer.reads_body = false;
                      answer.end_delay = i * kDelayStep;
                      ExpectNotWhole(fleet.Call(call.method, call.prefix,
                                                kLongUpload, answer),
                                     size);
                    }
                  });
        }
        CPPUNIT_ASSERT(fleet.IsRunning());
      }
    }
  }

  /// The same where the kernel has taken the whole request, of which the server
  /// reads the head only.
  void AnswersThatAreResetAfterTheRequestAreNotWhole() {
    constexpr int kTries = 5;
    constexpr Duration kDelayStep = Millis(2);
    constexpr std::size_t kShortUpload = 50'000;
    for (const CallKind& call : kCallKinds) {
      ScriptedFleet fleet;
      for (const std::size_t size : {kSmallAnswer / 2, kLargeAnswer}) {
        for (const std::size_t upload : {std::size_t{0}, kShortUpload}) {
          Section(std::string(call.title) + ", " + std::to_string(size) +
                      " bytes, upload of " + std::to_string(upload),
                  [&] {
                    for (int i = 0; i < kTries; ++i) {
                      ScriptedAnswer answer = WithoutLength(size, End::kReset);
                      answer.reads_body = upload == 0;
                      answer.end_delay = i * kDelayStep;
                      ExpectNotWhole(
                          fleet.Call(call.method, call.prefix, upload, answer),
                          size);
                    }
                  });
        }
      }
    }
  }

  /// Guards against answers with a status that HTTP does not know, and against
  /// callers that wait for their deadline since such an answer was dropped.
  void AnswersWithoutAValidStatusAreNotPassedOn() {
    for (const CallKind& call : kCallKinds) {
      ScriptedFleet fleet;
      for (const char* status : {"000", "001", "099", "20", "100", "101", "600",
                                 "999", "1000", "abc"}) {
        for (const std::size_t size : {kSmallAnswer, kLargeAnswer}) {
          Section(
              std::string(call.title) + ", " + std::to_string(size) +
                  " bytes, status " + status,
              [&] {
                ScriptedAnswer answer = WithLength(size);
                answer.status_line =
                    std::string("HTTP/1.1 ") + status + " Unknown\r\n";
                ExpectRejected(fleet.Call(call.method, call.prefix, 0, answer));
              });
        }
      }
      CPPUNIT_ASSERT(fleet.IsRunning());
    }
  }

  /// Guards against lines that are no header field and reach the caller, or
  /// make an answer an empty one.
  void AnswersWithInvalidFieldsAreNotPassedOn() {
    const std::vector<std::pair<const char*, std::string>> lines = {
        {"blank in a name", "X-Server Load: 1"},
        {"tab in a name", "X-Server\tLoad: 1"},
        {"blank before the colon", "X-Note : a"},
        {"blank before the colon of the length", "Content-Length : 5000"},
        {"blank before a name", " X-Note: a"},
        {"folded line", "X-Note: a\r\n b"},
        {"folded line without a value before", "X-Note:\r\n b"},
        {"control byte in a name", "X-No\x01te: a"},
        {"zero byte in a name", std::string("X-No\0te: a", 10)},
        {"DEL in a name", "X-No\x7fte: a"},
        {"byte over 127 in a name", "X-No\xe9te: a"},
        {"separator in a name", "X-No(te: a"},
        {"no name", ": a"},
        {"no colon", "X-Note"},
        {"control byte in a value", "X-Note: a\x01"},
        {"zero byte in a value", std::string("X-Note: a\0b", 11)},
        {"carriage return in a value", "X-Note: a\rb"},
    };
    for (const CallKind& call : kCallKinds) {
      ScriptedFleet fleet;
      for (const std::size_t size : {kSmallAnswer, kLargeAnswer}) {
        for (const auto& line : lines) {
          Section(std::string(call.title) + ", " + std::to_string(size) +
                      " bytes, " + line.first,
                  [&] {
                    for (ScriptedAnswer answer :
                         {WithLength(size), InChunks(size, ""),
                          WithoutLength(size, End::kShutdown)}) {
                      answer.fields = line.second + "\r\n" + answer.fields;
                      ExpectRejected(
                          fleet.Call(call.method, call.prefix, 0, answer));
                    }
                  });
        }
      }
      CPPUNIT_ASSERT(fleet.IsRunning());
    }
  }

  void AnswersWithInvalidTrailersAreNotWhole() {
    for (const CallKind& call : kCallKinds) {
      ScriptedFleet fleet;
      for (const std::size_t size : {kSmallAnswer, kLargeAnswer}) {
        for (const char* trailer :
             {"X-Server Load: 1", "X-Note : a", " X-Note: a", "X-No\x01te: a",
              "X-Note: a\x01", "X-Note"}) {
          Section(
              std::string(call.title) + ", " + std::to_string(size) +
                  " bytes, " + trailer,
              [&] {
                ExpectNotWhole(
                    fleet.Call(call.method, call.prefix, 0,
                               InChunks(size, trailer + std::string("\r\n"))),
                    size);
              });
        }
        Section("valid trailers are dropped", [&] {
          const CallResult it = fleet.Call(call.method, call.prefix, 0,
                                           InChunks(size, "X-Note: a\r\n"));
          CPPUNIT_ASSERT_MESSAGE(Describe(it), it.answer.is_whole);
          CPPUNIT_ASSERT(it.answer.body == std::string(size, 'd'));
        });
      }
      CPPUNIT_ASSERT(fleet.IsRunning());
    }
  }

  /// Guards against encoded bytes that reach the caller as the body.
  void AnswersInUnknownCodingsAreNotPassedOn() {
    for (const CallKind& call : kCallKinds) {
      ScriptedFleet fleet;
      for (const std::size_t size : {kSmallAnswer, kLargeAnswer}) {
        for (const char* codings :
             {"gzip", "gzip, chunked", "chunked, gzip", "identity", "xchunked",
              "chunked, chunked", "gzip\r\nTransfer-Encoding: chunked"}) {
          Section(
              std::string(call.title) + ", " + std::to_string(size) +
                  " bytes, " + codings,
              [&] {
                ScriptedAnswer answer = InChunks(size, "");
                answer.fields =
                    std::string("Transfer-Encoding: ") + codings + "\r\n";
                answer.end = End::kShutdown;
                ExpectRejected(fleet.Call(call.method, call.prefix, 0, answer));
              });
        }
      }
      CPPUNIT_ASSERT(fleet.IsRunning());
    }
  }

  /// Guards against checks that reject what RFC 9112 allows to accept.
  void AnswersWithUnusualFieldsArePassedOn() {
    const std::vector<std::pair<const char*, std::string>> lines = {
        {"X-Note: a\tb", "X-Note:a\tb"},
        {"X-Note: \xe9", "X-Note: \xe9"},
        {"!#$%&'*+-.^_`|~09: a", "!#$%&'*+-.^_`|~09: a"},
    };
    ScriptedFleet fleet;
    for (const std::size_t size : {kSmallAnswer, kLargeAnswer}) {
      for (const auto& line : lines) {
        Section(line.first, [&] {
          ScriptedAnswer answer = WithLength(size);
          answer.fields += line.second + "\r\n";
          const CallResult it = fleet.Call("GET", "/browse/", 0, answer);
          CPPUNIT_ASSERT_MESSAGE(Describe(it), it.answer.is_whole);
          CPPUNIT_ASSERT(it.answer.body == std::string(size, 'd'));
          CPPUNIT_ASSERT_MESSAGE(
              Describe(it),
              it.answer.head.find(line.first + std::string("\r\n")) !=
                  std::string::npos);
        });
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryBrokenAnswersTest);

}  // namespace
}  // namespace ibisladder::process
