#include "libs/storesync/registration.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::storesync {
namespace {

using ibisladder::testing::Section;

constexpr LeaseId kLease{7};

template <typename T>
bool IsNext(Registration& registration, TimePoint now) {
  const auto call = NextCall(registration, now);
  return call && std::holds_alternative<T>(*call);
}

class RegistrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistrationTest);
  CPPUNIT_TEST(RegistrationKeepsAndReplacesItsLease);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RegistrationKeepsAndReplacesItsLease() {
    Random random(1);
    TimePoint now{Seconds(10)};
    Registration it;
    it.key = "k";
    const auto reply = [&](const Reply& reply) {
      HandleReply(it, reply, now, random);
    };
    Section("gets a lease, puts the key, then renews", [&] {
      CPPUNIT_ASSERT(IsNext<GrantLeaseCall>(it, now));
      reply(LeaseReply{kLease, Seconds(3)});
      CPPUNIT_ASSERT(IsNext<PutCall>(it, now));
      reply(Stored{});
      CPPUNIT_ASSERT(!NextCall(it, now));
      now += Seconds(1);
      CPPUNIT_ASSERT(IsNext<RenewLeaseCall>(it, now));
      reply(LeaseReply{kLease, Seconds(3)});
    });
    Section("after the lease ended, gets a new one and puts the key again",
            [&] {
              now += Seconds(1);
              CPPUNIT_ASSERT(IsNext<RenewLeaseCall>(it, now));
              reply(LeaseEnded{});
              CPPUNIT_ASSERT(IsNext<GrantLeaseCall>(it, now));
              reply(LeaseReply{LeaseId(8), Seconds(3)});
              CPPUNIT_ASSERT(IsNext<PutCall>(it, now));
              reply(Stored{});
            });
    Section("deregistration ends the lease immediately", [&] {
      Deregister(it, now);
      CPPUNIT_ASSERT(IsNext<EndLeaseCall>(it, now));
      reply(LeaseEnded{});
      now += Seconds(5);
      CPPUNIT_ASSERT(!NextCall(it, now));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationTest);

}  // namespace
}  // namespace ibisladder::storesync
