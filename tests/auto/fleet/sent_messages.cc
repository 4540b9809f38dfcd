#include "tests/auto/fleet/sent_messages.h"

#include <memory>
#include <utility>

#include "libs/net/udp_socket.h"
#include "plugins/fleet/datagrams.h"
#include "tests/auto/fleet/whole_decoder.h"

namespace ibisladder::fleet {
namespace {

/// One with which the task asks the other member for limits at once.
constexpr std::uint64_t kSeed = 2;
constexpr int kBase = 16;
constexpr char kDigits[] = "0123456789abcdef";

/// Answers like a store that contains one configuration and two members, and
/// keeps the registration.
class RecordingStore : public KvTransport {
 public:
  RecordingStore(net::EventLoop& loop, std::vector<gateway::Member> members,
                 std::string& registration)
      : loop_(loop),
        members_(std::move(members)),
        registration_(registration) {}

  void Send(std::uint64_t id, const storesync::Call& call) override {
    storesync::Reply reply = storesync::Stored{};
    Duration delay = Millis(1);
    if (const auto* range = std::get_if<storesync::RangeCall>(&call)) {
      reply = storesync::RangeReply{ItemsOf(range->prefix), false,
                                    storesync::Revision(5)};
    } else if (const auto* put = std::get_if<storesync::PutCall>(&call)) {
      registration_ = put->value;
    } else if (const auto* watch = std::get_if<storesync::WatchCall>(&call)) {
      if (watch->prefix != "op/") return;
      // Told to other instances once this one watches.
      delay = Seconds(4);
      reply = storesync::WatchReply{
          {{"op/config", "8", storesync::Revision(6)}}, storesync::Revision(6)};
    } else {
      reply = storesync::LeaseReply{storesync::LeaseId(1), Seconds(3)};
    }
    timers_[id] = std::make_unique<net::Timer>(
        loop_, net::Timer::Kind::kOnce, delay,
        [this, id, reply] { signal_reply().emit(id, reply, std::nullopt); });
  }
  void Cancel(std::uint64_t id) override { timers_.erase(id); }
  std::size_t ReceivedBytes(std::uint64_t /*id*/) const override { return 0; }

 private:
  std::vector<storesync::Item> ItemsOf(const std::string& prefix) const {
    if (prefix == "op/") return {{"op/config", "7", storesync::Revision(4)}};
    if (prefix != "members/") return {};
    std::vector<storesync::Item> items;
    for (const auto& it : members_) {
      items.push_back(
          {prefix + it.name, wire::EncodePortable(it), storesync::Revision(3)});
    }
    return items;
  }

  net::EventLoop& loop_;
  std::vector<gateway::Member> members_;
  std::string& registration_;
  std::map<std::uint64_t, std::unique_ptr<net::Timer>> timers_;
};

Expected<gateway::Configuration> ParseConfiguration(std::string_view value) {
  gateway::Configuration configuration;
  configuration.version = ConfigVersion(std::stoull(std::string(value)));
  return configuration;
}

Expected<gateway::ServerEntry> ParseServer(std::string_view key,
                                           std::string_view /*value*/) {
  gateway::ServerEntry entry;
  entry.name = key;
  return entry;
}

gateway::Member MakeMember(const std::string& name, const std::string& zone,
                           std::uint16_t port) {
  gateway::Member member;
  member.name = name;
  member.incarnation = Incarnation(0x0102030405060708);
  member.zone = ZoneName(zone);
  member.caller_endpoint = {"10.0.0.1", 8080};
  member.peer_endpoint = {"127.0.0.1", port};
  member.relay_endpoint = {"10.0.0.1", 8081};
  member.millicores = 250;
  member.link_mbps = 100;
  return member;
}

void SendAll(FleetTask& task, const Endpoint& peer) {
  const SampleContent content = MakeContent();
  task.ShareEvidence(content.evidence);
  task.ShareLimits(content.limits);
  task.ShareCrashes(content.crashes);
  task.ShareLeaving(content.leaving);
  task.SharePaths(content.lost_paths);
  task.AskPermit({"n3", content.permit_request});
  task.AnswerPermit({peer, content.permit_reply});
}

}  // namespace

SampleContent MakeContent() {
  SampleContent content;
  const ServiceId service(0x1112131415161718);
  const BackendServerId server(0x2122232425262728);
  content.evidence = {{service, server, 300, 7, true},
                      {service, BackendServerId(2), -1600, 1, false}};
  content.limits = {{server, true, RequestsPerSecond(12.5), Micros(123456)}};
  content.crashes.requests = {{gateway::RequestKey(0x31),
                               gateway::RequestKey(0x32),
                               {{server, Micros(5000)}},
                               2,
                               true,
                               Micros(70000)}};
  content.crashes.served = {gateway::RequestKey(0x41)};
  content.crashes.survivors = {{server, Micros(9000)}};
  content.leaving = {server, BackendServerId(3)};
  content.lost_paths = {service};
  content.permit_request = {9, content.limits[0],
                            declarations::Priority::kHigh};
  content.permit_reply = {9,     true,
                          false, content.limits[0],
                          true,  {Micros(1), Micros(2), Micros(3)}};
  gateway::ServerEntry entry;
  entry.name = "s1";
  entry.started_ms = 1234567890123;
  entry.service = "billing";
  entry.endpoint = {"10.0.0.2", 9000};
  entry.zone = ZoneName("a");
  entry.slots = 3;
  entry.draining = true;
  entry.warm_up_left = Millis(1500);
  content.member = MakeMember("n2", "a", 7000);
  content.list_update = {"n2",   {entry},    {"s2"},          {content.member},
                         {"n4"}, 0x51525354, ConfigVersion(7)};
  return content;
}

std::map<std::string, std::string> SentMessages(std::uint16_t first_port) {
  std::map<std::string, std::string> sent;
  std::string registration;
  auto loop = std::move(*net::EventLoop::Create());
  FleetTask::Options options;
  options.self = MakeMember("n1", "a", first_port);
  options.seed = kSeed;
  options.schema = {&MakeWholeDecoder<ParseConfiguration>,
                    &ParseServer,
                    "op/",
                    "op/config",
                    "servers/",
                    "members/",
                    "era"};
  const auto other = MakeMember("n3", "b", first_port + 1);
  auto task = std::move(*FleetTask::Create(
      *loop, options,
      std::make_unique<RecordingStore>(*loop, std::vector{options.self, other},
                                       registration)));
  auto socket = std::move(*net::UdpSocket::Bind(*loop, other.peer_endpoint));
  socket->signal_received().connect([&](const net::Datagram& it) {
    sent.emplace(it.bytes.substr(0, 1), ToHex(it.bytes));
  });
  // Members are known, and the task watches, some seconds after the start.
  const net::Timer send(*loop, net::Timer::Kind::kOnce, Seconds(2),
                        [&] { SendAll(*task, other.peer_endpoint); });
  const net::Timer end(*loop, net::Timer::Kind::kOnce, Seconds(8),
                       [&] { loop->Stop(); });
  loop->Run();
  // Depends on the ports of the test.
  gateway::Member registered;
  wire::DecodePortable(registration, registered);
  registered.peer_endpoint.port = 7000;
  sent["registration"] = ToHex(wire::EncodePortable(registered));
  sent["n"] = ToHex(
      EncodeDatagram(DatagramKind::kListUpdate, MakeContent().list_update));
  return sent;
}

std::string ToHex(const std::string& bytes) {
  std::string hex;
  for (const char it : bytes) {
    const auto byte = static_cast<unsigned char>(it);
    hex += kDigits[byte / kBase];
    hex += kDigits[byte % kBase];
  }
  return hex;
}

std::string FromHex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, kBase));
  }
  return bytes;
}

}  // namespace ibisladder::fleet
