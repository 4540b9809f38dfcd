// A real instance of little memory before servers or a store that send without
// end.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/auto/support/endless_server.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"
#include "tests/process/child_process.h"
#include "tests/process/entry_fleet.h"
#include "tests/process/entry_setup.h"

namespace ibisladder::process {
namespace {

using testing::EndlessAnswer;
using testing::EndlessServer;
using testing::Section;

constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
/// Memory of the smallest instances on the users' sheets.
constexpr std::size_t kInstanceMemory = 160 * kMegabyte;
constexpr int kFaultyServers = 48;

/// Endless answers of all kinds, and whole answers with bytes without end
/// behind them.
std::vector<EndlessAnswer> AllKinds() {
  std::vector<EndlessAnswer> answers = testing::EndlessAnswers();
  for (auto& it : testing::EndlessBytesBehindAnswers()) answers.push_back(it);
  return answers;
}

class EntryEndlessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryEndlessTest);
  CPPUNIT_TEST(ManyServersWithoutEndStayWithinTheMemory);
  CPPUNIT_TEST(StoreWithoutEndStaysWithinTheMemory);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against an instance that runs out of memory, and ends the requests
  /// of all its callers, since several servers send without end.
  void ManyServersWithoutEndStayWithinTheMemory() {
    CheckServers("all kinds", AllKinds());
    CheckServers("bodies without a length",
                 {{"", "HTTP/1.1 200 OK\r\n\r\n", "x"}});
    CheckServers("bodies of a huge length",
                 {{"",
                   "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
                   "Content-Length: 999999999999999\r\n\r\n",
                   "x"}});
  }

  /// Guards against the same where the store does.
  void StoreWithoutEndStaysWithinTheMemory() {
    std::signal(SIGPIPE, SIG_IGN);
    const testing::PortRange ports;
    const auto at = [&](int i) { return Endpoint{"127.0.0.1", ports.At(i)}; };
    int port = 0;
    for (const auto& answer : AllKinds()) {
      const std::string title = answer.title;
      const bool is_body = title.find("body") != std::string::npos;
      if (!is_body && title != "chunks" && title != "interim answers") continue;
      Section(answer.title, [&] {
        auto loop = std::move(*net::EventLoop::Create());
        const EndlessServer store(*loop, at(port), answer);
        std::string pattern =
            (std::filesystem::temp_directory_path() / "endless-XXXXXX")
                .string();
        const std::string directory = mkdtemp(pattern.data());
        WriteSettings(directory + "/n1.toml", "n1",
                      {at(port + 1), at(port + 2), at(port + 3), at(port),
                       ports.At(port + 4)});
        ChildProcess instance({IBIS_BIN_DIR "/ibisladder-entry",
                               "--settings=" + directory + "/n1.toml"},
                              directory + "/n1.out", directory + "/n1.log");
        const net::Timer end(*loop, net::Timer::Kind::kOnce, Seconds(4),
                             [&] { loop->Stop(); });
        loop->Run();
        const std::size_t peak = instance.PeakMemory();
        const bool has_ended =
            instance.Wait(std::chrono::milliseconds(0)).has_value();
        std::filesystem::remove_all(directory);
        std::cout << "  store, " << title << ": " << store.sent() / kMegabyte
                  << " MB sent, peak " << peak / kMegabyte << " MB\n";
        CPPUNIT_ASSERT(!has_ended);
        CPPUNIT_ASSERT(store.closed() > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(peak),
                               peak > 0 && peak < kInstanceMemory);
      });
      port += 5;
    }
  }

 private:
  static void CheckServers(const char* title,
                           const std::vector<EndlessAnswer>& answers) {
    Section(title, [&] {
      EntryFleet fleet({1, 6, 100, {}, {}});
      fleet.Run(Seconds(1));
      fleet.RunUntilSettled();
      const std::size_t usual_memory = fleet.PeakMemory(1);
      const TimePoint from = net::MonotonicNow();
      std::vector<std::unique_ptr<EndlessServer>> servers;
      for (int i = 0; i < kFaultyServers; ++i) {
        const Endpoint endpoint = fleet.UnusedEndpoint(i);
        servers.push_back(std::make_unique<EndlessServer>(
            fleet.loop(), endpoint, answers[i % answers.size()]));
        fleet.ListServer("endless-" + std::to_string(i), endpoint);
      }
      fleet.Run(Seconds(5));
      fleet.RunUntilSettled();
      std::size_t sent = 0;
      for (const auto& it : servers) sent += it->sent();
      std::map<int, int> statuses;
      for (const FleetCall& it : fleet.CallsSince(from)) ++statuses[it.status];
      const std::size_t peak = fleet.PeakMemory(1);
      std::cout << "  " << title << ": " << sent / kMegabyte
                << " MB sent, peak " << peak / kMegabyte
                << " MB (before: " << usual_memory / kMegabyte << ")\n";
      for (const auto& [status, n] : statuses) {
        std::cout << "    status " << status << ": " << n << "\n";
      }
      CPPUNIT_ASSERT(fleet.IsRunning(1));
      CPPUNIT_ASSERT(sent > 0);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(peak), peak < kInstanceMemory);
      CPPUNIT_ASSERT(statuses[200] > 0);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryEndlessTest);

}  // namespace
}  // namespace ibisladder::process
