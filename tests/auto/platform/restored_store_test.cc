// An instance before a store that is restored from an older copy: revisions and
// leases are given out again, and what was written since the copy is gone until
// it is written again.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

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
using nlohmann::json;

const ibisladder::testing::PortRange kPorts;
constexpr int kStoreOffset = 1;
constexpr int kPeerOffset = 2;
/// Time in which a version must be in force everywhere.
constexpr Duration kInForce = Seconds(2);

std::string ConfigurationValue(int version) {
  const json route = {{"entry_kind", "routes"},
                      {"meta", {{"name", "r"}}},
                      {"spec",
                       {{"host", "h"},
                        {"prefix", "/a/"},
                        {"kind", "idempotent"},
                        {"timeout_s", version},
                        {"target_latency_s", 1},
                        {"max_attempts", 2},
                        {"service", "s"}}}};
  const json service = {{"entry_kind", "services"},
                        {"meta", {{"name", "s"}}},
                        {"spec", {{"health_path", "/healthz"}}}};
  return json{{"version", version}, {"resources", {route, service}}}.dump();
}

fleet::FleetTask::Options MakeOptions() {
  fleet::FleetTask::Options options;
  options.self.name = "n1";
  options.self.zone = ZoneName("a");
  options.self.peer_endpoint = {"127.0.0.1", kPorts.At(kPeerOffset)};
  options.schema = MakeSchema();
  return options;
}

/// The store, and an instance that watches it for its zone.
class Instance {
 public:
  Instance() {
    store.Put(kConfigurationKey, ConfigurationValue(1));
    task_ = std::move(*fleet::FleetTask::Create(
        *loop_, MakeOptions(), std::make_unique<StoreClient>(*loop_, store_)));
    task_->signal_configuration().connect(
        [this](const gateway::ConfigurationPtr& it) {
          version = std::max(version, static_cast<int>(it->version.value()));
        });
    task_->signal_servers().connect(
        [this](const std::vector<gateway::ServerEntry>& it) {
          servers = it;
          if (is_observing) NoteUsable();
        });
  }

  /// Runs until the condition holds, for the time at most. Returns whether it
  /// does.
  template <typename Condition>
  bool RunUntil(const Condition& condition, Duration time) {
    bool holds = condition();
    const net::Timer poll(*loop_, net::Timer::Kind::kPeriodic, Millis(5), [&] {
      holds = condition();
      if (holds) loop_->Stop();
    });
    const net::Timer end(*loop_, net::Timer::Kind::kOnce, time,
                         [&] { loop_->Stop(); });
    if (!holds) loop_->Run();
    return holds;
  }
  void Run(Duration time) {
    RunUntil([] { return false; }, time);
  }
  bool InstallsVersion(int wanted) {
    return RunUntil([&] { return version == wanted; }, kInForce);
  }
  /// Puts a server's entry and waits until it is known as draining or not.
  void PutServer(const std::string& name, bool is_draining, int sequence) {
    store.Put(ServerKey(name),
              ServerValue(is_draining ? "draining" : "ready", sequence));
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          const auto* it = Find(name);
          return it != nullptr && it->draining == is_draining;
        },
        Seconds(5)));
  }
  const gateway::ServerEntry* Find(const std::string& name) const {
    const auto it =
        std::ranges::find(servers, name, &gateway::ServerEntry::name);
    return it == servers.end() ? nullptr : &*it;
  }
  /// The store is away for a moment, and is back from its copy.
  void Drill() {
    store.set_mode(StoreStandin::Mode::kBusy);
    Run(Millis(500));
    store.Restore();
    store.set_mode(StoreStandin::Mode::kServing);
  }
  /// Notes from now on which servers were usable at any time.
  void Observe() {
    is_observing = true;
    NoteUsable();
  }

  int version = 0;
  std::vector<gateway::ServerEntry> servers;
  bool is_observing = false;
  std::vector<std::string> usable;

 private:
  void NoteUsable() {
    for (const auto& it : servers) {
      if (!it.draining) usable.push_back(it.name);
    }
  }

  std::unique_ptr<net::EventLoop> loop_ = std::move(*net::EventLoop::Create());
  Endpoint store_{"127.0.0.1", kPorts.At(kStoreOffset)};

 public:
  StoreStandin store{*loop_, store_};

 private:
  std::unique_ptr<fleet::FleetTask> task_;
};

class RestoredStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredStoreTest);
  CPPUNIT_TEST(VersionsAfterARestoreAreInForceInTime);
  CPPUNIT_TEST(ServersThatHaveLeftDoNotComeBack);
  CPPUNIT_TEST(InstanceRegistersAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a configuration that is never in force, since its revision
  /// is lower than one of before the restore.
  void VersionsAfterARestoreAreInForceInTime() {
    Instance it;
    CPPUNIT_ASSERT(it.InstallsVersion(1));
    it.store.MakeCopy();
    for (int version = 2; version <= 7; ++version) {
      it.store.Put(kConfigurationKey, ConfigurationValue(version));
      CPPUNIT_ASSERT(it.InstallsVersion(version));
    }
    Section("the older copy is not put in force", [&] {
      it.Drill();
      it.Run(Seconds(1));
      CPPUNIT_ASSERT_EQUAL(7, it.version);
    });
    it.store.Put(kConfigurationKey, ConfigurationValue(7));
    it.Run(Seconds(1));
    Section("the next version is in force in time", [&] {
      it.store.Put(kConfigurationKey, ConfigurationValue(8));
      CPPUNIT_ASSERT(it.InstallsVersion(8));
    });
    Section("and those after a second restore, too", [&] {
      it.store.MakeCopy();
      it.store.Put(kConfigurationKey, ConfigurationValue(9));
      CPPUNIT_ASSERT(it.InstallsVersion(9));
      it.Drill();
      it.Run(Seconds(1));
      it.store.Put(kConfigurationKey, ConfigurationValue(10));
      CPPUNIT_ASSERT(it.InstallsVersion(10));
    });
  }

  /// Guards against requests to servers that have left, since the copy lists
  /// them as they were, and against new ones that are not noticed.
  void ServersThatHaveLeftDoNotComeBack() {
    Instance it;
    for (const char* name : {"drains", "drained", "ends", "stays"}) {
      it.PutServer(name, false, 1);
    }
    it.store.MakeCopy();
    it.PutServer("drains", true, 2);
    it.PutServer("drained", true, 2);
    it.store.Remove(ServerKey("drained"));
    it.store.Remove(ServerKey("ends"));
    CPPUNIT_ASSERT(it.RunUntil(
        [&] { return it.Find("drained") == nullptr && !it.Find("ends"); },
        Seconds(5)));
    it.PutServer("new", false, 1);
    it.Observe();
    it.usable.clear();
    it.Drill();
    Section("until their leaving is written again", [&] {
      it.Run(Seconds(1));
      for (const char* name : {"drains", "drained", "ends"}) {
        CPPUNIT_ASSERT_MESSAGE(
            name, std::ranges::find(it.usable, name) == it.usable.end());
      }
    });
    Section("servers that are written again are used", [&] {
      it.PutServer("new", false, 2);
      it.PutServer("ends", false, 2);
    });
    Section("servers that end afterwards are noticed in time", [&] {
      it.store.Remove(ServerKey("stays"));
      CPPUNIT_ASSERT(
          it.RunUntil([&] { return it.Find("stays") == nullptr; }, kInForce));
    });
  }

  /// Guards against an instance that is missing in the list of instances, or
  /// ends the lease of another one, since its lease is given out again.
  void InstanceRegistersAgain() {
    const std::string key = std::string(kMembersPrefix) + "n1";
    std::optional<Instance> it(std::in_place);
    it->store.MakeCopy();
    CPPUNIT_ASSERT(
        it->RunUntil([&] { return it->store.Has(key); }, Seconds(3)));
    it->Drill();
    CPPUNIT_ASSERT(!it->store.Has(key));
    const std::uint64_t lease = it->store.GrantLease();
    it->store.Put("other", "value", lease);
    CPPUNIT_ASSERT(
        it->RunUntil([&] { return it->store.Has(key); }, Seconds(3)));
    it->store.EndLease(lease);
    CPPUNIT_ASSERT(it->store.Has(key));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreTest);

}  // namespace
}  // namespace ibisladder::platform
