#ifndef TESTS_AUTO_IBISLADDER_FAKE_FLEET_H_
#define TESTS_AUTO_IBISLADDER_FAKE_FLEET_H_

#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "libs/rpc/replies.h"
#include "tools/ibisladder/commands.h"

/// A fleet in memory behind the tool's channel, and the tool run against it.
namespace ibisladder::tool {

struct FakeFleet {
  declarations::ConfigurationPtr configuration;
  /// Changes accepted, by their ids.
  std::map<std::string, ConfigVersion> accepted_changes;
  bool store_up = true;
  bool reachable = true;
  /// Calls that are carried out while their reply is lost.
  int lost_replies = 0;
  /// Changes of other operators, one before each of the next changes.
  int concurrent_changes = 0;
  /// An answer that is sent whatever was asked.
  std::string fixed_answer;
  rpc::StatusReply status;
  /// Calls in order, by procedure.
  std::vector<std::string> calls;
  int sleep_count = 0;
};

/// Puts declarations into force as the next version.
void Install(FakeFleet& fleet, const declarations::Declarations& declarations);

CallResult Answer(FakeFleet& fleet, const rpc::ProcedureCall& call);

/// How a run of the tool ended.
struct ToolResult {
  ExitCode code;
  std::string out;
  std::string err;
};

/// Runs "apply FILE" and the like; files come from `files`, then from the
/// source tree.
ToolResult RunTool(FakeFleet& fleet, const std::vector<std::string>& words,
                   Options options = {},
                   const std::map<std::string, std::string>& files = {});

/// Declarations with a billing service of two backend servers.
inline constexpr const char* kBillingDeclarations = R"({
  "services": [{"name": "billing", "servers": [
    {"name": "b1", "endpoint": "127.0.0.1:21021", "zone": "quito-a"},
    {"name": "b2", "endpoint": "127.0.0.1:21022", "zone": "quito-b"}]}],
  "routes": [{"prefix": "/charges", "service": "billing"}]})";
/// Fails with what the tool said.
void AssertCode(ExitCode expected, const ToolResult& result);

/// A fleet with kBilling in force as version 1.
FakeFleet BillingFleet();

}  // namespace ibisladder::tool

#endif  // TESTS_AUTO_IBISLADDER_FAKE_FLEET_H_
