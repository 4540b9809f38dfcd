// Guards against answers of another request, damaged answers and false not-run
// declarations that are passed on as valid.
#include "libs/callerpath/integrity.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::callerpath::Internal {
namespace {

using testing::Section;

constexpr const char* kId = "t1.7.ab.3.a";
/// sha-256 of "hello".
constexpr const char* kDigest =
    "sha-256=:LPJNul+wow4m6DsqxbninhsWHlwfp0JecwQzYpOLmCQ=:";

ServerAnswered MakeAnswer(const Headers& more = {}, int status = 200) {
  ServerAnswered answer{AttemptId(1), status, {}, "hello"};
  answer.headers = {{"ibisladder-request-id", kId}};
  answer.headers.insert(answer.headers.end(), more.begin(), more.end());
  return answer;
}

AnswerKind KindOf(const ServerAnswered& answer,
                  const std::string& method = "GET") {
  return CheckAnswer(answer, kId, method).kind;
}

class IntegrityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IntegrityTest);
  CPPUNIT_TEST(AnswersAreChecked);
  CPPUNIT_TEST(LoadFieldIsParsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnswersAreChecked() {
    Section("an answer is valid", [] {
      Section("with the request id alone", [] {
        CPPUNIT_ASSERT(KindOf(MakeAnswer()) == AnswerKind::kValid);
      });
      Section("with matching length and digest", [] {
        CPPUNIT_ASSERT(KindOf(MakeAnswer({{"Content-Length", "5"},
                                          {"Content-Digest", kDigest}})) ==
                       AnswerKind::kValid);
      });
      Section("with a digest of another algorithm before the sha-256 one", [] {
        const std::string field = std::string("md5=:AA==:, ") + kDigest;
        CPPUNIT_ASSERT(KindOf(MakeAnswer({{"Content-Digest", field}})) ==
                       AnswerKind::kValid);
      });
      Section("to HEAD with any Content-Length", [] {
        ServerAnswered answer = MakeAnswer({{"Content-Length", "900"}});
        answer.body.clear();
        CPPUNIT_ASSERT(KindOf(answer, "HEAD") == AnswerKind::kValid);
      });
    });
    Section("an answer is corrupt", [] {
      Section("without the request id", [] {
        ServerAnswered answer = MakeAnswer();
        answer.headers.clear();
        CPPUNIT_ASSERT(KindOf(answer) == AnswerKind::kCorrupt);
      });
      Section("with a wrong or malformed Content-Length", [] {
        for (const auto* it : {"4", "6", "", "5x", "-5"}) {
          CPPUNIT_ASSERT(KindOf(MakeAnswer({{"Content-Length", it}})) ==
                         AnswerKind::kCorrupt);
        }
      });
      Section("with a wrong or malformed digest", [] {
        std::string field = kDigest;
        field[10] = 'A';
        CPPUNIT_ASSERT(KindOf(MakeAnswer({{"Content-Digest", field}})) ==
                       AnswerKind::kCorrupt);
        CPPUNIT_ASSERT(KindOf(MakeAnswer({{"Content-Digest", "sha-256=:"}})) ==
                       AnswerKind::kCorrupt);
      });
    });
    Section("an answer with Ibisladder-Not-Run", [] {
      Section("is accepted with status 503 and both ids", [] {
        CPPUNIT_ASSERT(KindOf(MakeAnswer({{"Ibisladder-Not-Run", kId}}, 503)) ==
                       AnswerKind::kNotRun);
      });
      Section("is corrupt with another status or id", [] {
        CPPUNIT_ASSERT(KindOf(MakeAnswer({{"Ibisladder-Not-Run", kId}}, 200)) ==
                       AnswerKind::kCorrupt);
        CPPUNIT_ASSERT(KindOf(MakeAnswer({{"Ibisladder-Not-Run", "x"}}, 503)) ==
                       AnswerKind::kCorrupt);
      });
      Section("is corrupt when another check fails", [] {
        CPPUNIT_ASSERT(KindOf(MakeAnswer({{"Ibisladder-Not-Run", kId},
                                          {"Content-Length", "9"}},
                                         503)) == AnswerKind::kCorrupt);
      });
    });
  }

  void LoadFieldIsParsed() {
    Section("a load field", [] {
      Section("yields its numbers and its state", [] {
        const auto load = ParseLoad(
            {{"Ibisladder-Load", "in_flight=2, slots=3, state=draining"}});
        CPPUNIT_ASSERT_EQUAL(2, int{load->in_flight});
        CPPUNIT_ASSERT_EQUAL(3, int{load->slots});
        CPPUNIT_ASSERT(load->draining && !load->warming);
      });
      Section("yields defaults for malformed members", [] {
        const auto load =
            ParseLoad({{"Ibisladder-Load", "in_flight=-2,slots=0,state,=,,"}});
        CPPUNIT_ASSERT_EQUAL(0, int{load->in_flight});
        CPPUNIT_ASSERT_EQUAL(4, int{load->slots});
        CPPUNIT_ASSERT(!load->draining);
      });
      Section("yields nothing when absent", [] {
        CPPUNIT_ASSERT(!ParseLoad({{"Server", "x"}}));
      });
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IntegrityTest);

}  // namespace
}  // namespace ibisladder::callerpath::Internal
