#include "tools/ibisladder/change.h"

#include <cppunit/extensions/HelperMacros.h>

#include "libs/declarations/parse.h"
#include "tests/auto/ibisladder/fake_fleet.h"
#include "tests/auto/support/story.h"
#include "tools/ibisladder/failover.h"

// A change whose reply is lost may have been accepted. These tests guard
// against a tool that makes such a change twice, overwrites a change by another
// operator, or reports a change as refused that is in force.
namespace ibisladder::tool {
namespace {

using testing::Section;

ToolResult Apply(FakeFleet& fleet, const Options& options,
                 const std::map<std::string, std::string>& files) {
  return RunTool(fleet, {"apply", "d.json"}, options, files);
}

/// kBillingDeclarations without its second backend server.
std::map<std::string, std::string> BillingWithOneServer() {
  auto declarations = *declarations::ParseDeclarations(kBillingDeclarations);
  declarations.services[0].servers.pop_back();
  return {{"d.json", declarations::FormatDeclarations(declarations)}};
}

std::uint64_t VersionOf(const FakeFleet& fleet) {
  return fleet.configuration->version.value();
}

class ChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeTest);
  CPPUNIT_TEST(AppliesChanges);
  CPPUNIT_TEST(LeavesDeclarationsOnConflict);
  CPPUNIT_TEST(ResolvesLostReplies);
  CPPUNIT_TEST(ReportsOutages);
  CPPUNIT_TEST(DrainsServers);
  CPPUNIT_TEST(TriesEndpointsInOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AppliesChanges() {
    FakeFleet fleet = BillingFleet();
    const auto applied = Apply(fleet, {}, BillingWithOneServer());
    AssertCode(ExitCode::kOk, applied);
    CPPUNIT_ASSERT_EQUAL(
        std::string("version 2 is in force (based on 1, change change-1)\n"),
        applied.out);
    Section("invalid declarations are not sent", [&] {
      fleet.calls.clear();
      AssertCode(ExitCode::kInvalid, Apply(fleet, {}, {{"d.json", "{}"}}));
      CPPUNIT_ASSERT(fleet.calls.empty());
    });
    Section("the first change of a fleet is based on version 0", [] {
      FakeFleet empty;
      AssertCode(ExitCode::kOk, Apply(empty, {}, BillingWithOneServer()));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, VersionOf(empty));
    });
  }

  void LeavesDeclarationsOnConflict() {
    FakeFleet fleet = BillingFleet();
    fleet.concurrent_changes = 1;
    const auto result = Apply(fleet, {}, BillingWithOneServer());
    AssertCode(ExitCode::kConflict, result);
    CPPUNIT_ASSERT(result.err.find("based on version 1, version 2 is in "
                                   "force") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2},
        fleet.configuration->declarations.services[0].servers.size());
    Section("an outdated --based-on is a conflict", [&] {
      Options options;
      options.based_on = 1;
      AssertCode(ExitCode::kConflict,
                 Apply(fleet, options, BillingWithOneServer()));
    });
  }

  void ResolvesLostReplies() {
    Section("a repeat with the same change id is accepted once", [] {
      FakeFleet fleet = BillingFleet();
      fleet.lost_replies = 3;
      const auto result = Apply(fleet, {}, BillingWithOneServer());
      AssertCode(ExitCode::kOk, result);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, VersionOf(fleet));
      CPPUNIT_ASSERT_EQUAL(3, fleet.sleep_count);
    });
    Section("an unknown outcome is reported with the flags for a repeat", [] {
      FakeFleet fleet = BillingFleet();
      fleet.lost_replies = 100;
      const auto result = Apply(fleet, {}, BillingWithOneServer());
      AssertCode(ExitCode::kWriteUnknown, result);
      CPPUNIT_ASSERT(result.err.find("--based-on=1 --change-id=change-1") !=
                     std::string::npos);
      fleet.lost_replies = 0;
      Options options;
      options.based_on = 1;
      options.change_id = "change-1";
      AssertCode(ExitCode::kOk, Apply(fleet, options, BillingWithOneServer()));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, VersionOf(fleet));
    });
    Section("a conflict after a lost reply leaves the outcome unknown", [] {
      FakeFleet fleet = BillingFleet();
      rpc::ApplyRequest request;
      request.set_declarations_json(kBillingDeclarations);
      request.set_based_on(1);
      request.set_change_id("c");
      std::ostringstream sink;
      Environment env{nullptr, nullptr, [](Duration) {}, nullptr, sink, sink};
      env.channel = [&, n = 0](const rpc::ProcedureCall& call) mutable {
        if (n++ == 0) return CallResult{Delivery::kReplyLost, "", "", false};
        fleet.concurrent_changes = 1;
        return Answer(fleet, call);
      };
      const auto change = SendChange(env, request);
      CPPUNIT_ASSERT_EQUAL(5004U, change.result.code());
    });
  }

  void ReportsOutages() {
    FakeFleet fleet = BillingFleet();
    fleet.store_up = false;
    AssertCode(ExitCode::kUnavailable,
               Apply(fleet, {}, BillingWithOneServer()));
    CPPUNIT_ASSERT_EQUAL(0, fleet.sleep_count);
    fleet.reachable = false;
    AssertCode(ExitCode::kUnavailable,
               Apply(fleet, {}, BillingWithOneServer()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, VersionOf(fleet));
  }

  void DrainsServers() {
    FakeFleet fleet = BillingFleet();
    const std::vector<std::string> drain = {"drain", "server", "billing/b2"};
    Section("concurrent changes are kept", [&] {
      fleet.concurrent_changes = 2;
      AssertCode(ExitCode::kOk, RunTool(fleet, drain));
      CPPUNIT_ASSERT(
          fleet.configuration->declarations.services[0].servers[1].drained);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, VersionOf(fleet));
    });
    Section("a drained server is not changed again", [&] {
      AssertCode(ExitCode::kOk, RunTool(fleet, drain));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, VersionOf(fleet));
    });
    Section("a server that is not declared is not found", [&] {
      AssertCode(ExitCode::kNotFound,
                 RunTool(fleet, {"undrain", "server", "billing/b9"}));
    });
  }

  void TriesEndpointsInOrder() {
    FakeFleet up = BillingFleet();
    FakeFleet down = BillingFleet();
    std::vector<std::uint16_t> ports;
    const Sender send = [&](const Endpoint& it,
                            const rpc::ProcedureCall& call) {
      ports.push_back(it.port);
      return Answer(it.port == 1 ? down : up, call);
    };
    const std::vector<Endpoint> endpoints = {{"10.0.0.7", 1}, {"10.0.0.8", 2}};
    rpc::ApplyRequest request;
    request.set_declarations_json(kBillingDeclarations);
    request.set_based_on(1);
    request.set_change_id("c");
    const auto code_of = [&] {
      return CodeOfReply(SendInOrder(endpoints, send, request).body);
    };
    Section("an instance that cannot be reached is skipped", [&] {
      down.reachable = false;
      CPPUNIT_ASSERT(code_of() == ResultCode::kDone);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ports.size());
    });
    Section("an instance without the store is skipped", [&] {
      down.reachable = true;
      down.store_up = false;
      CPPUNIT_ASSERT(code_of() == ResultCode::kDone);
    });
    Section("a lost reply of an earlier endpoint is reported", [&] {
      down.store_up = true;
      down.lost_replies = 1;
      CPPUNIT_ASSERT(SendInOrder(endpoints, send, request).may_have_executed);
    });
    Section("without another answer, the result is a lost reply", [&] {
      down.lost_replies = 1;
      up.reachable = false;
      const auto result = SendInOrder(endpoints, send, request);
      CPPUNIT_ASSERT(result.delivery == Delivery::kReplyLost);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeTest);

}  // namespace
}  // namespace ibisladder::tool
