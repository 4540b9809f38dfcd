#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/ibisladder/fake_fleet.h"
#include "tests/auto/support/story.h"
#include "tools/ibisladder/failure_cause.h"

// Tests `explain` and `summary`, which find out from logs alone what happened
// to a request and why requests were not served. A wrong cause, or a log that
// stops the tool when it is cut or damaged, would mislead operators during an
// incident.
namespace ibisladder::tool {
namespace {

using testing::Section;

/// Logs of two instances: the requests are at the first one, and both eject
/// server i-2.
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
/// A request that only servers with limits could take.
constexpr const char* kLimitsLog =
    R"({"t":6800,"code":1108,"event":"permit_denied","request":"r8","server":"i-1","reason":"limit","wait_ms":"555"}
{"t":6801,"code":1004,"event":"call_refused","request":"r8","status":"503","result":"2019","attempts":"0","last_failure":"","took_ms":"1"}
)";
constexpr const char* kSecondLog =
    R"(  6.0200 edge-b-1 {"t":6020,"code":1201,"event":"server_ejected","server":"i-2","reason":"evidence of other instances"}
  7.0000 edge-b-1 {"t":7000,"code":1607,"event":"log_lines_dropped","dropped":"12"}
)";

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(ExplainsOneRequest);
  CPPUNIT_TEST(ExplainsLostRequests);
  CPPUNIT_TEST(CountsUnservedRequestsByCause);
  CPPUNIT_TEST(ReadsDamagedLogs);
  CPPUNIT_TEST(ReportsWrongUsage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ExplainsOneRequest() {
    Section("a request that failed at a server on trial", [&] {
      const auto result = Run({"explain", "r1", "a.log", "b.log"});
      AssertCode(ExitCode::kOk, result);
      Section("shows what the instance knew and how old it was", [&] {
        AssertHas(result.out, "version 7, installed 5.000 s earlier");
        AssertHas(result.out, "store lost 0.500 s earlier");
        AssertHas(result.out, "no earlier state change of it is logged");
        AssertHas(result.out,
                  "server_probation 1.007 s earlier (waiting time over, trial "
                  "starts)");
      });
      Section("shows each attempt in order", [&] {
        const auto first = result.out.find("sent to i-1, attempt 1");
        const auto failed = result.out.find("failed: declined by i-1");
        const auto second = result.out.find("sent to i-2, attempt 2");
        CPPUNIT_ASSERT(first < failed);
        CPPUNIT_ASSERT(failed < second);
        CPPUNIT_ASSERT(second < result.out.size());
      });
      Section("shows an ejection by another instance soon after", [&] {
        AssertHas(result.out,
                  "edge-b-1 ejected i-2, 0.013 s after the request was sent");
      });
      Section("ends with the cause", [&] {
        AssertHas(result.out,
                  "Cause: 500: the backend server's own failure was passed on; "
                  "last attempt: server_error.");
      });
    });
    Section("a request without a final record is reported as cut", [&] {
      AssertHas(Run({"explain", "r6", "a.log"}).out, "No final record");
    });
    Section("a request id that is in no record is not found", [&] {
      AssertCode(ExitCode::kNotFound, Run({"explain", "r7", "a.log"}));
    });
    Section("a request that servers with limits leave no room for", [&] {
      const auto result = Run({"explain", "r8", "limits.log"});
      AssertHas(result.out,
                "not sent to i-1, which limits the requests of all instances "
                "(limit); next permit in 555 ms at the earliest");
      AssertHas(result.out, "the backend servers named limits");
    });
  }

  void ExplainsLostRequests() {
    Section("a request whose instance restarted has a cause", [&] {
      files_["a.log"] += R"({"t":9000,"code":1601,"event":"process_started"})";
      AssertHas(Run({"explain", "r6", "a.log"}).out,
                "Cause: the instance ended while it held the request");
      const auto result = Run({"summary", "a.log"});
      AssertHas(result.out, "0 unserved with unknown cause");
      AssertHas(result.out,
                "1         the instance ended while it held the request");
    });
    Section("a restart of another instance is not its cause", [&] {
      files_["a.log"] = kFirstLog;
      files_["b.log"] =
          R"(edge-b-1 {"t":9000,"code":1601,"event":"process_started"})";
      AssertHas(Run({"explain", "r6", "a.log", "b.log"}).out,
                "No final record");
    });
  }

  void CountsUnservedRequestsByCause() {
    const auto result = Run({"summary", "a.log", "b.log"});
    AssertCode(ExitCode::kOk, result);
    Section("each request counts once", [&] {
      AssertHas(result.out,
                "6 requests, 1 served, 1 of them after a retry; 1 unserved "
                "with unknown cause");
    });
    Section("requests with the same cause at different servers count together",
            [&] {
              AssertHas(result.out,
                        "2         503: " +
                            std::string(Describe(ResultCode::kOverloaded)) +
                            "; last attempt: declined");
              AssertHas(result.out,
                        "1         the caller left before its answer");
            });
    Section("attempts that failed and were retried count separately",
            [&] { AssertHas(result.out, "1         connection_lost"); });
    Section("lines that instances dropped are reported",
            [&] { AssertHas(result.err, "dropped 12 log lines"); });
    Section("bytes between zones are added up by kind", [&] {
      files_["c.log"] =
          R"({"t":1,"code":1111,"event":"zone_traffic","answers":"70","limits":"0"})"
          "\n"
          R"({"t":2,"code":1111,"event":"zone_traffic","answers":"5","evidence":"9"})";
      const std::string out = Run({"summary", "c.log"}).out;
      AssertHas(out, "BYTES");
      AssertHas(out, "75     answers");
      AssertHas(out, "9      evidence");
      CPPUNIT_ASSERT(out.find("limits") == std::string::npos);
    });
    Section("--json prints the same counts as JSON", [&] {
      Options options;
      options.json = true;
      AssertHas(Run({"summary", "a.log"}, options).out, "\"unknown_cause\": 1");
    });
  }

  void ReadsDamagedLogs() {
    const std::string whole = kFirstLog;
    Section("a log that is cut at any place is read up to there", [&] {
      for (std::size_t n = 0; n < whole.size(); n += 7) {
        files_["a.log"] = whole.substr(0, n);
        AssertCode(ExitCode::kOk, Run({"summary", "a.log"}));
      }
    });
    Section("a log with a changed byte is read", [&] {
      for (std::size_t n = 0; n < whole.size(); n += 5) {
        files_["a.log"] = whole;
        files_["a.log"][n] = static_cast<char>(n % 256);
        const auto result = Run({"explain", "r1", "a.log"});
        CPPUNIT_ASSERT(result.code == ExitCode::kOk ||
                       result.code == ExitCode::kNotFound);
      }
    });
    Section("values of any type are kept, lines without a time are skipped",
            [&] {
              files_["a.log"] =
                  "{\"t\":1,\"code\":1002,\"request\":\"r\",\"status\":200}\n"
                  "{\"t\":\"x\",\"code\":1002}\n[1]\nE1002 text\n";
              const auto result = Run({"summary", "a.log"});
              AssertHas(result.out, "1 requests, 1 served");
              AssertHas(result.err, "3 lines are not log records");
            });
  }

  void ReportsWrongUsage() {
    AssertCode(ExitCode::kUsage, Run({"explain", "r1"}));
    AssertCode(ExitCode::kUsage, Run({"summary"}));
    AssertCode(ExitCode::kFileUnreadable, Run({"summary", "no.log"}));
  }

 private:
  ToolResult Run(const std::vector<std::string>& words,
                 const Options& options = {}) {
    FakeFleet fleet;
    return RunTool(fleet, words, options, files_);
  }

  static void AssertHas(const std::string& text, const std::string& part) {
    CPPUNIT_ASSERT_MESSAGE("missing: " + part + "\nin: " + text,
                           text.find(part) != std::string::npos);
  }

  std::map<std::string, std::string> files_ = {
      {"a.log", kFirstLog}, {"b.log", kSecondLog}, {"limits.log", kLimitsLog}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace
}  // namespace ibisladder::tool
