// Compares rules for the choice of a backend server at several loads, in
// virtual time, and prints a table.
#include <cstdio>
#include <string>
#include <vector>

#include "benchmarks/choice_model.h"

namespace ibisladder::benchmarks {
namespace {

struct Rule {
  std::string name;
  routing::ChoiceSettings choice;
};

routing::ChoiceSettings Make(std::uint8_t samples, bool use_reports,
                             Duration memory, double own_zone_max_load) {
  routing::ChoiceSettings it;
  it.samples = samples;
  it.use_reports = use_reports;
  it.report_half_life = memory;
  it.own_zone_max_load = own_zone_max_load;
  it.open_connection_bonus = 0;
  return it;
}

routing::ChoiceSettings MakeWorth(double open_connection_bonus) {
  routing::ChoiceSettings it;
  it.open_connection_bonus = open_connection_bonus;
  return it;
}

std::vector<Rule> Rules() {
  constexpr double kNoPreference = 0;
  constexpr Duration kMemory = Millis(250);
  return {
      {"random", Make(1, false, kMemory, kNoPreference)},
      {"two, own", Make(2, false, kMemory, kNoPreference)},
      {"all, own", Make(0, false, kMemory, kNoPreference)},
      {"two, reports 250 ms", Make(2, true, kMemory, kNoPreference)},
      {"all, reports 50 ms", Make(0, true, Millis(50), kNoPreference)},
      {"all, reports 250 ms", Make(0, true, kMemory, kNoPreference)},
      {"all, reports 1 s", Make(0, true, Seconds(1), kNoPreference)},
      {"all, 250 ms, own zone to 50%", Make(0, true, kMemory, 0.5)},
      {"the same, connection 0", MakeWorth(0)},
      {"the same, connection 0.05", MakeWorth(0.05)},
      {"the same, connection 0.1", MakeWorth(0.1)},
      {"the same, connection 0.5", MakeWorth(0.5)},
      {"the router's default", routing::ChoiceSettings()},
  };
}

double InMillis(Duration it) { return ToSeconds(it) * 1e3; }

double PerThousand(std::uint64_t part, std::uint64_t whole) {
  return 1000.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void PrintRow(const Rule& rule, const ChoiceModel& model) {
  const ChoiceResult it = RunChoiceModel(model);
  std::printf(
      "| %zu x %zu x %u+%u | %.0f%% | %s | %.2f | %.1f | %.1f | %.1f | %.1f | "
      "%.2f | %.0f%% | %.0f%% |\n",
      model.instances, model.servers, model.slots, model.backlog,
      model.load * 100, rule.name.c_str(), InMillis(it.median_wait),
      InMillis(it.p99_wait), InMillis(it.p999_wait),
      PerThousand(it.sheds, it.calls), PerThousand(it.refused, it.calls),
      PerThousand(it.attempts, it.calls) / 1000,
      100.0 * static_cast<double>(it.own_zone) /
          static_cast<double>(it.attempts),
      100.0 * static_cast<double>(it.reused) /
          static_cast<double>(it.attempts));
  std::fflush(stdout);
}

/// Prints the rules for servers that differ.
void PrintUneven(const std::string& title, ChoiceModel model) {
  model.instances = 6;
  model.servers = 214;
  model.slots = 3;
  model.backlog = 12;
  model.mean_service = Millis(218);
  model.deadline = Seconds(3);
  model.far_delay = Micros(4400);
  model.zone_swing = 0.55;
  struct Uneven {
    const char* name;
    bool learns;
    bool knows_all;
  };
  for (const Uneven& it : {Uneven{"present", false, false},
                           Uneven{"learns from servers", true, false},
                           Uneven{"knows all", false, true}}) {
    model.choice = {};
    model.choice.learns_from_servers = it.learns;
    model.knows_all = it.knows_all;
    const ChoiceResult result = RunChoiceModel(model);
    std::printf(
        "| %s | %.0f%% | %s | %.0f | %.0f | %.1f | %.1f | %.0f%% | %.2f |\n",
        title.c_str(), model.load * 100, it.name, InMillis(result.mean_time),
        InMillis(result.p99_wait), PerThousand(result.sheds, result.calls),
        PerThousand(result.refused, result.calls),
        100.0 * static_cast<double>(result.own_zone) /
            static_cast<double>(result.attempts),
        result.busiest);
    std::fflush(stdout);
  }
}

void PrintAllUneven() {
  std::printf(
      "\n| servers | load | rule | mean time ms | wait p99 ms | sheds per 1000 "
      "| refused per 1000 | own zone | busiest server |\n"
      "|---|---|---|---|---|---|---|---|---|\n");
  for (const double load : {0.27, 0.45}) {
    ChoiceModel even;
    even.load = load;
    PrintUneven("even", even);
    ChoiceModel slow = even;
    slow.slow_part = 1.0 / 3;
    PrintUneven("a third slow", slow);
    ChoiceModel declining = even;
    declining.declining_part = 1.0 / 3;
    PrintUneven("a third declines", declining);
    ChoiceModel both = even;
    both.declining_part = 1.0 / 3;
    both.slow_part = 1.0 / 6;
    PrintUneven("a third declines, a sixth slow", both);
  }
}

void PrintTable(std::size_t instances, std::size_t servers,
                std::uint16_t backlog, const std::vector<double>& loads) {
  for (const double load : loads) {
    for (const Rule& rule : Rules()) {
      ChoiceModel model;
      model.instances = instances;
      model.servers = servers;
      model.backlog = backlog;
      model.load = load;
      model.choice = rule.choice;
      PrintRow(rule, model);
    }
  }
}

}  // namespace
}  // namespace ibisladder::benchmarks

int main(int argc, char** argv) {
  if (argc > 1 && std::string(argv[1]) == "uneven") {
    ibisladder::benchmarks::PrintAllUneven();
    return 0;
  }
  std::printf(
      "| instances x servers x slots+backlog | load | rule | wait p50 ms | "
      "p99 ms | p99.9 ms | sheds per 1000 | refused per 1000 | attempts | own "
      "zone |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|\n");
  using ibisladder::benchmarks::PrintTable;
  PrintTable(36, 10, 4, {0.5, 0.8, 0.95});
  PrintTable(36, 10, 0, {0.5, 0.8, 0.95});
  // One of the target's 340 services: 176 calls per second.
  PrintTable(540, 24, 4, {0.046});
  ibisladder::benchmarks::PrintAllUneven();
  return 0;
}
