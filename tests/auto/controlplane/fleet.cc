#include "tests/auto/controlplane/fleet.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace ibisladder::controlplane {
namespace {

constexpr Duration kTick = Millis(50);
constexpr Duration kEraLength = Seconds(5);
constexpr Duration kStoreDelay = Millis(4);
constexpr Duration kSlowWrite = Seconds(3);
constexpr Duration kRefusalDelay = Millis(30);
constexpr std::uint16_t kPeerPort = 7002;
constexpr TimePoint kStart(Seconds(1000));
constexpr const char* kHead = "head";

Endpoint EndpointOf(std::uint32_t i) {
  return {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
          kPeerPort};
}

/// Returns the index of the instance at an endpoint made by EndpointOf.
std::uint32_t IndexOf(const Endpoint& endpoint) {
  const auto dot = endpoint.address.rfind('.');
  const auto high = std::stoul(endpoint.address.substr(5, dot - 5));
  const auto low = std::stoul(endpoint.address.substr(dot + 1));
  return static_cast<std::uint32_t>(high * 250 + low);
}

}  // namespace

Fleet::Fleet(std::uint32_t size, unsigned seed, std::uint32_t zones)
    : now_(kStart), random_(seed), nodes_(size) {
  for (std::uint32_t i = 0; i < size; ++i) {
    auto& settings = nodes_[i].settings;
    settings.fleet = "test";
    settings.instance = InstanceId(i);
    settings.zone = ZoneName("zone-" + std::to_string(i % zones));
    settings.peer_endpoint = EndpointOf(i);
    settings.caller_endpoint = EndpointOf(i);
    settings.seeds = {EndpointOf(0), EndpointOf(size - 1)};
    listed_.insert(i);
  }
}

void Fleet::Start(std::uint32_t i) {
  auto& node = nodes_[i];
  node.settings.incarnation = Incarnation(random_());
  node.plane = MakeControlPlane(node.settings, now_);
  node.runs = true;
  node.started_at = now_;
  node.era = 0;
  node.installed.clear();
  node.handed_out.clear();
  node.leaving_servers.clear();
  const auto phase = Micros(static_cast<std::int64_t>(
      UniformBelow(random_, static_cast<std::uint64_t>(kTick.count()))));
  Post(phase, [this, i, it = node.settings.incarnation] { RunTicks(i, it); });
}

void Fleet::Kill(std::uint32_t i) { nodes_[i].runs = false; }

void Fleet::Run(Duration duration) {
  RunUntil(duration, [] { return false; });
}

Duration Fleet::RunUntil(Duration limit, const std::function<bool()>& done) {
  const auto start = now_;
  auto next_check = now_;
  while (now_ < start + limit) {
    if (now_ >= next_check) {
      if (done()) break;
      next_check = now_ + kTick;
    }
    if (queue_.empty() || queue_.top().at > start + limit) {
      now_ = start + limit;
      break;
    }
    auto run = queue_.top().run;
    now_ = queue_.top().at;
    queue_.pop();
    run();
  }
  return now_ - start;
}

void Fleet::Feed(std::uint32_t i, const Event& event) { Step(i, event); }

void Fleet::Apply(std::uint32_t i, const std::string& change_id,
                  ConfigVersion based_on,
                  const declarations::Declarations& items) {
  const auto procedure = procedures_.size() + 1;
  procedures_[procedure] = change_id;
  Step(i, ApplyRequested{procedure, change_id, based_on, items});
}

ConfigVersion Fleet::version(std::uint32_t i) const {
  const auto& installed = nodes_[i].installed;
  return installed.empty() ? ConfigVersion() : installed.back();
}

std::string Fleet::StateSeen(std::uint32_t by, std::uint32_t of) const {
  for (const auto& it : StatusOf(*nodes_[by].plane, now_).peers) {
    if (it.instance.value() == of) return it.state;
  }
  return "unknown";
}

std::size_t Fleet::Count(const std::function<bool(Node&)>& test) {
  return static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(),
                    [&](Node& it) { return it.runs && test(it); }));
}

std::size_t Fleet::Running() {
  return Count([](Node&) { return true; });
}

void Fleet::Post(Duration delay, std::function<void()> run) {
  queue_.push({now_ + delay, order_++, std::move(run)});
}

void Fleet::Step(std::uint32_t i, const Event& event) {
  if (!nodes_[i].runs) return;
  const auto actions =
      controlplane::Step(*nodes_[i].plane, event, now_, random_);
  for (const auto& it : actions) {
    std::visit([&](const auto& action) { Perform(i, action); }, it);
  }
}

void Fleet::PostIfSame(std::uint32_t i, Duration delay,
                       std::function<void()> run) {
  Post(delay, [this, i, it = nodes_[i].settings.incarnation, run] {
    if (nodes_[i].runs && nodes_[i].settings.incarnation == it) run();
  });
}

void Fleet::PostEvent(std::uint32_t i, Duration delay, Event event) {
  PostIfSame(i, delay, [this, i, it = std::move(event)] { Step(i, it); });
}

void Fleet::RunTicks(std::uint32_t i, Incarnation incarnation) {
  auto& node = nodes_[i];
  if (!node.runs || node.settings.incarnation != incarnation) return;
  Step(i, Tick{});
  const auto era =
      static_cast<std::uint32_t>((now_ - node.started_at) / kEraLength);
  if (era != node.era) {
    node.era = era;
    Step(i, EraAdvanced{Era(era)});
  }
  Post(kTick, [this, i, incarnation] { RunTicks(i, incarnation); });
}

bool Fleet::Passes(std::uint32_t from, std::uint32_t to) {
  if (!faults_.cuts.contains({from, to})) return true;
  ++faults_.cut;
  return false;
}

Duration Fleet::LinkDelay() {
  return Micros(500 + static_cast<std::int64_t>(UniformBelow(random_, 1500)));
}

void Fleet::Perform(std::uint32_t i, const SendDatagram& action) {
  datagram_bytes_ += action.bytes.size();
  const auto to = IndexOf(action.to);
  if (to >= nodes_.size() || !Passes(i, to)) return;
  if (UniformUnit(random_) < faults_.loss) {
    ++faults_.lost;
    return;
  }
  const DatagramReceived event{EndpointOf(i), action.bytes};
  Post(LinkDelay(), [this, to, event] { Step(to, event); });
  if (UniformUnit(random_) < faults_.duplicate) {
    ++faults_.duplicated;
    Post(LinkDelay() * 100, [this, to, event] { Step(to, event); });
  }
}

void Fleet::Perform(std::uint32_t i, const FetchFromPeer& action) {
  const auto to = IndexOf(action.peer);
  if (!Passes(i, to) || !Passes(to, i)) return;
  if (!nodes_[to].runs) {
    return PostEvent(i, LinkDelay(), PeerFailed{action.exchange});
  }
  const auto served = ++order_;
  served_[served] = {i, nodes_[i].settings.incarnation, action.exchange};
  Post(LinkDelay(), [this, to, served, frame = action.frame] {
    Step(to, ConfigFetchRequested{ExchangeId(served), frame});
  });
}

void Fleet::Perform(std::uint32_t i, const AnswerFetch& action) {
  const auto [asker, incarnation, exchange] = served_[action.exchange.value()];
  served_.erase(action.exchange.value());
  fetched_bytes_ += wire::EncodeFrame(action.frame).size();
  const bool same = nodes_[asker].settings.incarnation == incarnation;
  if (same && Passes(i, asker)) {
    PostEvent(asker, LinkDelay(), PeerReplied{exchange, action.frame});
  }
}

bool Fleet::StoreRefuses(std::uint32_t i, ExchangeId exchange) {
  ++platform_calls_;
  if (!faults_.store_down) return false;
  ++faults_.calls_in_outages;
  // Half of the calls get no answer at all.
  if (UniformBelow(random_, 2) == 0) {
    PostEvent(i, kRefusalDelay,
              StoreReplied{exchange, ResultCode::kStoreUnavailable, "", {}});
  }
  return true;
}

void Fleet::ReplyFromStore(std::uint32_t i, ExchangeId exchange,
                           StoreReplied reply) {
  reply.exchange = exchange;
  if (faults_.invalid_reply > 0 &&
      UniformUnit(random_) < faults_.invalid_reply) {
    ++faults_.invalid_replies;
    reply = {exchange, ResultCode::kStoreReplyInvalid, "", {}};
  }
  PostEvent(i, kStoreDelay, std::move(reply));
}

void Fleet::WriteTranscript(const std::string& line) {
  if (transcript_ == nullptr) return;
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%9.6f ", ToSeconds(now_ - kStart));
  transcript_->push_back(buf + line);
}

void Fleet::WriteTranscript(std::uint32_t i, const std::string& what) {
  WriteTranscript("instance " + std::to_string(i) + ": " + what);
}

void Fleet::Perform(std::uint32_t i, const StoreRead& action) {
  if (action.key.ends_with(kHead)) WriteTranscript(i, "reads the head");
  if (StoreRefuses(i, action.exchange)) return;
  ReplyFromStore(i, action.exchange, store_.Read(action.key));
}

void Fleet::Perform(std::uint32_t i, const StoreWatch& action) {
  ++head_calls_;
  if (StoreRefuses(i, action.exchange)) return;
  const auto current = store_.Read(action.key);
  if (current.revision != action.known) {
    return ReplyFromStore(i, action.exchange, current);
  }
  watchers_.push_back({i, nodes_[i].settings.incarnation, action});
  PostIfSame(i, action.wait, [this, exchange = action.exchange, i] {
    const auto it =
        std::find_if(watchers_.begin(), watchers_.end(), [&](const Watcher& w) {
          return w.node == i && w.watch.exchange == exchange;
        });
    if (it == watchers_.end()) return;
    ReplyFromStore(i, exchange, store_.Read(it->watch.key));
    watchers_.erase(it);
  });
}

void Fleet::WakeWatchers() {
  if (faults_.store_down) return;
  std::erase_if(watchers_, [&](const Watcher& it) {
    const bool is_gone = !nodes_[it.node].runs ||
                         nodes_[it.node].settings.incarnation != it.incarnation;
    if (is_gone) return true;
    const auto current = store_.Read(it.watch.key);
    if (current.revision == it.watch.known) return false;
    ReplyFromStore(it.node, it.watch.exchange, current);
    return true;
  });
}

void Fleet::Perform(std::uint32_t i, const StoreWrite& action) {
  const bool is_head = action.key.ends_with(kHead);
  const auto expected = std::to_string(action.expected.value());
  if (is_head) WriteTranscript(i, "writes the head over revision " + expected);
  if (StoreRefuses(i, action.exchange)) return;
  // A write may arrive after its writer's timeout.
  Duration delay = kStoreDelay;
  if (UniformUnit(random_) < faults_.slow_write) {
    ++faults_.slow_writes;
    delay = kSlowWrite;
  }
  Post(delay, [this, i, action, is_head, it = nodes_[i].settings.incarnation] {
    const auto heads = store_.heads().size();
    auto reply = store_.Write(action);
    if (store_.heads().size() > heads) newest_head_at_ = now_;
    WakeWatchers();
    if (nodes_[i].settings.incarnation != it) return;
    if (UniformUnit(random_) < faults_.lost_reply) {
      ++faults_.lost_replies;
      if (is_head) WriteTranscript(i, "the reply to its write is lost");
      return;
    }
    ReplyFromStore(i, action.exchange, std::move(reply));
  });
}

void Fleet::Perform(std::uint32_t i, const StoreDelete& action) {
  if (StoreRefuses(i, action.exchange)) return;
  store_.Delete(action.key);
  ReplyFromStore(i, action.exchange, {{}, ResultCode::kDone, "", {}});
}

void Fleet::Perform(std::uint32_t i, const ReadList& /*action*/) {
  ++platform_calls_;
  ListReplied reply;
  reply.ok = !faults_.list_down;
  for (const auto it : listed_) {
    const auto& settings = nodes_[it].settings;
    reply.instances.push_back({settings.instance, settings.zone,
                               settings.caller_endpoint, settings.peer_endpoint,
                               false});
  }
  reply.servers = listed_servers_;
  PostEvent(i, kStoreDelay, std::move(reply));
}

void Fleet::Perform(std::uint32_t i, const InstallConfiguration& action) {
  auto& node = nodes_[i];
  const auto version = action.configuration->version;
  if (!node.installed.empty() && version <= node.installed.back()) {
    ++regressions_;
  }
  node.installed.push_back(version);
  node.installed_at = now_;
}

void Fleet::Perform(std::uint32_t i, const ReportFleet& action) {
  nodes_[i].handed_out.clear();
  for (const auto& it : action.fleet.members) {
    if (!it.leaving) nodes_[i].handed_out.insert(it.instance.value());
  }
}

void Fleet::Perform(std::uint32_t i, const ReportServersLeaving& action) {
  nodes_[i].leaving_servers.clear();
  for (const auto it : action.servers) {
    nodes_[i].leaving_servers.insert(it.value());
  }
}

void Fleet::Perform(std::uint32_t i, const ReportEvidence& /*action*/) {
  ++nodes_[i].evidence_received;
}

void Fleet::Perform(std::uint32_t i, const AnswerApply& action) {
  WriteTranscript(i, "tells " + procedures_[action.procedure] + ": code " +
                         std::to_string(static_cast<int>(action.code)) +
                         ", version " + std::to_string(action.version.value()) +
                         ", " + action.message);
  operator_replies_.push_back({procedures_[action.procedure], action.code,
                               action.version, action.message, now_});
}

void Fleet::Perform(std::uint32_t i, const WriteLog& action) {
  const auto event = action.line.event;
  const bool is_configuration = event >= LogEvent::kConfigurationInstalled &&
                                event <= LogEvent::kChangeUnknown;
  if (is_configuration) WriteTranscript(i, FormatLogLine(action.line));
  logs_.push_back(action.line);
}

declarations::Declarations MakeDeclarations(int services, int servers,
                                            int routes, int organisations) {
  declarations::Declarations items;
  for (int i = 0; i < services; ++i) {
    declarations::Service service;
    service.name = "service-" + std::to_string(i);
    for (int k = 0; k < servers; ++k) {
      declarations::BackendServer server;
      server.name = "server-" + std::to_string(k);
      server.endpoint = {"10.1.0." + std::to_string(k), 8080};
      server.zone = ZoneName("zone-" + std::to_string(k % 6));
      service.servers.push_back(server);
    }
    items.services.push_back(service);
  }
  for (int i = 0; i < routes; ++i) {
    declarations::Route route;
    route.prefix = "/area-" + std::to_string(i);
    route.methods = {"GET"};
    route.service = "service-" + std::to_string(i % std::max(services, 1));
    items.routes.push_back(route);
  }
  for (int i = 0; i < organisations; ++i) {
    items.organisations.push_back({"organisation-" + std::to_string(i), 10, 4});
  }
  return items;
}

}  // namespace ibisladder::controlplane
