#include "libs/instance/instance.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/auto/support/story.h"

namespace ibisladder::instance {
namespace {

using testing::Section;

constexpr Duration kLatency = Millis(1);
constexpr Duration kTick = Millis(10);

declarations::Declarations MakeDeclarations() {
  declarations::BackendServer server;
  server.name = "b1";
  server.endpoint = {"10.0.0.1", 80};
  declarations::BackendServer other = server;
  other.name = "b2";
  other.endpoint = {"10.0.0.2", 80};
  declarations::Service service;
  service.name = "billing";
  service.servers = {server, other};
  declarations::Route route;
  route.prefix = "/billing";
  route.service = "billing";
  declarations::Declarations it;
  it.services = {service};
  it.routes = {route};
  return it;
}

InstanceSettings MakeSettings(std::uint32_t n) {
  InstanceSettings settings;
  auto& control = settings.control;
  control.fleet = "test";
  control.instance = InstanceId(n);
  control.incarnation = Incarnation(0x100 + n);
  control.zone = ZoneName("quito-a");
  control.caller_endpoint = {"10.1.0.1", static_cast<std::uint16_t>(7000 + n)};
  control.peer_endpoint = {"10.1.0.1", static_cast<std::uint16_t>(9000 + n)};
  settings.path.instance = control.instance;
  settings.path.incarnation = control.incarnation;
  settings.path.zone = control.zone;
  settings.path.caller_endpoint = control.caller_endpoint;
  return settings;
}

/// Simulates two instances, the platform's store and instance list, and backend
/// servers that answer after kLatency, in virtual time.
struct Fleet {
  struct Value {
    std::string text;
    controlplane::Revision revision;
  };

  TimePoint now{Seconds(50)};
  Random random{3};
  std::map<std::uint32_t, Instance> instances;
  std::multimap<TimePoint, std::function<void()>> queue;
  std::map<std::string, Value> store;
  std::uint64_t revisions = 0;
  std::uint64_t calls = 0;
  std::map<std::uint64_t, callerpath::CallerAnswer> answers;
  std::map<std::uint64_t, std::pair<std::uint32_t, CallId>> relays;
  std::map<controlplane::ExchangeId,
           std::pair<std::uint32_t, controlplane::ExchangeId>>
      fetches;
  /// Executions by request id, with the instance that sent the request.
  std::multimap<std::string, std::uint32_t> executions;
  std::map<std::uint64_t, ResultCode> applied;

  Fleet() {
    for (std::uint32_t n = 1; n <= 2; ++n) {
      instances.emplace(n, MakeInstance(MakeSettings(n), now));
      Schedule(kTick, [this, n] { TickInstance(n); });
    }
  }

  void Schedule(Duration wait, std::function<void()> act) {
    queue.emplace(now + wait, std::move(act));
  }

  void TickInstance(std::uint32_t n) {
    Feed(n, Tick{});
    Schedule(kTick, [this, n] { TickInstance(n); });
  }

  void Advance(Duration time) {
    const TimePoint end = now + time;
    while (!queue.empty() && queue.begin()->first <= end) {
      auto node = queue.extract(queue.begin());
      now = node.key();
      node.mapped()();
    }
    now = end;
  }

  void Feed(std::uint32_t n, const Event& event) {
    for (const auto& it : Step(instances.at(n), event, now, random)) {
      std::visit(
          [&](const auto& part) {
            std::visit([&](const auto& action) { Do(n, action); }, part);
          },
          it);
    }
  }

  void FeedLater(std::uint32_t n, const Event& event) {
    Schedule(kLatency, [this, n, event] { Feed(n, event); });
  }

  static std::uint32_t NumberOf(const Endpoint& endpoint) {
    return endpoint.port % 10;
  }

  // Actions of the caller path.

  void Do(std::uint32_t n, const callerpath::SendAttempt& it) {
    std::string id;
    for (const auto& [name, value] : it.headers) {
      if (name == "Idempotency-Key") id = value;
    }
    executions.emplace(id, n);
    FeedLater(n, callerpath::Event(callerpath::ServerAnswered{
                     it.attempt,
                     200,
                     {{"Ibisladder-Request-Id", id}, {"Ibisladder-Load", load}},
                     "charged"}));
  }
  void Do(std::uint32_t /*n*/, const callerpath::AnswerCall& it) {
    answers[it.call.value()] = it.answer;
    const auto relay = relays.find(it.call.value());
    if (relay == relays.end()) return;
    const auto [from, call] = relay->second;
    FeedLater(from,
              callerpath::Event(callerpath::RelayAnswered{call, it.answer}));
  }
  void Do(std::uint32_t n, const callerpath::RelayCall& it) {
    const CallId call(++calls);
    relays[call.value()] = {n, it.call};
    FeedLater(NumberOf(it.endpoint), callerpath::Event(callerpath::CallArrived{
                                         call, it.request, InstanceId(n)}));
  }

  // Actions of the control plane.

  void Do(std::uint32_t /*n*/, const controlplane::SendDatagram& it) {
    const std::uint32_t to = NumberOf(it.to);
    if (!instances.contains(to)) return;
    FeedLater(to, controlplane::Event(
                      controlplane::DatagramReceived{it.to, it.bytes}));
  }
  void Do(std::uint32_t n, const controlplane::ReadList& /*it*/) {
    controlplane::ListReplied reply;
    reply.ok = true;
    for (std::uint32_t i = 1; i <= 2; ++i) {
      const auto settings = MakeSettings(i).control;
      reply.instances.push_back({settings.instance, settings.zone,
                                 settings.caller_endpoint,
                                 settings.peer_endpoint, false});
    }
    FeedLater(n, controlplane::Event(reply));
  }
  void Reply(std::uint32_t n, controlplane::ExchangeId exchange,
             const std::string& key, Duration wait) {
    Schedule(wait, [this, n, exchange, key] {
      controlplane::StoreReplied reply{
          exchange, ResultCode::kStoreNotFound, {}, {}};
      if (const auto it = store.find(key); it != store.end()) {
        reply.code = ResultCode::kDone;
        reply.value = it->second.text;
        reply.revision = it->second.revision;
      }
      Feed(n, controlplane::Event(reply));
    });
  }
  void Do(std::uint32_t n, const controlplane::StoreRead& it) {
    Reply(n, it.exchange, it.key, kLatency);
  }
  void Do(std::uint32_t n, const controlplane::StoreWatch& it) {
    const auto found = store.find(it.key);
    const bool differs =
        found != store.end() && found->second.revision != it.known;
    Reply(n, it.exchange, it.key, differs ? kLatency : Seconds(1));
  }
  void Do(std::uint32_t n, const controlplane::StoreWrite& it) {
    controlplane::StoreReplied reply{
        it.exchange, ResultCode::kStoreConflict, {}, {}};
    if (store[it.key].revision == it.expected) {
      store[it.key] = {it.value, controlplane::Revision(++revisions)};
      reply.code = ResultCode::kDone;
      reply.revision = controlplane::Revision(revisions);
    }
    FeedLater(n, controlplane::Event(reply));
  }
  void Do(std::uint32_t n, const controlplane::FetchFromPeer& it) {
    const controlplane::ExchangeId exchange(++calls);
    fetches[exchange] = {n, it.exchange};
    FeedLater(NumberOf(it.peer),
              controlplane::Event(
                  controlplane::ConfigFetchRequested{exchange, it.frame}));
  }
  void Do(std::uint32_t /*n*/, const controlplane::AnswerFetch& it) {
    const auto [from, exchange] = fetches.at(it.exchange);
    FeedLater(from, controlplane::Event(
                        controlplane::PeerReplied{exchange, it.frame}));
  }
  void Do(std::uint32_t /*n*/, const controlplane::AnswerApply& it) {
    applied[it.procedure] = it.code;
  }
  template <typename Other>
  void Do(std::uint32_t /*n*/, const Other& /*it*/) {}

  // Callers.

  callerpath::CallerAnswer QueryAddresses(std::uint32_t n) {
    const CallId call(++calls);
    Feed(n, callerpath::Event(callerpath::AddressesRequested{call, "billing"}));
    return answers[call.value()];
  }

  callerpath::CallerAnswer Charge(std::uint32_t n, const std::string& id) {
    const CallId call(++calls);
    callerpath::CallRequest request;
    request.method = "POST";
    request.target = "/billing/charges";
    request.request_id = id;
    request.timeout = Seconds(1);
    Feed(n, callerpath::Event(
                callerpath::CallArrived{call, request, std::nullopt}));
    Advance(Millis(100));
    return answers[call.value()];
  }

  void Apply() {
    controlplane::ApplyRequested apply;
    apply.procedure = 1;
    apply.change_id = "change-1";
    apply.declarations = MakeDeclarations();
    Feed(1, controlplane::Event(apply));
    Advance(Seconds(6));
  }

  std::string load = "in_flight=0, slots=4, state=ok";
};

/// Returns the tickets of an address list, by address.
std::map<std::string, std::string> TicketsOf(
    const callerpath::CallerAnswer& answer) {
  std::map<std::string, std::string> tickets;
  const auto body = nlohmann::json::parse(answer.body);
  for (const auto& it : body["addresses"]) {
    tickets[it["address"]] = it["ticket"];
  }
  return tickets;
}

class InstanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceTest);
  CPPUNIT_TEST(PartsExchangeState);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PartsExchangeState() {
    Fleet fleet;
    fleet.Advance(Seconds(5));
    Section("without a configuration there is no address list", [&] {
      CPPUNIT_ASSERT(fleet.QueryAddresses(2).code == ResultCode::kNotReady);
    });
    fleet.Apply();
    Section("a change applied at one instance is active on both", [&] {
      CPPUNIT_ASSERT(fleet.applied.at(1) == ResultCode::kDone);
      for (const auto& [n, it] : fleet.instances) {
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{1},
            callerpath::StatusOf(*it.path, fleet.now).version.value());
      }
    });
    auto tickets = TicketsOf(fleet.QueryAddresses(2));
    Section("each lists both, the other one with a recent era", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tickets.size());
      const auto ticket = requests::ParseTicket(tickets["10.1.0.1:7001"]);
      const Era era =
          callerpath::CurrentEra(*fleet.instances.at(1).path, fleet.now);
      CPPUNIT_ASSERT(ticket && era.value() - ticket->era.value() <= 1);
    });
    Section("a charge is run by its home only, whichever instance gets it",
            [&] {
              const std::string id = tickets["10.1.0.1:7001"] + ".a";
              CPPUNIT_ASSERT(fleet.Charge(2, id).code == ResultCode::kDone);
              CPPUNIT_ASSERT(fleet.Charge(1, id).code == ResultCode::kDone);
              CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.executions.count(id));
              CPPUNIT_ASSERT_EQUAL(1U, fleet.executions.find(id)->second);
            });
    Section("a server seen draining by one is leaving on both", [&] {
      fleet.load = "in_flight=0, slots=4, state=draining";
      fleet.Charge(1, tickets["10.1.0.1:7001"] + ".b");
      fleet.load = "in_flight=0, slots=4, state=ok";
      fleet.Advance(Seconds(3));
      const auto status =
          callerpath::StatusOf(*fleet.instances.at(2).path, fleet.now);
      CPPUNIT_ASSERT_EQUAL(
          1L,
          std::count_if(status.servers.begin(), status.servers.end(),
                        [](const auto& it) { return it.state == "leaving"; }));
    });
    Section("neither lists an instance that is stopping", [&] {
      fleet.Feed(1, StopRequested{});
      fleet.Advance(Seconds(3));
      CPPUNIT_ASSERT(
          !TicketsOf(fleet.QueryAddresses(1)).contains("10.1.0.1:7001"));
      CPPUNIT_ASSERT(
          !TicketsOf(fleet.QueryAddresses(2)).contains("10.1.0.1:7001"));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceTest);

}  // namespace
}  // namespace ibisladder::instance
