#ifndef BENCHMARKS_CHOICE_MODEL_H_
#define BENCHMARKS_CHOICE_MODEL_H_

#include <cstdint>

#include "libs/routing/router_state.h"

/// One service in virtual time: entry instances with real routers before
/// modelled backend servers. Compares rules of choice.
namespace ibisladder::benchmarks {

struct ChoiceModel {
  std::size_t instances = 36;
  std::size_t servers = 10;
  std::uint16_t slots = 4;
  /// Requests that a server holds beyond its slots; the next one is shed.
  std::uint16_t backlog = 4;
  std::size_t zones = 3;
  /// Offered load as a share of all slots.
  double load = 0.8;
  /// Exponentially distributed.
  Duration mean_service = Millis(25);
  Duration deadline = Seconds(1);
  Duration length = Seconds(60);
  Duration warm_up = Seconds(5);
  std::uint64_t seed = 1;
  routing::ChoiceSettings choice;
};

struct ChoiceResult {
  std::uint64_t calls = 0;
  std::uint64_t attempts = 0;
  std::uint64_t sheds = 0;
  std::uint64_t refused = 0;
  std::uint64_t own_zone = 0;
  /// Requests that found an idle connection of their instance.
  std::uint64_t reused = 0;
  /// From arrival at the instance to the start of the work, over the network.
  Duration median_wait{};
  Duration p99_wait{};
  Duration p999_wait{};
};

ChoiceResult RunChoiceModel(const ChoiceModel& model);

}  // namespace ibisladder::benchmarks

#endif  // BENCHMARKS_CHOICE_MODEL_H_
