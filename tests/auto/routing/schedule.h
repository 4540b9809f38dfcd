#ifndef TESTS_AUTO_ROUTING_SCHEDULE_H_
#define TESTS_AUTO_ROUTING_SCHEDULE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/routing/router.h"

/// Runs random schedules against one router and checks its decisions against an
/// independent model.
namespace ibisladder::routing {

struct ScheduleSettings {
  std::uint64_t seed = 0;
  int steps = 0;
  int servers = 4;
  /// Percentage of steps that add a request.
  std::uint64_t arrivals = 50;
  std::uint8_t retry_percent = 10;
  std::uint16_t queue_limit = 16;
  std::size_t users_per_server = 1;
  std::uint16_t max_connections = 8;
};

struct ScheduleResult {
  /// The first violated rule; empty if there was none.
  std::string broken;
  // What the schedule contained.
  int dispatched = 0;
  int queued = 0;
  int refused = 0;
  /// Calls refused by Pump when the queue was full before.
  int displaced = 0;
  int sheds = 0;
  int trials = 0;
  int last_resorts = 0;
  int retries_refused = 0;
  int changes = 0;
};

ScheduleResult RunSchedule(const ScheduleSettings& settings);

}  // namespace ibisladder::routing

#endif  // TESTS_AUTO_ROUTING_SCHEDULE_H_
