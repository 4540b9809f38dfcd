// Guards against several texts for one request id, under which a request could
// run more than once.
#include "libs/requests/ticket.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::requests {
namespace {

using testing::CheckProperty;
using testing::Section;

class TicketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TicketTest);
  CPPUNIT_TEST(FormattedIdsParseBack);
  CPPUNIT_TEST(MalformedIdsAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FormattedIdsParseBack() {
    CheckProperty(
        "a formatted id parses to the same id", 11, 500,
        [](std::uint32_t instance, std::uint64_t incarnation,
           std::uint32_t era) {
          const RequestId id{
              {InstanceId(instance), Incarnation(incarnation), Era(era)},
              "charge_7-a"};
          RC_ASSERT(*ParseRequestId(FormatRequestId(id)) == id);
          RC_ASSERT(*ParseTicket(FormatTicket(id.ticket)) == id.ticket);
        });
  }

  void MalformedIdsAreRefused() {
    const auto refuses = [](std::string_view text) {
      const auto id = ParseRequestId(text);
      CPPUNIT_ASSERT(!id);
      CPPUNIT_ASSERT(id.error().code == ResultCode::kTicketInvalid);
    };
    Section("a request id is refused", [&] {
      Section("when a part is missing", [&] {
        for (const auto* it : {"", "t1", "t1.7", "t1.7.ab.3", "t1.7.ab.3."}) {
          refuses(it);
        }
      });
      Section("when it is not the canonical text of its id", [&] {
        for (const auto* it : {"t1.07.ab.3.x", "t1.7.AB.3.x", "t1.7.0ab.3.x",
                               "t1.7.ab.+3.x", "t1.7.ab.03.x"}) {
          refuses(it);
        }
      });
      Section("when a number is too large", [&] {
        refuses("t1.4294967296.ab.3.x");
        refuses("t1.7.1ffffffffffffffff.3.x");
      });
      Section("when the caller's part has invalid characters or length", [&] {
        refuses("t1.7.ab.3.a.b");
        refuses("t1.7.ab.3.a b");
        refuses("t1.7.ab.3." + std::string(65, 'a'));
      });
    });
    CPPUNIT_ASSERT(ParseRequestId("t1.7.ab.3." + std::string(64, 'a')));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TicketTest);

}  // namespace
}  // namespace ibisladder::requests
