#include "tests/auto/support/golden.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/sessions/world.h"
#include "tests/auto/support/story.h"

namespace ibisladder::sessions {
namespace {

using testing::Section;

constexpr const char* kFolder = "tests/auto/sessions/golden/";

callerpath::CallRequest MakeCharge(const std::string& part) {
  callerpath::CallRequest request;
  request.method = "POST";
  request.target = "/billing/charges";
  request.organisation = "riders";
  request.request_id = "t1.1.100.1." + part;
  request.timeout = Seconds(1);
  request.body = "amount=7";
  return request;
}

callerpath::CallRequest MakeBrowse() {
  callerpath::CallRequest request;
  request.method = "GET";
  request.target = "/library/clips";
  request.timeout = Seconds(1);
  return request;
}

/// A session without chance faults, written down.
struct Session {
  std::vector<std::string> lines;
  World world;

  Session() : world(Plan()) { world.transcript = &lines; }

  void Pass(Duration time) { RunUntil(world, world.now + time); }

  CallId Send(const callerpath::CallRequest& request, std::uint32_t node = 0) {
    const CallId call(++world.last_call);
    Feed(world, node, callerpath::CallArrived{call, request, std::nullopt});
    Pass(Millis(200));
    return call;
  }

  void Ask(const std::string& id, bool settle) {
    const CallId call(++world.last_call);
    Feed(world, 0,
         callerpath::OutcomeRequested{call, id, settle, std::nullopt});
    Pass(Millis(10));
  }

  void AskAddresses() {
    const CallId call(++world.last_call);
    Feed(world, 0, callerpath::AddressesRequested{call, "billing"});
  }

  void SetModes(ServerMode mode) {
    world.modes.assign(world.modes.size(), mode);
  }

  void Compare(const std::string& name) const {
    testing::CompareWithGolden(kFolder + name + ".txt", lines);
  }
};

class GoldenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GoldenTest);
  CPPUNIT_TEST(ServedCalls);
  CPPUNIT_TEST(RetriedCall);
  CPPUNIT_TEST(NotRun);
  CPPUNIT_TEST(Unknown);
  CPPUNIT_TEST(Drain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ServedCalls() {
    Section("a browse, a charge at its home, and one that is relayed", [] {
      Session it;
      it.AskAddresses();
      it.Pass(Seconds(2));
      it.Send(MakeBrowse());
      it.Send(MakeCharge("a"));
      it.Send(MakeCharge("a"));
      it.Send(MakeCharge("b"), 1);
      it.Compare("served");
    });
  }

  void RetriedCall() {
    Section("an idempotent call whose first answer is another's", [] {
      Session it;
      it.SetModes(ServerMode::kWrongEcho);
      Schedule(it.world, Millis(4), [&] { it.SetModes(ServerMode::kOk); });
      it.Send(MakeBrowse());
      it.Compare("retried");
    });
  }

  void NotRun() {
    Section("a charge that all servers shed, and its late copy", [] {
      Session it;
      it.SetModes(ServerMode::kShed);
      it.Send(MakeCharge("a"));
      it.SetModes(ServerMode::kOk);
      it.Send(MakeCharge("a"));
      it.Ask("t1.1.100.1.b", true);
      it.Send(MakeCharge("b"));
      it.Compare("not_run");
    });
  }

  void Unknown() {
    Section("a charge whose connection is lost, and one that stalls", [] {
      Session it;
      it.SetModes(ServerMode::kResetAfter);
      it.Send(MakeCharge("a"));
      it.SetModes(ServerMode::kOk);
      it.Send(MakeCharge("a"));
      it.Ask("t1.1.100.1.a", true);
      it.SetModes(ServerMode::kStall);
      it.Send(MakeCharge("b"));
      it.Pass(Seconds(2));
      it.Ask("t1.1.100.1.b", false);
      it.Pass(Seconds(7));
      it.Ask("t1.1.100.1.b", false);
      it.Compare("unknown");
    });
  }

  void Drain() {
    Section("a server that drains, and an instance that stops", [] {
      Session it;
      it.SetModes(ServerMode::kDrains);
      it.Send(MakeBrowse());
      it.SetModes(ServerMode::kOk);
      it.Send(MakeBrowse());
      it.Pass(Seconds(2));
      Feed(it.world, 0, callerpath::StopRequested{});
      it.AskAddresses();
      it.Send(MakeCharge("a"));
      it.Pass(Seconds(5));
      it.Send(MakeBrowse());
      it.Compare("drain");
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GoldenTest);

}  // namespace
}  // namespace ibisladder::sessions
