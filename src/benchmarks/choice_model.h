#ifndef BENCHMARKS_CHOICE_MODEL_H_
#define BENCHMARKS_CHOICE_MODEL_H_

#include <cstdint>

#include "libs/routing/router_state.h"

/// Simulates one service in virtual time: entry instances with real routers in
/// front of modelled backend servers. Used to compare rules for the choice of a
/// server.
namespace ibisladder::benchmarks {

struct ChoiceModel {
  std::size_t instances = 36;
  std::size_t servers = 10;
  std::uint16_t slots = 4;
  /// Requests that a server queues when all slots are busy; further ones are
  /// shed.
  std::uint16_t backlog = 4;
  std::size_t zones = 3;
  /// Offered load as a fraction of all slots.
  double load = 0.8;
  /// Mean execution time; the times are exponentially distributed.
  Duration mean_service = Millis(25);
  Duration deadline = Seconds(1);
  Duration length = Seconds(60);
  Duration warm_up = Seconds(5);
  std::uint64_t seed = 1;
  routing::ChoiceSettings choice;
  /// Part of the servers that take `slowdown` times as long.
  double slow_part = 0;
  int slowdown = 5;
  /// Part of the servers that decline `declined_part` of their requests, full
  /// or not.
  double declining_part = 0;
  double declined_part = 0.9;
  /// The load of each zone varies by so much around its mean, one after the
  /// other.
  double zone_swing = 0;
  Duration swing_period = Seconds(20);
  /// One-way network delay between zones.
  Duration far_delay = Micros(750);
  /// Requests go to the server where they end first, as one who sees all
  /// servers and requests knows it, and not through routers.
  bool knows_all = false;
};

/// Results of one simulation, for calls that arrive after the warm-up.
struct ChoiceResult {
  std::uint64_t calls = 0;
  std::uint64_t attempts = 0;
  std::uint64_t sheds = 0;
  std::uint64_t refused = 0;
  /// Attempts sent to a server in the zone of the instance.
  std::uint64_t own_zone = 0;
  /// Attempts that reused an idle connection of their instance.
  std::uint64_t reused = 0;
  /// Time from arrival at the instance until the start of execution, including
  /// network delays.
  Duration median_wait{};
  Duration p99_wait{};
  Duration p999_wait{};
  /// From arrival at the instance until the answer.
  Duration mean_time{};
  /// Requests at the busiest server, relative to the mean.
  double busiest = 0;
};

ChoiceResult RunChoiceModel(const ChoiceModel& model);

}  // namespace ibisladder::benchmarks

#endif  // BENCHMARKS_CHOICE_MODEL_H_
