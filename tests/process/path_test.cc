#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"
#include "tests/process/fleet.h"
#include "tests/process/sync_http.h"

namespace ibisladder::process {
namespace {

using nlohmann::json;
using testing::Section;

/// Guards against defects of the whole path that tests of single libraries
/// miss: real processes, without failures, and with invalid input.
class PathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PathTest);
  CPPUNIT_TEST(CallsOfEachKindAreServed);
  CPPUNIT_TEST(BadInputGetsAResultCodeAndTheProcessKeepsRunning);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CallsOfEachKindAreServed() {
    FleetOptions options;
    Fleet fleet(options);
    fleet.Start();
    Section("idempotent calls are done", [&] {
      auto run = fleet.StartCaller({1, 2, 3}, {"--path=/browse", "--count=50"});
      for (const auto& it : fleet.Finish(run, kLongTimeout)) {
        CPPUNIT_ASSERT_EQUAL(std::string("done"), it.outcome);
        CPPUNIT_ASSERT(it.whole);
      }
    });
    Section("each at-most-once call is done once", [&] {
      auto run = fleet.StartCaller({2}, {"--path=/charge", "--method=POST",
                                         "--at_most_once", "--count=50"});
      const auto records = fleet.Finish(run, kLongTimeout);
      CPPUNIT_ASSERT_EQUAL(std::size_t{50}, records.size());
      for (const auto& it : records) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.Logs(), std::string("done"),
                                     it.outcome);
      }
      CPPUNIT_ASSERT_EQUAL(
          std::string(), FindAtMostOnceViolations(records, fleet.Executions()));
    });
    Section("operators see the fleet and all backend servers", [&] {
      const json status = fleet.Call(3, "Status", json::object());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status.dump(), std::size_t{4},
                                   status["servers"].size());
      const bool sees_peers = Await(kLongTimeout, [&] {
        const json it = fleet.Call(3, "Status", json::object());
        return it["peers"].size() >= 2;
      });
      CPPUNIT_ASSERT(sees_peers);
    });
    Section("metrics are served", [&] {
      net::HttpCall call;
      call.endpoint = fleet.OperatorEndpoint(1);
      call.target = "/metrics";
      const auto answer = Exchange(call);
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT(answer->body.find("ibisladder_answers_total") !=
                     std::string::npos);
    });
  }

  void BadInputGetsAResultCodeAndTheProcessKeepsRunning() {
    FleetOptions options;
    options.instances = 1;
    Fleet fleet(options);
    fleet.Start();
    const auto result_of = [&](const net::HttpCall& call) {
      const auto answer = Exchange(call);
      CPPUNIT_ASSERT(answer.has_value());
      const auto* code = net::FindHeader(answer->headers, "Ibisladder-Result");
      return code == nullptr ? std::string("none") : *code;
    };
    net::HttpCall call;
    call.endpoint = fleet.CallerEndpoint(1);
    Section("a path that no route matches", [&] {
      call.target = "/nowhere";
      CPPUNIT_ASSERT_EQUAL(std::string("2002"), result_of(call));
    });
    Section("an at-most-once call without a ticket", [&] {
      call.method = "POST";
      call.target = "/charge";
      call.body = "{}";
      CPPUNIT_ASSERT_EQUAL(std::string("2003"), result_of(call));
    });
    Section("a malformed request id", [&] {
      call.headers = {{"Idempotency-Key", "not a ticket"}};
      CPPUNIT_ASSERT_EQUAL(std::string("2004"), result_of(call));
    });
    Section("a malformed deadline", [&] {
      call.headers = {{"Ibisladder-Timeout-Ms", "-5"}};
      CPPUNIT_ASSERT_EQUAL(std::string("2001"), result_of(call));
    });
    Section("an unknown path of the instance's own interface", [&] {
      call.headers.clear();
      call.target = "/ibisladder/v9/anything";
      CPPUNIT_ASSERT_EQUAL(std::string("2002"), result_of(call));
    });
    Section("an operator without the token", [&] {
      net::HttpCall status;
      status.endpoint = fleet.OperatorEndpoint(1);
      status.method = "POST";
      status.target = "/ibisladder.Operators/Status";
      status.headers = {{"Content-Type", "application/json"}};
      status.body = "{}";
      const auto answer = Exchange(status);
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(401, answer->status);
      CPPUNIT_ASSERT(answer->body.find("5005") != std::string::npos);
    });
    Section("declarations with errors change nothing", [&] {
      const json reply = fleet.Apply(1, {{"services", 5}}, 1, "bad");
      CPPUNIT_ASSERT_EQUAL(5002, reply["result"]["code"].get<int>());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.VersionOf(1));
    });
    Section("the process keeps serving", [&] {
      auto run = fleet.StartCaller({1}, {"--path=/browse", "--count=5"});
      for (const auto& it : fleet.Finish(run, kLongTimeout)) {
        CPPUNIT_ASSERT_EQUAL(std::string("done"), it.outcome);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathTest);

}  // namespace
}  // namespace ibisladder::process
