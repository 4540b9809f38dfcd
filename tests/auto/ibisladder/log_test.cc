#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/ibisladder/fake_fleet.h"
#include "tests/auto/support/story.h"
#include "tools/ibisladder/failure_cause.h"

// From a complaint to its cause, by the logs alone.
namespace ibisladder::tool {
namespace {

using testing::Section;

/// Two instances: a calls' story at the first, an ejection at the second, too.
constexpr const char* kFirstLog =
    R"({"t":1000,"code":1401,"event":"configuration_installed","version":"7"}
{"t":3000,"code":1201,"event":"server_ejected","server":"i-2","reason":"failures"}
{"t":5000,"code":1203,"event":"server_probation","server":"i-2","reason":"waiting time over, trial starts"}
{"t":5500,"code":1403,"event":"store_lost","reason":"timeout"}
{"t":6000,"code":1001,"event":"call_dispatched","request":"r1","server":"i-1","attempt":"1","reason":"own zone, load 33%","waited_ms":"0","left_ms":"1999"}
{"t":6007,"code":1003,"event":"call_retried","request":"r1","reason":"declined by i-1","attempts":"1"}
{"t":6007,"code":1001,"event":"call_dispatched","request":"r1","server":"i-2","attempt":"2","reason":"trial request","waited_ms":"7","left_ms":"1992"}
{"t":6010,"code":1002,"event":"call_answered","request":"r1","status":"500","result":"1000","attempts":"2","last_failure":"server_error by i-2","took_ms":"10"}
{"t":6100,"code":1004,"event":"call_refused","request":"r2","status":"503","result":"2006","attempts":"1","last_failure":"declined by i-3","took_ms":"9"}
{"t":6200,"code":1004,"event":"call_refused","request":"r3","status":"503","result":"2006","attempts":"1","last_failure":"declined by i-4","took_ms":"5"}
{"t":6300,"code":1003,"event":"call_retried","request":"r4","reason":"connection_lost by i-9","attempts":"1"}
{"t":6400,"code":1002,"event":"call_answered","request":"r4","status":"200","result":"1000","attempts":"2","took_ms":"100"}
{"t":6500,"code":1010,"event":"call_cancelled","request":"r5","age_ms":"800"}
{"t":6600,"code":1002,"event":"call_answered","request":"r5","status":"200","result":"1000","attempts":"1","took_ms":"900"}
{"t":6700,"code":1001,"event":"call_dispatched","request":"r6","server":"i-1","attempt":"1","reason":"least loaded, load 0%","waited_ms":"0","left_ms":"900"}
)";
constexpr const char* kSecondLog =
    R"(  6.0200 edge-b-1 {"t":6020,"code":1201,"event":"server_ejected","server":"i-2","reason":"evidence of other instances"}
  7.0000 edge-b-1 {"t":7000,"code":1607,"event":"log_lines_dropped","dropped":"12"}
)";

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(ExplainsOneRequest);
  CPPUNIT_TEST(ExplainsLostRequests);
  CPPUNIT_TEST(CountsTheUnservedByCause);
  CPPUNIT_TEST(ReadsDamagedLogs);
  CPPUNIT_TEST(TellsWrongUse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ExplainsOneRequest() {
    Section("a request that failed at a server on trial", [&] {
      const auto told = Run({"explain", "r1", "a.log", "b.log"});
      AssertCode(ExitCode::kOk, told);
      Section("shows the age of what the instance believed", [&] {
        AssertHas(told.out, "version 7, installed 5.000 s before");
        AssertHas(told.out, "store lost 0.500 s before");
        AssertHas(told.out, "nothing was known against it");
        AssertHas(told.out,
                  "server_probation 1.007 s before (waiting time over, trial "
                  "starts)");
      });
      Section("and each attempt in order", [&] {
        const auto first = told.out.find("sent to i-1, attempt 1");
        const auto failed = told.out.find("failed: declined by i-1");
        const auto second = told.out.find("sent to i-2, attempt 2");
        CPPUNIT_ASSERT(first < failed);
        CPPUNIT_ASSERT(failed < second);
        CPPUNIT_ASSERT(second < told.out.size());
      });
      Section("and what other instances found out soon after", [&] {
        AssertHas(told.out,
                  "edge-b-1 ejected i-2, 0.013 s after the request was sent");
      });
      Section("and ends with the cause", [&] {
        AssertHas(told.out,
                  "Cause: 500: the backend server's own failure was passed on; "
                  "last attempt: server_error.");
      });
    });
    Section("one without a final record is said to be cut", [&] {
      AssertHas(Run({"explain", "r6", "a.log"}).out, "No final record");
    });
    Section("one that no log names is not found", [&] {
      AssertCode(ExitCode::kNotFound, Run({"explain", "r7", "a.log"}));
    });
  }

  void ExplainsLostRequests() {
    Section("a request whose instance starts again has a cause", [&] {
      files_["a.log"] += R"({"t":9000,"code":1601,"event":"process_started"})";
      AssertHas(Run({"explain", "r6", "a.log"}).out,
                "Cause: the instance ended while it held the request");
      const auto told = Run({"summary", "a.log"});
      AssertHas(told.out, "0 of unknown cause");
      AssertHas(told.out,
                "1         the instance ended while it held the request");
    });
    Section("not that of another instance", [&] {
      files_["a.log"] = kFirstLog;
      files_["b.log"] =
          R"(edge-b-1 {"t":9000,"code":1601,"event":"process_started"})";
      AssertHas(Run({"explain", "r6", "a.log", "b.log"}).out,
                "No final record");
    });
  }

  void CountsTheUnservedByCause() {
    const auto told = Run({"summary", "a.log", "b.log"});
    AssertCode(ExitCode::kOk, told);
    Section("each request counts once", [&] {
      AssertHas(told.out,
                "6 requests, 1 served, of them 1 after another attempt; 1 of "
                "unknown cause");
    });
    Section("by cause, whichever server it was", [&] {
      AssertHas(told.out, "2         503: " +
                              std::string(Describe(ResultCode::kOverloaded)) +
                              "; last attempt: declined");
      AssertHas(told.out, "1         the caller left before its answer");
    });
    Section("what failed and was sent again counts apart",
            [&] { AssertHas(told.out, "1         connection_lost"); });
    Section("lines that instances left out are told",
            [&] { AssertHas(told.err, "left out 12 lines"); });
    Section("scripts get the same as JSON", [&] {
      Options options;
      options.json = true;
      AssertHas(Run({"summary", "a.log"}, options).out, "\"unknown_cause\": 1");
    });
  }

  void ReadsDamagedLogs() {
    const std::string whole = kFirstLog;
    Section("a log that is cut anywhere is read as far as it goes", [&] {
      for (std::size_t n = 0; n < whole.size(); n += 7) {
        files_["a.log"] = whole.substr(0, n);
        AssertCode(ExitCode::kOk, Run({"summary", "a.log"}));
      }
    });
    Section("so is one with changed bytes", [&] {
      for (std::size_t n = 0; n < whole.size(); n += 5) {
        files_["a.log"] = whole;
        files_["a.log"][n] = static_cast<char>(n % 256);
        const auto told = Run({"explain", "r1", "a.log"});
        CPPUNIT_ASSERT(told.code == ExitCode::kOk ||
                       told.code == ExitCode::kNotFound);
      }
    });
    Section("values of other types are kept, lines without a time not", [&] {
      files_["a.log"] =
          "{\"t\":1,\"code\":1002,\"request\":\"r\",\"status\":200}\n"
          "{\"t\":\"x\",\"code\":1002}\n[1]\nE1002 text\n";
      const auto told = Run({"summary", "a.log"});
      AssertHas(told.out, "1 requests, 1 served");
      AssertHas(told.err, "3 lines are no log records");
    });
  }

  void TellsWrongUse() {
    AssertCode(ExitCode::kUsage, Run({"explain", "r1"}));
    AssertCode(ExitCode::kUsage, Run({"summary"}));
    AssertCode(ExitCode::kFileUnreadable, Run({"summary", "no.log"}));
  }

 private:
  Outcome Run(const std::vector<std::string>& words,
              const Options& options = {}) {
    FakeFleet fleet;
    return RunTool(fleet, words, options, files_);
  }

  static void AssertHas(const std::string& text, const std::string& part) {
    CPPUNIT_ASSERT_MESSAGE("missing: " + part + "\nin: " + text,
                           text.find(part) != std::string::npos);
  }

  std::map<std::string, std::string> files_ = {{"a.log", kFirstLog},
                                               {"b.log", kSecondLog}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace
}  // namespace ibisladder::tool
