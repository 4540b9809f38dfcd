#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "tests/auto/support/story.h"
#include "tests/process/entry_fleet.h"

namespace ibisladder::process {
namespace {

using testing::Section;

/// Users allow one and a half times the limit, and five requests, in any 4 s
/// from 3 s after the server first named it.
constexpr Duration kWindow = Seconds(4);
constexpr Duration kSettleTime = Seconds(3);

std::size_t AllowedInWindow(double limit) {
  return static_cast<std::size_t>(1.5 * limit * ToSeconds(kWindow) + 5);
}

constexpr int kServers = 6;
constexpr char kLimitField[] = "Server-Limit";

void SetAllHeaders(EntryFleet& fleet, const net::Headers& headers) {
  for (int i = 1; i <= kServers; ++i) fleet.SetHeaders(i, headers);
}

/// Returns the part of the calls that were answered with `status`.
double PartWith(const std::vector<FleetCall>& calls, int status) {
  const auto n = std::ranges::count(calls, status, &FleetCall::status);
  return static_cast<double>(n) / static_cast<double>(calls.size());
}

class EntryLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryLimitsTest);
  CPPUNIT_TEST(AllInstancesTogetherKeepALimit);
  CPPUNIT_TEST(AllServersLimitedWhileInstancesRestart);
  CPPUNIT_TEST(UnreadableLimitsAreNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a server that gets far more requests than the limit that it
  /// names, since each instance sends it its usual share.
  void AllInstancesTogetherKeepALimit() {
    EntryFleet fleet({});
    fleet.Run(Seconds(2));
    fleet.SetHeaders(1, {{kLimitField, "1.8"}});
    fleet.Run(kSettleTime);
    const TimePoint from = net::MonotonicNow();
    fleet.Run(Seconds(8));
    const TimePoint to = net::MonotonicNow();
    fleet.Settle();
    Section("callers are served by the others", [&] {
      CPPUNIT_ASSERT(PartWith(fleet.CallsSince(from), 200) > 0.99);
    });
    Section("the server gets no more than it allows, and about its limit",
            [&] { ExpectLimit(fleet, 1, 1.8, from, to); });
  }

  /// Guards against servers that get too much from instances that have just
  /// started, and against callers that wait in vain.
  void AllServersLimitedWhileInstancesRestart() {
    EntryFleet fleet({});
    fleet.Run(Seconds(1));
    SetAllHeaders(fleet, {{kLimitField, "5"}});
    fleet.Run(kSettleTime);
    TimePoint from = net::MonotonicNow();
    fleet.Run(Seconds(6));
    TimePoint to = net::MonotonicNow();
    Section("each server gets about its limit", [&] {
      for (int i = 1; i <= kServers; ++i) ExpectLimit(fleet, i, 5, from, to);
    });
    const auto calls = fleet.CallsSince(from);
    Section("the others are refused at once, with the time to return", [&] {
      for (const FleetCall& it : calls) {
        if (it.status != 503) continue;
        CPPUNIT_ASSERT(*it.ended_at - it.sent_at < Millis(500));
        CPPUNIT_ASSERT(std::atof(it.retry_after.c_str()) > 0);
      }
      CPPUNIT_ASSERT(PartWith(calls, 503) > 0.5);
    });
    from = net::MonotonicNow();
    for (const int instance : {1, 4, 7}) {
      fleet.Restart(instance);
      fleet.Run(Seconds(2));
    }
    fleet.Run(Seconds(2));
    to = net::MonotonicNow();
    Section("restarted instances keep the limits, too", [&] {
      for (int i = 1; i <= kServers; ++i) ExpectAllowed(fleet, i, 5, from, to);
    });
    SetAllHeaders(fleet, {});
    fleet.Run(kSettleTime);
    from = net::MonotonicNow();
    fleet.Run(Seconds(2));
    fleet.Settle();
    Section("the limits end", [&] {
      CPPUNIT_ASSERT(PartWith(fleet.CallsSince(from), 200) > 0.99);
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.repeated_at_most_once());
  }

  /// Guards against a limit that cannot be read and so stops a server's
  /// requests or the process.
  void UnreadableLimitsAreNone() {
    EntryFleet fleet({4, kServers, 120});
    const char* const texts[] = {"", "-1", "nan", "1e999", "99999999999999"};
    for (int i = 1; i < kServers; ++i) {
      fleet.SetHeaders(i, {{kLimitField, texts[i - 1]}});
    }
    fleet.SetHeaders(kServers, {{kLimitField, "1.8"}, {kLimitField, "1.8"}});
    fleet.Run(Seconds(2));
    const TimePoint from = net::MonotonicNow();
    fleet.Run(Seconds(3));
    const TimePoint to = net::MonotonicNow();
    fleet.Settle();
    Section("all servers get their share", [&] {
      for (int i = 1; i <= kServers; ++i) {
        CPPUNIT_ASSERT(fleet.CountAt(i, from, to) > 20);
      }
      CPPUNIT_ASSERT(PartWith(fleet.CallsSince(from), 200) > 0.99);
    });
    Section("each instance logs each text of a server once", [&] {
      const std::size_t n = fleet.CountLogLines("server_limit_invalid");
      CPPUNIT_ASSERT_EQUAL(std::size_t{4} * kServers, n);
    });
    Section("all instances run", [&] {
      for (int i = 1; i <= 4; ++i) CPPUNIT_ASSERT(fleet.IsRunning(i));
    });
  }

 private:
  static void ExpectAllowed(const EntryFleet& fleet, int server, double limit,
                            TimePoint from, TimePoint to) {
    const std::size_t most = fleet.MostWithin(server, kWindow, from, to);
    std::cout << "  " << limit << " a second: " << most << " of "
              << AllowedInWindow(limit) << " allowed in 4 s\n";
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s",
                           most <= AllowedInWindow(limit));
  }

  /// Also expects that the server gets 0.7 of its limit.
  static void ExpectLimit(const EntryFleet& fleet, int server, double limit,
                          TimePoint from, TimePoint to) {
    ExpectAllowed(fleet, server, limit, from, to);
    const auto n = static_cast<double>(fleet.CountAt(server, from, to));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(n) + " requests",
                           n >= 0.7 * limit * ToSeconds(to - from) - 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryLimitsTest);

}  // namespace
}  // namespace ibisladder::process
