// Instances of one zone before a store that is away for some seconds: one of
// them watches the lists, and the other one takes over.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <vector>

#include "platform/store_client.h"
#include "platform/wire_names.h"
#include "plugins/fleet/fleet_task.h"
#include "tests/auto/platform/store_entries.h"
#include "tests/auto/platform/store_standin.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::platform {
namespace {

using ibisladder::testing::Section;

const ibisladder::testing::PortRange kPorts;
constexpr int kStoreOffset = 1;
constexpr int kFirstPeerOffset = 2;
constexpr int kInstances = 2;

/// The instances, and which servers each of them uses.
class Zone {
 public:
  explicit Zone(const std::vector<std::string>& servers) {
    for (const auto& it : servers) Put(it, "ready", 1);
    for (int i = 0; i < kInstances; ++i) {
      fleet::FleetTask::Options options;
      options.self.name = "n" + std::to_string(i);
      options.self.zone = ZoneName("a");
      options.self.peer_endpoint = {"127.0.0.1",
                                    kPorts.At(kFirstPeerOffset + i)};
      options.schema = MakeSchema();
      tasks_.push_back(std::move(*fleet::FleetTask::Create(
          *loop_, options, std::make_unique<StoreClient>(*loop_, endpoint_))));
      tasks_.back()->signal_servers().connect(
          [this, i](const std::vector<gateway::ServerEntry>& it) {
            usable[i].clear();
            for (const auto& entry : it) {
              if (entry.draining) continue;
              usable[i].insert(entry.name);
              used_since_reset.insert(entry.name);
            }
          });
    }
  }

  void Put(const std::string& name, const char* state, int sequence) {
    store.Put(ServerKey(name), ServerValue(state, sequence));
  }
  void Run(Duration time) {
    const net::Timer end(*loop_, net::Timer::Kind::kOnce, time,
                         [this] { loop_->Stop(); });
    loop_->Run();
  }
  template <typename Condition>
  bool RunUntil(const Condition& condition) {
    constexpr int kMaxRuns = 200;
    for (int i = 0; i < kMaxRuns && !condition(); ++i) Run(Millis(50));
    return condition();
  }
  bool AllUse(const std::set<std::string>& servers) {
    return RunUntil([&] {
      return std::ranges::all_of(usable,
                                 [&](const auto& it) { return it == servers; });
    });
  }
  int Watchers() const {
    return static_cast<int>(std::ranges::count_if(
        tasks_, [](const auto& it) { return it->is_watching(); }));
  }

  std::array<std::set<std::string>, kInstances> usable;
  std::set<std::string> used_since_reset;

 private:
  std::unique_ptr<net::EventLoop> loop_ = std::move(*net::EventLoop::Create());
  Endpoint endpoint_{"127.0.0.1", kPorts.At(kStoreOffset)};

 public:
  StoreStandin store{*loop_, endpoint_};

 private:
  std::vector<std::unique_ptr<fleet::FleetTask>> tasks_;
};

class StoreOutageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreOutageTest);
  CPPUNIT_TEST(InstanceThatTakesOverForgetsServersThatHaveLeft);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against requests to servers that left long ago: after an outage, an
  /// instance that takes over the watch keeps for a while what the new list
  /// lacks, as far as it had read the list itself.
  void InstanceThatTakesOverForgetsServersThatHaveLeft() {
    Zone zone({"a", "b", "c"});
    CPPUNIT_ASSERT(zone.AllUse({"a", "b", "c"}));
    CPPUNIT_ASSERT(zone.RunUntil([&] { return zone.Watchers() == 1; }));
    zone.Put("b", "draining", 2);
    zone.store.Remove(ServerKey("a"));
    CPPUNIT_ASSERT(zone.AllUse({"c"}));
    zone.store.set_mode(StoreStandin::Mode::kBusy);
    zone.Run(Seconds(4));
    zone.used_since_reset.clear();
    zone.store.Remove(ServerKey("b"));
    zone.store.Remove(ServerKey("c"));
    zone.Put("d", "ready", 1);
    zone.store.set_mode(StoreStandin::Mode::kServing);
    CPPUNIT_ASSERT(zone.RunUntil([&] { return zone.Watchers() == 2; }));
    zone.Run(Seconds(1));
    Section("a server that had left stays away",
            [&] { CPPUNIT_ASSERT(!zone.used_since_reset.contains("a")); });
    Section("so does one that was draining",
            [&] { CPPUNIT_ASSERT(!zone.used_since_reset.contains("b")); });
    Section("one whose entry expired in the outage is kept for a while", [&] {
      for (const auto& it : zone.usable) {
        CPPUNIT_ASSERT(it == (std::set<std::string>{"c", "d"}));
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreOutageTest);

}  // namespace
}  // namespace ibisladder::platform
