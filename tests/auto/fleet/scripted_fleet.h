#ifndef TESTS_AUTO_FLEET_SCRIPTED_FLEET_H_
#define TESTS_AUTO_FLEET_SCRIPTED_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plugins/fleet/datagrams.h"
#include "plugins/fleet/fleet_task.h"

/// An instance before a store that replies as a script says.
namespace ibisladder::fleet {

constexpr char kConfigurationPrefix[] = "op/";
/// Index of the instance's port for datagrams.
constexpr int kInstancePort = 1;

struct ScriptedReply {
  storesync::Reply reply;
  Duration delay = Millis(1);
  /// Bytes of it arrive all the time until it is complete.
  bool arrives_slowly = false;
  std::optional<storesync::StoreEra> era;
};

/// Replies to each call with the script's result; without one the call stays
/// open.
class ScriptedStore : public KvTransport {
 public:
  using Script =
      std::function<std::optional<ScriptedReply>(const storesync::Call&)>;

  ScriptedStore(net::EventLoop& loop, Script script)
      : loop_(loop), script_(std::move(script)) {}

  void Send(std::uint64_t id, const storesync::Call& call) override {
    const auto it = script_(call);
    if (!it) return;
    if (it->arrives_slowly) arriving_.emplace(id, net::MonotonicNow());
    timers_[id] = std::make_unique<net::Timer>(
        loop_, net::Timer::Kind::kOnce, it->delay,
        [this, id, reply = it->reply, era = it->era] {
          signal_reply().emit(id, reply, era);
        });
  }
  void Cancel(std::uint64_t id) override { timers_.erase(id); }
  std::size_t ReceivedBytes(std::uint64_t id) const override {
    const auto it = arriving_.find(id);
    if (it == arriving_.end()) return 0;
    return static_cast<std::size_t>(ToMillis(net::MonotonicNow() - it->second));
  }

 private:
  net::EventLoop& loop_;
  Script script_;
  std::map<std::uint64_t, std::unique_ptr<net::Timer>> timers_;
  /// When the replies that arrive slowly began.
  std::map<std::uint64_t, TimePoint> arriving_;
};

Expected<gateway::Configuration> ParseConfiguration(std::string_view value);

/// Returns a port of the program's range. kInstancePort is the instance's.
std::uint16_t PortAt(int index);
FleetTask::Options MakeOptions(const std::string& name, int port);

bool IsConfigurationList(const storesync::Call& call);
bool IsConfigurationWatch(const storesync::Call& call);
bool IsRenewal(const storesync::Call& call);

storesync::Reply NoReply();
ScriptedReply ConfigurationList(int version, Duration delay = Millis(1));
ScriptedReply WatchedVersions(const std::vector<int>& versions);
/// Replies of a store that contains nothing. Watches stay open.
std::optional<ScriptedReply> ReplyOfEmptyStore(const storesync::Call& call);

/// Sends list updates of a version to the instance, as a watcher of its zone,
/// and counts the datagrams that tell a version.
class Announcer {
 public:
  Announcer(net::EventLoop& loop, const std::string& name, Duration interval,
            Duration delay)
      : name_(name),
        socket_(std::move(*net::UdpSocket::Bind(
            loop, {"127.0.0.1", PortAt(name == "n0" ? 0 : 2)}))),
        start_(loop, net::Timer::Kind::kOnce, delay, [this, &loop, interval] {
          timer_ = std::make_unique<net::Timer>(
              loop, net::Timer::Kind::kPeriodic, interval, [this] { Send(); });
        }) {
    socket_->signal_received().connect([this](const net::Datagram& it) {
      constexpr auto kKind =
          static_cast<char>(DatagramKind::kConfigurationVersion);
      told += !it.bytes.empty() && it.bytes[0] == kKind ? 1 : 0;
    });
  }

  int version = 1;
  /// Datagrams of the instance that tell a version.
  int told = 0;

 private:
  void Send() {
    gateway::ListUpdate update;
    update.sender = name_;
    update.configuration = ConfigVersion(version);
    socket_->Send({"127.0.0.1", PortAt(kInstancePort)},
                  EncodeDatagram(DatagramKind::kListUpdate, update));
  }

  std::string name_;
  std::unique_ptr<net::UdpSocket> socket_;
  std::unique_ptr<net::Timer> timer_;
  net::Timer start_;
};

/// Runs an instance before this store.
void RunInstance(net::EventLoop& loop, Duration time,
                 const ScriptedStore::Script& script);
/// Returns whether an instance before this store installs the version within
/// the time.
bool InstallsVersion(net::EventLoop& loop, std::uint64_t version,
                     const ScriptedStore::Script& script, Duration time);

}  // namespace ibisladder::fleet

#endif  // TESTS_AUTO_FLEET_SCRIPTED_FLEET_H_
