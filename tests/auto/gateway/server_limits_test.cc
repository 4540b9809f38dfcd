// Servers that name a limit for the requests of all instances together. Guards
// against a limit that each instance keeps by itself, or not at all.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "tests/auto/gateway/fleet_simulation.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

/// Users allow one and a half times the limit, and five requests, in any 4 s
/// from 3 s after the server first named it.
constexpr Duration kWindow = Seconds(4);
constexpr Duration kSettleTime = Seconds(3);
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5;
/// A server that is asked for more gets at least this part of its limit.
constexpr double kMinUse = 0.8;
/// Set to print the figures of docs/design/routing.md.
constexpr char kPrintVariable[] = "IBIS_PRINT";

std::size_t AllowedInWindow(double limit) {
  return static_cast<std::size_t>(kAllowedFactor * limit * ToSeconds(kWindow) +
                                  kAllowedExtra);
}

struct FleetSize {
  int instances = 8;
  std::vector<int> servers;
};

const std::vector<FleetSize> kSizes = {{8, {3, 3}},
                                       {44, {4, 4, 3, 3}},
                                       {124, {6, 6, 6, 6}},
                                       {540, {4, 4, 4, 4, 4, 4}}};
constexpr std::array<double, 4> kLimits = {0.2, 1.8, 10, 50};

FleetSettings SettingsOf(const FleetSize& size, std::uint64_t seed = 1) {
  FleetSettings settings;
  settings.servers = size.servers;
  settings.instances_per_zone =
      size.instances / static_cast<int>(size.servers.size());
  settings.seed = seed;
  // So that slots do not limit more than the highest limit.
  settings.slots = 60;
  return settings;
}

void SetLimits(FleetSimulation& fleet, std::optional<double> limit) {
  for (auto& [name, server] : fleet.servers) {
    server.limit.reset();
    if (limit) server.limit = RequestsPerSecond(*limit);
  }
}

std::string Title(const FleetSize& size, double limit) {
  std::array<char, 64> buf{};
  std::snprintf(buf.data(), buf.size(), "%d instances, limit %.1f",
                size.instances, limit);
  return buf.data();
}

void Print(const std::string& line) {
  if (std::getenv(kPrintVariable) != nullptr) std::cout << "  " << line << "\n";
}

void ExpectAllowed(const FleetSimulation& fleet, const std::string& server,
                   double limit, TimePoint from) {
  const std::size_t most =
      MostSentWithin(fleet, server, kWindow, from, fleet.now);
  CPPUNIT_ASSERT_MESSAGE(server + ": " + std::to_string(most) +
                             " requests in 4 s, allowed " +
                             std::to_string(AllowedInWindow(limit)),
                         most <= AllowedInWindow(limit));
}

void ExpectUsed(const FleetSimulation& fleet, const std::string& server,
                double limit, TimePoint from) {
  const double seconds = ToSeconds(fleet.now - from);
  const auto sent =
      static_cast<double>(CountSent(fleet, server, from, fleet.now));
  CPPUNIT_ASSERT_MESSAGE(server + ": " + std::to_string(sent / seconds) +
                             " a second of " + std::to_string(limit),
                         sent >= kMinUse * limit * seconds - 2);
}

/// Runs until the bound holds. Returns that time.
TimePoint Settle(FleetSimulation& fleet, double requests_per_second) {
  Run(fleet, kSettleTime, requests_per_second);
  return fleet.now;
}

class ServerLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerLimitsTest);
  CPPUNIT_TEST(AllInstancesTogetherKeepALimit);
  CPPUNIT_TEST(AllServersLimited);
  CPPUNIT_TEST(CallersInOneZone);
  CPPUNIT_TEST(LimitsFallRiseAndEnd);
  CPPUNIT_TEST(InstancesRestartAndAreCutOff);
  CPPUNIT_TEST(EveryWayToAServerCounts);
  CPPUNIT_TEST(RequestsOfHigherPriorityComeFirst);
  CPPUNIT_TEST(KeepersThatDoNotReplyAreReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a server that gets far more requests than the limit that it
  /// names, since each of many instances sends it a few.
  void AllInstancesTogetherKeepALimit() {
    for (const FleetSize& size : kSizes) {
      for (const double limit : kLimits) {
        FleetSimulation fleet = MakeFleet(SettingsOf(size));
        const auto n = static_cast<double>(fleet.servers.size());
        // More than the highest limit for each server.
        const double rate = n * std::max(5.0, 1.2 * limit);
        Run(fleet, Seconds(2), rate);
        fleet.servers.at("a0").limit = RequestsPerSecond(limit);
        const TimePoint from = Settle(fleet, rate);
        Run(fleet, Seconds(10), rate);
        PrintFigures(fleet, Title(size, limit) + ", one server", from);
        Section(Title(size, limit), [&] {
          ExpectAllowed(fleet, "a0", limit, from);
          ExpectUsed(fleet, "a0", limit, from);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountAnswers(fleet, 503));
        });
      }
    }
  }

  /// Guards against servers that get too many requests, or hardly any, when no
  /// other server is left.
  void AllServersLimited() {
    for (const FleetSize& size : kSizes) {
      for (const double limit : kLimits) {
        FleetSimulation fleet = MakeFleet(SettingsOf(size));
        const auto n = static_cast<double>(fleet.servers.size());
        const double rate = 2 * n * limit;
        SetLimits(fleet, limit);
        Run(fleet, Seconds(1), std::max(rate, 5 * n));
        const TimePoint from = Settle(fleet, rate);
        Run(fleet, Seconds(20), rate);
        PrintFigures(fleet, Title(size, limit) + ", all servers", from);
        Section(Title(size, limit), [&] {
          std::size_t sent = 0;
          for (const auto& [name, server] : fleet.servers) {
            ExpectAllowed(fleet, name, limit, from);
            sent += CountSent(fleet, name, from, fleet.now);
          }
          Section("together they get what they name", [&] {
            CPPUNIT_ASSERT_MESSAGE(
                std::to_string(sent) + " of " + std::to_string(20 * n * limit),
                static_cast<double>(sent) >= kMinUse * 20 * n * limit);
          });
        });
      }
    }
  }

  /// Guards against shares of a limit that lie idle at instances without
  /// callers.
  void CallersInOneZone() {
    for (const FleetSize& size : kSizes) {
      FleetSettings settings = SettingsOf(size);
      settings.caller_zones = {"b"};
      FleetSimulation fleet = MakeFleet(settings);
      const auto n = static_cast<double>(fleet.servers.size());
      SetLimits(fleet, 1.8);
      const TimePoint from = Settle(fleet, n * 4);
      Run(fleet, Seconds(10), n * 4);
      Section(Title(size, 1.8), [&] {
        for (const auto& [name, server] : fleet.servers) {
          ExpectAllowed(fleet, name, 1.8, from);
          ExpectUsed(fleet, name, 1.8, from);
        }
      });
    }
  }

  void LimitsFallRiseAndEnd() {
    for (const FleetSize& size : kSizes) {
      FleetSimulation fleet = MakeFleet(SettingsOf(size));
      const auto n = static_cast<double>(fleet.servers.size());
      const double rate = n * 8;
      SetLimits(fleet, 4);
      TimePoint from = Settle(fleet, rate);
      Run(fleet, Seconds(5), rate);
      Section(Title(size, 4), [&] {
        ExpectAllowed(fleet, "a0", 4, from);
        ExpectUsed(fleet, "a0", 4, from);
      });
      SetLimits(fleet, 0.5);
      from = Settle(fleet, rate);
      Run(fleet, Seconds(5), rate);
      Section("it falls", [&] { ExpectAllowed(fleet, "a0", 0.5, from); });
      SetLimits(fleet, 6);
      from = Settle(fleet, rate);
      Run(fleet, Seconds(5), rate);
      Section("it rises", [&] {
        ExpectAllowed(fleet, "a0", 6, from);
        ExpectUsed(fleet, "a0", 6, from);
      });
      SetLimits(fleet, std::nullopt);
      Settle(fleet, rate);
      const std::size_t refused = CountAnswers(fleet, 503);
      Run(fleet, Seconds(5), rate);
      Section("it ends, and nobody is refused any more",
              [&] { CPPUNIT_ASSERT_EQUAL(refused, CountAnswers(fleet, 503)); });
    }
  }

  /// Guards against new, uninformed or isolated instances that each send a few
  /// requests more, and against keepers whose loss leaves servers idle.
  void InstancesRestartAndAreCutOff() {
    for (const FleetSize& size : kSizes) {
      FleetSimulation fleet = MakeFleet(SettingsOf(size));
      const auto n = static_cast<double>(fleet.servers.size());
      const double rate = n * 4;
      SetLimits(fleet, 1.8);
      TimePoint from = Settle(fleet, rate);
      Section(Title(size, 1.8), [&] {
        Section("instances restart in turn, keepers among them", [&] {
          for (std::size_t i = 0; i < 20; ++i) {
            RestartInstance(fleet, i % fleet.instances.size());
            Run(fleet, Millis(500), rate);
          }
          for (const auto& [name, server] : fleet.servers) {
            ExpectAllowed(fleet, name, 1.8, from);
          }
        });
        Section("instances are cut off from the others", [&] {
          for (std::size_t i = 0; i < fleet.instances.size() / 4; ++i) {
            fleet.cut_off.insert(i);
          }
          from = fleet.now;
          Run(fleet, Seconds(10), rate);
          std::size_t sent = 0;
          for (const auto& [name, server] : fleet.servers) {
            ExpectAllowed(fleet, name, 1.8, from);
            sent += CountSent(fleet, name, from, fleet.now);
          }
          // A quarter of the servers have a keeper that is cut off; their
          // fallback keepers admit a third of the limit.
          CPPUNIT_ASSERT_MESSAGE(
              std::to_string(sent),
              static_cast<double>(sent) >= 0.5 * 1.8 * n * 10);
        });
      });
    }
  }

  /// Guards against requests beyond the limit by retries, hedges and trials:
  /// servers fail and recover while they name it.
  void EveryWayToAServerCounts() {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      FleetSettings settings = SettingsOf(kSizes[1], seed);
      settings.slots = 4;
      settings.is_at_most_once_only = false;
      settings.idempotent_percent = 50;
      FleetSimulation fleet = MakeFleet(settings);
      const auto n = static_cast<double>(fleet.servers.size());
      const double rate = n * 4;
      for (const char* it : {"a0", "b1", "c2", "d0"}) {
        fleet.servers.at(it).limit = RequestsPerSecond(1.8);
      }
      const TimePoint from = Settle(fleet, rate);
      constexpr std::array kModes = {
          ServerMode::kAnswersErrors, ServerMode::kHealthy,
          ServerMode::kLosesRequests, ServerMode::kAnswersNothing};
      for (std::size_t i = 0; i < 12; ++i) {
        for (const char* it : {"a0", "b1", "a1"}) {
          fleet.servers.at(it).mode = kModes[i % kModes.size()];
        }
        Run(fleet, Seconds(2), rate);
      }
      Section("seed " + std::to_string(seed), [&] {
        for (const char* it : {"a0", "b1", "c2", "d0"}) {
          ExpectAllowed(fleet, it, 1.8, from);
        }
      });
    }
  }

  void RequestsOfHigherPriorityComeFirst() {
    for (const FleetSize& size : kSizes) {
      FleetSettings settings = SettingsOf(size);
      settings.low_priority_percent = 50;
      FleetSimulation fleet = MakeFleet(settings);
      const auto n = static_cast<double>(fleet.servers.size());
      SetLimits(fleet, 2);
      Settle(fleet, n * 3);
      const double served = Served(fleet, false);
      const double low_served = Served(fleet, true);
      Run(fleet, Seconds(20), n * 3);
      const double high = (Served(fleet, false) - served) / (n * 1.5 * 20);
      const double low = (Served(fleet, true) - low_served) / (n * 1.5 * 20);
      Print(Title(size, 2) + ": served " + std::to_string(high) + " of high, " +
            std::to_string(low) + " of low priority");
      Section(Title(size, 2), [&] {
        CPPUNIT_ASSERT_MESSAGE(std::to_string(high), high > 0.9);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(low), low < 0.5);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(low), low > 0.1);
      });
    }
  }

  /// Guards against calls that wait for a keeper that is gone.
  void KeepersThatDoNotReplyAreReplaced() {
    FleetSettings settings = SettingsOf(kSizes[0]);
    FleetSimulation fleet = MakeFleet(settings);
    SetLimits(fleet, 5);
    Settle(fleet, 40);
    for (std::size_t i = 1; i < fleet.instances.size(); ++i) {
      fleet.cut_off.insert(i);
    }
    Run(fleet, Millis(500), 40);
    ForwarderFixture& instance = fleet.instances[0];
    const CallId call = Arrive(instance, "/work/1");
    Advance(instance, Millis(300));
    Section("a call ends although nobody replies", [&] {
      const bool is_sent = AttemptsOf(instance, call) == 1;
      CPPUNIT_ASSERT(is_sent || instance.answers.contains(call));
    });
  }

 private:
  static double Served(const FleetSimulation& fleet, bool is_low) {
    return static_cast<double>(CountAnswers(fleet, 200, is_low));
  }

  static void PrintFigures(const FleetSimulation& fleet,
                           const std::string& title, TimePoint from) {
    std::size_t most = 0;
    std::size_t sent = 0;
    std::size_t limited = 0;
    for (const auto& [name, server] : fleet.servers) {
      if (!server.limit) continue;
      ++limited;
      most =
          std::max(most, MostSentWithin(fleet, name, kWindow, from, fleet.now));
      sent += CountSent(fleet, name, from, fleet.now);
    }
    const double seconds = ToSeconds(fleet.now - from);
    Print(title + ": most in 4 s " + std::to_string(most) + ", a second " +
          std::to_string(static_cast<double>(sent) / seconds /
                         static_cast<double>(limited)) +
          ", messages for permits " + std::to_string(fleet.permit_messages) +
          ", sent " + std::to_string(fleet.sent.size()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitsTest);

}  // namespace
}  // namespace ibisladder::gateway
