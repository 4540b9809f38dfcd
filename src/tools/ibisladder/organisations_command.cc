// Sums what instances answer about organisations.
#include <cstdio>
#include <map>
#include <set>

#include "tools/ibisladder/commands.h"
#include "tools/ibisladder/report.h"
#include "tools/ibisladder/table.h"

namespace ibisladder::tool {
namespace {

using json::Json;

constexpr int kStatusOk = 200;

struct Answered {
  Endpoint at;
  Json answer;
};

struct OrganisationSums {
  std::uint64_t arrived = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Instances that limit it, and those that know it.
  std::size_t limiting = 0;
  std::size_t answered = 0;
  std::set<std::string> quotas;
  std::set<std::string> keepers;
};

Expected<Json> Ask(const Environment& env, const Endpoint& at) {
  const auto fetched = env.fetch(at, "/organisations");
  if (!fetched) return tl::unexpected(fetched.error());
  if (fetched->status != kStatusOk) {
    return Fail(ResultCode::kUnavailable, FormatEndpoint(at),
                "answered with status " + std::to_string(fetched->status));
  }
  Json answer = Json::parse(fetched->body, nullptr, false);
  const auto list =
      answer.is_object() ? answer.find("organisations") : answer.end();
  if (!answer.is_object() || list == answer.end() || !list->is_array()) {
    return Fail(ResultCode::kUnavailable, FormatEndpoint(at),
                "the answer cannot be read; check that the address is an "
                "instance's metrics address");
  }
  return answer;
}

std::uint64_t CountOf(const Json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number_unsigned()
             ? it->get<std::uint64_t>()
             : 0;
}

std::string TextOf(const Json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

std::string NumberText(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number()) return "?";
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%g", it->get<double>());
  return buf.data();
}

void Add(OrganisationSums& sums, const Json& item) {
  sums.arrived += CountOf(item, "arrived");
  sums.admitted += CountOf(item, "admitted");
  sums.refused += CountOf(item, "refused");
  ++sums.answered;
  const auto quota = item.find("quota");
  if (quota == item.end() || !quota->is_object()) return;
  sums.quotas.insert(NumberText(*quota, "rate") + "/s, burst " +
                     NumberText(*quota, "burst"));
  sums.keepers.insert(TextOf(*quota, "keeper"));
  const auto limited = quota->find("limited");
  if (limited != quota->end() && *limited == true) ++sums.limiting;
}

/// Returns the different values that instances answered.
std::string JoinAll(const std::set<std::string>& texts) {
  std::string buf;
  for (const auto& it : texts) buf += (buf.empty() ? "" : " | ") + it;
  return buf;
}

std::string OrganisationTable(const std::vector<Answered>& answers) {
  std::map<std::string, OrganisationSums> sums;
  for (const auto& [at, answer] : answers) {
    for (const Json& it : answer["organisations"]) {
      if (it.is_object()) Add(sums[TextOf(it, "name")], it);
    }
  }
  std::vector<TableRow> rows = {{"ORGANISATION", "ARRIVED", "ADMITTED",
                                 "REFUSED", "QUOTA", "LIMITED AT", "KEEPER"}};
  for (const auto& [name, it] : sums) {
    rows.push_back({name, std::to_string(it.arrived),
                    std::to_string(it.admitted), std::to_string(it.refused),
                    JoinAll(it.quotas),
                    it.quotas.empty() ? ""
                                      : std::to_string(it.limiting) + " of " +
                                            std::to_string(it.answered),
                    JoinAll(it.keepers)});
  }
  return FormatTable(rows);
}

std::string InstanceTable(const std::vector<Answered>& answers) {
  std::vector<TableRow> rows = {
      {"INSTANCE", "AT", "VERSION", "VERIFIED", "LEFT OUT"}};
  for (const auto& [at, answer] : answers) {
    const auto age = answer.find("verified_ms_ago");
    const bool is_known = age != answer.end() && age->is_number_integer();
    rows.push_back(
        {TextOf(answer, "instance"), FormatEndpoint(at),
         std::to_string(CountOf(answer, "version")),
         is_known ? std::to_string(age->get<std::int64_t>()) + " ms ago" : "",
         std::to_string(CountOf(answer, "left_out"))});
  }
  return FormatTable(rows);
}

}  // namespace

ExitCode RunOrganisations(const Invocation& invocation,
                          const Environment& env) {
  const Options& options = invocation.options;
  std::vector<Answered> answers;
  ExitCode code = ExitCode::kOk;
  auto document = json::OrderedJson::array();
  for (const Endpoint& at : options.at) {
    const auto answer = Ask(env, at);
    const std::string address = FormatEndpoint(at);
    if (answer) {
      document.push_back({{"at", address}, {"answer", *answer}});
      answers.push_back({at, *answer});
      continue;
    }
    code = ExitCode::kSomeUnanswered;
    document.push_back({{"at", address}, {"error", answer.error().message}});
    if (!options.json) ReportError(env, false, answer.error());
  }
  if (options.json) {
    PrintJson(env, document);
    return code;
  }
  env.out << OrganisationTable(answers) << "\n" << InstanceTable(answers);
  return code;
}

}  // namespace ibisladder::tool
