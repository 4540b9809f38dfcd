#include <cstdio>

#include "tools/ibisladder/commands.h"
#include "tools/ibisladder/report.h"
#include "tools/ibisladder/table.h"

namespace ibisladder::tool {
namespace {

/// Rounds to tenths of a second, as in "0.7 s".
std::string SecondsText(std::uint64_t milliseconds) {
  constexpr std::uint64_t kTenth = 100;
  const std::uint64_t tenths = (milliseconds + kTenth / 2) / kTenth;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

std::string ScoreText(double score) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.1f", score);
  return buf.data();
}

std::string Headline(const rpc::StatusReply& reply) {
  return "instance " + std::to_string(reply.instance()) + " in " +
         PrintableText(reply.zone()) + (reply.stopping() ? ", stopping" : "") +
         ": version " + std::to_string(reply.version()) + ", store " +
         (reply.store_up() ? "up" : "down") + ", " +
         std::to_string(reply.in_flight()) + " in flight, " +
         std::to_string(reply.records()) + " request records\n";
}

std::string PeerTable(const rpc::StatusReply& reply) {
  std::vector<TableRow> rows = {
      {"INSTANCE", "ZONE", "CALLERS AT", "STATE", "VERSION", "HEARD"}};
  for (const auto& it : reply.peers()) {
    rows.push_back({std::to_string(it.instance()), it.zone(),
                    it.caller_endpoint(), it.state(),
                    std::to_string(it.version()),
                    SecondsText(it.heard_ms_ago()) + " ago"});
  }
  return FormatTable(rows);
}

std::string ServerTable(const rpc::StatusReply& reply) {
  std::vector<TableRow> rows = {
      {"SERVICE", "SERVER", "ZONE", "STATE", "IN FLIGHT", "SCORE", "REASON"}};
  for (const auto& it : reply.servers()) {
    rows.push_back({it.service(), it.server(), it.zone(), it.state(),
                    std::to_string(it.in_flight()), ScoreText(it.score()),
                    it.reason()});
  }
  return FormatTable(rows);
}

/// Removes the backend servers of other services.
void KeepService(const std::string& service, rpc::StatusReply& reply) {
  if (service.empty()) return;
  auto* servers = reply.mutable_servers();
  for (int i = servers->size(); i-- > 0;) {
    if (servers->Get(i).service() != service) servers->DeleteSubrange(i, 1);
  }
}

}  // namespace

ExitCode RunStatus(const Invocation& invocation, const Environment& env) {
  const auto& options = invocation.options;
  auto reply = Query<rpc::StatusReply>(env, rpc::StatusRequest());
  if (!reply) return ReportError(env, options.json, reply.error());
  KeepService(options.service, *reply);
  if (!options.service.empty() && reply->servers().empty()) {
    return ReportError(env, options.json,
                       {ResultCode::kNotFound, options.service,
                        "the instance knows no backend server of this service; "
                        "`ibisladder status` without --service lists all"});
  }
  if (options.json) {
    env.out << rpc::EncodeReply(*reply, rpc::ContentType::kJson) << "\n";
    return ExitCode::kOk;
  }
  env.out << Headline(*reply);
  if (options.service.empty()) env.out << "\n" << PeerTable(*reply);
  if (!reply->servers().empty()) env.out << "\n" << ServerTable(*reply);
  return ExitCode::kOk;
}

}  // namespace ibisladder::tool
