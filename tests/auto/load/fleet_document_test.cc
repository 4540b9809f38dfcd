#include "tools/load/fleet_document.h"

#include <cppunit/extensions/HelperMacros.h>

#include "libs/declarations/parse.h"
#include "tests/auto/support/story.h"

namespace ibisladder::load {
namespace {

using testing::Section;

class FleetDocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetDocumentTest);
  CPPUNIT_TEST(DocumentsAreValid);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DocumentsAreValid() {
    const FleetSize size;
    const auto parsed =
        declarations::ParseDeclarations(MakeFleetDocument(size));
    Section("the document is accepted",
            [&] { CPPUNIT_ASSERT(parsed.has_value()); });
    Section("the document has the requested size", [&] {
      std::size_t servers = 0;
      for (const auto& it : parsed->services) servers += it.servers.size();
      CPPUNIT_ASSERT_EQUAL(size.services, parsed->services.size());
      CPPUNIT_ASSERT_EQUAL(size.servers, servers);
      CPPUNIT_ASSERT_EQUAL(size.routes, parsed->routes.size());
      CPPUNIT_ASSERT_EQUAL(size.organisations, parsed->organisations.size());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetDocumentTest);

}  // namespace
}  // namespace ibisladder::load
