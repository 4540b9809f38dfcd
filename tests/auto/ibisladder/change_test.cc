#include "tools/ibisladder/change.h"

#include <cppunit/extensions/HelperMacros.h>

#include "libs/declarations/parse.h"
#include "tests/auto/ibisladder/fake_fleet.h"
#include "tests/auto/support/story.h"
#include "tools/ibisladder/failover.h"

namespace ibisladder::tool {
namespace {

using testing::Section;

Outcome Apply(FakeFleet& fleet, const Options& options,
              const std::map<std::string, std::string>& files) {
  return RunTool(fleet, {"apply", "d.json"}, options, files);
}

/// kBilling without its second backend server.
std::map<std::string, std::string> Smaller() {
  auto declarations = *declarations::ParseDeclarations(kBilling);
  declarations.services[0].servers.pop_back();
  return {{"d.json", declarations::FormatDeclarations(declarations)}};
}

std::uint64_t VersionOf(const FakeFleet& fleet) {
  return fleet.configuration->version.value();
}

class ChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeTest);
  CPPUNIT_TEST(ChangesAreApplied);
  CPPUNIT_TEST(ConflictsChangeNothing);
  CPPUNIT_TEST(LostRepliesAreResolved);
  CPPUNIT_TEST(OutagesAreTold);
  CPPUNIT_TEST(ServersAreDrained);
  CPPUNIT_TEST(EndpointsAreTriedInOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangesAreApplied() {
    FakeFleet fleet = BillingFleet();
    const auto applied = Apply(fleet, {}, Smaller());
    AssertCode(ExitCode::kOk, applied);
    CPPUNIT_ASSERT_EQUAL(
        std::string("version 2 is in force (based on 1, change change-1)\n"),
        applied.out);
    Section("and invalid ones never leave the tool", [&] {
      fleet.calls.clear();
      AssertCode(ExitCode::kInvalid, Apply(fleet, {}, {{"d.json", "{}"}}));
      CPPUNIT_ASSERT(fleet.calls.empty());
    });
    Section("the first one of a fleet is based on 0", [] {
      FakeFleet empty;
      AssertCode(ExitCode::kOk, Apply(empty, {}, Smaller()));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, VersionOf(empty));
    });
  }

  void ConflictsChangeNothing() {
    FakeFleet fleet = BillingFleet();
    fleet.races = 1;
    const auto outcome = Apply(fleet, {}, Smaller());
    AssertCode(ExitCode::kConflict, outcome);
    CPPUNIT_ASSERT(outcome.err.find("based on version 1, version 2 is in "
                                    "force") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2},
        fleet.configuration->declarations.services[0].servers.size());
    Section("and a stale --based-on is one", [&] {
      Options options;
      options.based_on = 1;
      AssertCode(ExitCode::kConflict, Apply(fleet, options, Smaller()));
    });
  }

  void LostRepliesAreResolved() {
    Section("by the same change id, which is accepted once", [] {
      FakeFleet fleet = BillingFleet();
      fleet.lost_replies = 3;
      const auto outcome = Apply(fleet, {}, Smaller());
      AssertCode(ExitCode::kOk, outcome);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, VersionOf(fleet));
      CPPUNIT_ASSERT_EQUAL(3, fleet.pauses);
    });
    Section("or left unknown, with what a repeat needs", [] {
      FakeFleet fleet = BillingFleet();
      fleet.lost_replies = 100;
      const auto outcome = Apply(fleet, {}, Smaller());
      AssertCode(ExitCode::kWriteUnknown, outcome);
      CPPUNIT_ASSERT(outcome.err.find("--based-on=1 --change-id=change-1") !=
                     std::string::npos);
      fleet.lost_replies = 0;
      Options options;
      options.based_on = 1;
      options.change_id = "change-1";
      AssertCode(ExitCode::kOk, Apply(fleet, options, Smaller()));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, VersionOf(fleet));
    });
    Section("a conflict after a lost reply proves nothing", [] {
      FakeFleet fleet = BillingFleet();
      rpc::ApplyRequest request;
      request.set_declarations_json(kBilling);
      request.set_based_on(1);
      request.set_change_id("c");
      std::ostringstream sink;
      Environment env{nullptr, nullptr, [](Duration) {}, nullptr, sink, sink};
      env.channel = [&, n = 0](const rpc::ProcedureCall& call) mutable {
        if (n++ == 0) return CallResult{Delivery::kReplyLost, "", "", false};
        fleet.races = 1;
        return Answer(fleet, call);
      };
      const auto change = SendChange(env, request);
      CPPUNIT_ASSERT_EQUAL(5004U, change.result.code());
    });
  }

  void OutagesAreTold() {
    FakeFleet fleet = BillingFleet();
    fleet.store_up = false;
    AssertCode(ExitCode::kUnavailable, Apply(fleet, {}, Smaller()));
    CPPUNIT_ASSERT_EQUAL(0, fleet.pauses);
    fleet.reachable = false;
    AssertCode(ExitCode::kUnavailable, Apply(fleet, {}, Smaller()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, VersionOf(fleet));
  }

  void ServersAreDrained() {
    FakeFleet fleet = BillingFleet();
    const std::vector<std::string> drain = {"drain", "server", "billing/b2"};
    Section("in spite of other changes, which stay", [&] {
      fleet.races = 2;
      AssertCode(ExitCode::kOk, RunTool(fleet, drain));
      CPPUNIT_ASSERT(
          fleet.configuration->declarations.services[0].servers[1].drained);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, VersionOf(fleet));
    });
    Section("once", [&] {
      AssertCode(ExitCode::kOk, RunTool(fleet, drain));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, VersionOf(fleet));
    });
    Section("but not one that nobody declared", [&] {
      AssertCode(ExitCode::kNotFound,
                 RunTool(fleet, {"undrain", "server", "billing/b9"}));
    });
  }

  void EndpointsAreTriedInOrder() {
    FakeFleet up = BillingFleet();
    FakeFleet down = BillingFleet();
    std::vector<std::uint16_t> asked;
    const Sender send = [&](const Endpoint& it,
                            const rpc::ProcedureCall& call) {
      asked.push_back(it.port);
      return Answer(it.port == 1 ? down : up, call);
    };
    const std::vector<Endpoint> endpoints = {{"10.0.0.7", 1}, {"10.0.0.8", 2}};
    rpc::ApplyRequest request;
    request.set_declarations_json(kBilling);
    request.set_based_on(1);
    request.set_change_id("c");
    const auto code_of = [&] {
      return CodeOfReply(SendInOrder(endpoints, send, request).body);
    };
    Section("past one that is not reached", [&] {
      down.reachable = false;
      CPPUNIT_ASSERT(code_of() == ResultCode::kDone);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, asked.size());
    });
    Section("and past one that cannot do it now", [&] {
      down.reachable = true;
      down.store_up = false;
      CPPUNIT_ASSERT(code_of() == ResultCode::kDone);
    });
    Section("a reply that was lost before is remembered", [&] {
      down.store_up = true;
      down.lost_replies = 1;
      CPPUNIT_ASSERT(SendInOrder(endpoints, send, request).may_have_executed);
    });
    Section("and makes the whole a lost reply when nobody else answers", [&] {
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
