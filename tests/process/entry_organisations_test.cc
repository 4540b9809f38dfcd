// Checks on loopback that real instances run requests for the organisation that
// holds their key, and refuse removed keys in time, also without the store.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>

#include "libs/net/http_client.h"
#include "libs/net/http_server.h"
#include "platform/wire_names.h"
#include "tests/auto/platform/store_standin.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"
#include "tests/process/child_process.h"
#include "tests/process/entry_setup.h"

namespace ibisladder::process {
namespace {

using testing::Section;
using Keys = std::map<std::string, std::vector<std::string>>;

constexpr int kInstances = 3;
constexpr int kServerOffset = 1;
constexpr int kFirstInstanceOffset = 10;
/// Callers, ready, directory, peers.
constexpr int kPortsPerInstance = 4;
constexpr Duration kRevocation = Seconds(2);
constexpr Duration kReadyTimeout = Seconds(15);
constexpr char kHost[] = "127.0.0.1";
constexpr char kKey[] = "key-of-acme-41d7";
constexpr char kOtherKey[] = "key-of-bolt-93c2";

/// Instances, a backend server that keeps the fields of its requests, and the
/// store's stand-in, which can be stopped.
class Fleet {
 public:
  explicit Fleet(const Keys& keys) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "keys-XXXXXX").string();
    directory_ = mkdtemp(pattern.data());
    client_.signal_answer().connect([this](net::HttpAnswer& it) {
      status_ = it.status;
      loop_->Stop();
    });
    client_.signal_error().connect([this](const net::HttpError&) {
      status_ = 0;
      loop_->Stop();
    });
    server_->signal_request().connect(
        [this](net::HttpRequest& it) { Serve(it); });
    StartStore(1, keys);
    for (int i = 0; i < kInstances; ++i) instances_.push_back(MakeInstance(i));
    for (int i = 0; i < kInstances; ++i) AwaitReady(i);
    // The first watcher of the zone is known then.
    Run(Seconds(2));
  }
  ~Fleet() {
    std::error_code ec;
    std::filesystem::remove_all(directory_, ec);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void StartStore(int version, const Keys& keys) {
    store_ = std::make_unique<platform::StoreStandin>(*loop_, At(0));
    // Beyond the revisions of the store that this one replaces.
    for (int i = 0; i < 100 * (version - 1); ++i) store_->Put("padding", "");
    store_->Put(std::string(platform::kServersPrefix) + "s1",
                ServerValue(At(kServerOffset), 50));
    Configure(version, keys);
  }
  void StopStore() { store_.reset(); }
  void Configure(int version, const Keys& keys) {
    store_->Put(platform::kConfigurationKey,
                ConfigurationWithOrganisations(kHost, version, keys));
  }

  void Run(Duration time) {
    const net::Timer end(*loop_, net::Timer::Kind::kOnce, time,
                         [this] { loop_->Stop(); });
    loop_->Run();
  }

  /// The store is away and comes back from its copy, while the instances of the
  /// list are killed and started again.
  void RestoreStoreAndRestart(const std::vector<int>& restarted) {
    store_->set_mode(platform::StoreStandin::Mode::kBusy);
    for (const int i : restarted) Restart(i);
    Run(Millis(300));
    store_->Restore();
    store_->set_mode(platform::StoreStandin::Mode::kServing);
  }
  void MakeCopyOfStore() { store_->MakeCopy(); }
  void Restart(int i) {
    instances_[i].Signal(SIGKILL);
    instances_[i].Wait(std::chrono::seconds(5));
    instances_[i] = MakeInstance(i);
  }
  void AwaitReady(int i) {
    const TimePoint end = net::MonotonicNow() + kReadyTimeout;
    do {
      Run(Millis(50));
      net::HttpCall call;
      call.id = ++last_call_;
      call.endpoint = Port(i, 1);
      call.target = platform::kReadyPath;
      client_.Send(call);
      loop_->Run();
      CPPUNIT_ASSERT(net::MonotonicNow() < end);
    } while (status_ != 200);
  }

  /// Returns the status of the answer; 0 without one.
  int Ask(int instance, const std::string& target, net::Headers headers) {
    net::HttpCall call;
    call.id = ++last_call_;
    call.endpoint = Port(instance, 0);
    call.target = target;
    call.headers = std::move(headers);
    call.headers.emplace_back("X-Request-Id",
                              "call-" + std::to_string(last_call_));
    client_.Send(call);
    loop_->Run();
    return status_;
  }
  int AskWith(int instance, const std::string& key) {
    return Ask(instance, "/charge/1", {{"X-Api-Key", key}});
  }

  /// Fields of the last request that reached the server.
  net::Headers received;

  std::string Logs() const {
    std::string text;
    for (int i = 0; i < kInstances; ++i) {
      text += ReadFile(File(i, ".log")) + ReadFile(File(i, ".out"));
    }
    return text;
  }

 private:
  Endpoint At(int offset) const { return {kHost, ports_.At(offset)}; }
  Endpoint Port(int instance, int n) const {
    return At(kFirstInstanceOffset + instance * kPortsPerInstance + n);
  }
  std::string File(int instance, const char* ending) const {
    return directory_ + "/n" + std::to_string(instance) + ending;
  }

  void Serve(net::HttpRequest& it) {
    received = it.headers;
    const auto* id = net::FindHeader(it.headers, "X-Request-Id");
    server_->Reply(it.id, 200,
                   {{"X-Response-Signature", "s"},
                    {"X-Request-Id", id == nullptr ? "" : *id}},
                   "done");
  }

  ChildProcess MakeInstance(int i) const {
    const std::string settings = File(i, ".toml");
    WriteSettings(settings, "n" + std::to_string(i),
                  {Port(i, 0), Port(i, 1), Port(i, 2), At(0), Port(i, 3).port});
    std::ofstream(settings, std::ios::app)
        << "[terms.bounds]\nstrict_revoke = true\nrevoke_s = "
        << ToSeconds(kRevocation) << "\n";
    return {{IBIS_BIN_DIR "/ibisladder-entry", "--settings=" + settings},
            File(i, ".out"),
            File(i, ".log")};
  }

  testing::PortRange ports_;
  std::string directory_;
  std::unique_ptr<net::EventLoop> loop_ = std::move(*net::EventLoop::Create());
  net::HttpClient client_{*loop_};
  std::unique_ptr<net::HttpServer> server_ =
      std::move(*net::HttpServer::Listen(*loop_, At(kServerOffset), {}));
  std::unique_ptr<platform::StoreStandin> store_;
  std::vector<ChildProcess> instances_;
  std::uint64_t last_call_ = 0;
  int status_ = 0;
};

class EntryOrganisationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryOrganisationsTest);
  CPPUNIT_TEST(KeysDecideAndAreRefusedInTime);
  CPPUNIT_TEST(StartedInstancesRefuseKeysThatARestoredStoreStillHas);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against requests that run without a key, for another organisation
  /// or with a key that was removed while the instances had no store.
  void KeysDecideAndAreRefusedInTime() {
    Fleet fleet({{"acme", {kKey}}, {"bolt", {kOtherKey}}});
    const auto value = [&](const char* name) {
      const auto* it = net::FindHeader(fleet.received, name);
      return it == nullptr ? std::string("none") : *it;
    };
    Section("the server is told the organisation, and no key", [&] {
      for (int i = 0; i < kInstances; ++i) {
        CPPUNIT_ASSERT_EQUAL(200, fleet.Ask(i, "/browse/1",
                                            {{"x-tenant", "bolt"},
                                             {"X-Api-Key", kKey},
                                             {"X-TENANT", "bolt"}}));
        CPPUNIT_ASSERT_EQUAL(std::string("acme"), value("X-Tenant"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), value("X-Api-Key"));
      }
    });
    Section("requests without a known key do not run", [&] {
      fleet.received.clear();
      CPPUNIT_ASSERT_EQUAL(401, fleet.Ask(0, "/charge/1", {}));
      CPPUNIT_ASSERT_EQUAL(401, fleet.AskWith(1, "unknown"));
      CPPUNIT_ASSERT_EQUAL(
          401, fleet.Ask(2, "/browse/1",
                         {{"X-Api-Key", kKey}, {"X-Api-Key", kKey}}));
      CPPUNIT_ASSERT(fleet.received.empty());
    });
    Section("a public route needs none", [&] {
      CPPUNIT_ASSERT_EQUAL(200,
                           fleet.Ask(0, "/open/1", {{"X-Tenant", "acme"}}));
      CPPUNIT_ASSERT_EQUAL(std::string("none"), value("X-Tenant"));
    });
    Section("a removed key is refused at once while the store is there", [&] {
      fleet.Configure(2, {{"bolt", {kOtherKey}}});
      fleet.Run(Seconds(1));
      for (int i = 0; i < kInstances; ++i) {
        CPPUNIT_ASSERT_EQUAL(401, fleet.AskWith(i, kKey));
        CPPUNIT_ASSERT_EQUAL(200, fleet.AskWith(i, kOtherKey));
      }
    });
    const TimePoint stopped_at = net::MonotonicNow();
    fleet.StopStore();
    Section("without the store keys are accepted, but not for long", [&] {
      while (net::MonotonicNow() - stopped_at < kRevocation) {
        for (int i = 0; i < kInstances; ++i) {
          const Duration sent = net::MonotonicNow() - stopped_at;
          const int status = fleet.AskWith(i, kOtherKey);
          const bool must_serve = sent < kRevocation / 2;
          CPPUNIT_ASSERT(status == 200 || (status == 503 && !must_serve));
        }
        fleet.Run(Millis(100));
      }
      for (int i = 0; i < kInstances; ++i) {
        CPPUNIT_ASSERT_EQUAL(503, fleet.AskWith(i, kOtherKey));
        CPPUNIT_ASSERT_EQUAL(503, fleet.AskWith(i, "unknown"));
        CPPUNIT_ASSERT_EQUAL(200, fleet.Ask(i, "/open/1", {}));
      }
    });
    Section("when it is back, the newest configuration decides", [&] {
      fleet.StartStore(3, {{"acme", {kKey}}});
      fleet.Run(Seconds(3));
      for (int i = 0; i < kInstances; ++i) {
        CPPUNIT_ASSERT_EQUAL(401, fleet.AskWith(i, kOtherKey));
        CPPUNIT_ASSERT_EQUAL(200, fleet.AskWith(i, kKey));
      }
    });
    Section("the logs explain it without a key", [&] {
      const std::string logs = fleet.Logs();
      for (const char* it : {"key_refused", "keys_unverified", "keys_verified"})
        CPPUNIT_ASSERT_MESSAGE(it, logs.find(it) != std::string::npos);
      for (const char* it : {kKey, kOtherKey})
        CPPUNIT_ASSERT_MESSAGE(it, logs.find(it) == std::string::npos);
    });
  }

  /// Guards against a removed key that runs at a process that has started after
  /// the store came back from a copy that still has the key.
  void StartedInstancesRefuseKeysThatARestoredStoreStillHas() {
    const Keys before = {{"acme", {kKey, kOtherKey}}};
    const Keys after = {{"acme", {kKey}}};
    Fleet fleet(before);
    int version = 1;
    const auto remove_key_and_restore = [&](const std::vector<int>& restarted) {
      fleet.MakeCopyOfStore();
      fleet.Configure(++version, after);
      fleet.Run(kRevocation + Millis(500));
      fleet.RestoreStoreAndRestart(restarted);
    };
    const auto refuses_removed_key = [&](int instance) {
      const int status = fleet.AskWith(instance, kOtherKey);
      return status != 200;
    };
    const auto accepts_key = [&](int instance, Duration time) {
      const TimePoint end = net::MonotonicNow() + time;
      while (fleet.AskWith(instance, kKey) != 200) {
        if (net::MonotonicNow() > end) return false;
        fleet.Run(Millis(50));
      }
      return true;
    };
    // Until the operator writes the version again.
    constexpr Duration kUntilWritten = Millis(1500);
    // One of them watches the store for the others.
    for (int i = 0; i < kInstances; ++i) {
      Section("while other instances know the version that was lost", [&] {
        fleet.Configure(++version, before);
        fleet.Run(Seconds(1));
        remove_key_and_restore({i});
        const TimePoint end = net::MonotonicNow() + kUntilWritten;
        while (net::MonotonicNow() < end) {
          CPPUNIT_ASSERT(refuses_removed_key(i));
          fleet.Run(Millis(20));
        }
      });
      Section("and it serves with the version that is written again", [&] {
        fleet.Configure(version, after);
        CPPUNIT_ASSERT(accepts_key(i, Seconds(2)));
        CPPUNIT_ASSERT_EQUAL(401, fleet.AskWith(i, kOtherKey));
      });
    }
    Section("a later start, while the store is sound, costs nothing", [&] {
      // Longer than the time in which a restored store is doubted.
      fleet.Run(Seconds(11));
      fleet.Restart(1);
      fleet.AwaitReady(1);
      CPPUNIT_ASSERT_EQUAL(200, fleet.AskWith(1, kKey));
    });
    Section("nor does one of all instances at the same time", [&] {
      for (int i = 0; i < kInstances; ++i) fleet.Restart(i);
      for (int i = 0; i < kInstances; ++i) {
        fleet.AwaitReady(i);
        CPPUNIT_ASSERT_EQUAL(200, fleet.AskWith(i, kKey));
      }
      fleet.Run(Seconds(2));
    });
    Section("when all instances were started again, until it is written", [&] {
      fleet.Configure(++version, before);
      fleet.Run(Seconds(1));
      remove_key_and_restore({0, 1, 2});
      const TimePoint end = net::MonotonicNow() + kUntilWritten;
      while (net::MonotonicNow() < end) {
        for (int i = 0; i < kInstances; ++i)
          CPPUNIT_ASSERT(refuses_removed_key(i));
        fleet.Run(Millis(20));
      }
      fleet.Configure(version, after);
      for (int i = 0; i < kInstances; ++i) {
        CPPUNIT_ASSERT(accepts_key(i, Seconds(15)));
        CPPUNIT_ASSERT_EQUAL(401, fleet.AskWith(i, kOtherKey));
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryOrganisationsTest);

}  // namespace
}  // namespace ibisladder::process
