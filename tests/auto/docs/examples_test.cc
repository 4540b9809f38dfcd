#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "libs/declarations/parse.h"
#include "libs/settings/daemon_settings.h"
#include "libs/settings/settings_fields.h"
#include "tests/auto/docs/source_files.h"
#include "tests/auto/support/story.h"

namespace ibisladder {
namespace {

using declarations::Declarations;
using declarations::RepeatRule;
using json::Json;
using testing::ReadSourceFile;
using testing::Section;

Declarations Example(const std::string& name) {
  const auto parsed =
      declarations::ParseDeclarations(ReadSourceFile("examples/" + name));
  CPPUNIT_ASSERT_MESSAGE(
      name + ": " + (parsed ? "" : parsed.error()[0].message),
      parsed.has_value());
  return *parsed;
}

/// Collects the keys of all objects in the document.
void CollectKeys(const Json& value, std::set<std::string>& keys) {
  if (!value.is_structured()) return;
  for (const auto& [key, element] : value.items()) {
    if (value.is_object()) keys.insert(key);
    CollectKeys(element, keys);
  }
}

std::set<std::string> KeysOf(const std::string& text) {
  std::set<std::string> keys;
  CollectKeys(Json::parse(text), keys);
  return keys;
}

/// Guards against examples that no longer parse or that miss a field.
class ExamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExamplesTest);
  CPPUNIT_TEST(ExamplesAreValid);
  CPPUNIT_TEST(OnlyReadingRoutesAreIdempotent);
  CPPUNIT_TEST(TheDemoCombinesBothFleets);
  CPPUNIT_TEST(FullExamplesHaveEveryField);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ExamplesAreValid() {
    for (const char* it :
         {"cumbre.json", "bayou.json", "demo.json", "declarations-full.json"}) {
      CPPUNIT_ASSERT(!Example(it).services.empty());
    }
  }

  void OnlyReadingRoutesAreIdempotent() {
    for (const auto& it : Example("demo.json").routes) {
      const bool reads = it.methods == std::vector<std::string>{"GET", "HEAD"};
      CPPUNIT_ASSERT_MESSAGE(it.prefix,
                             (it.repeat == RepeatRule::kIdempotent) == reads);
    }
  }

  void TheDemoCombinesBothFleets() {
    Declarations both = Example("cumbre.json");
    const Declarations bayou = Example("bayou.json");
    const auto append = [](auto& to, const auto& from) {
      to.insert(to.end(), from.begin(), from.end());
    };
    append(both.services, bayou.services);
    append(both.routes, bayou.routes);
    append(both.organisations, bayou.organisations);
    Declarations demo = Example("demo.json");
    demo.keep_addresses = both.keep_addresses;
    CPPUNIT_ASSERT_EQUAL(declarations::FormatDeclarations(both),
                         declarations::FormatDeclarations(demo));
  }

  void FullExamplesHaveEveryField() {
    Section("declarations", [] {
      const std::string text =
          ReadSourceFile("examples/declarations-full.json");
      const auto all = declarations::FormatDeclarations(
          *declarations::ParseDeclarations(text));
      CPPUNIT_ASSERT(KeysOf(text) == KeysOf(all));
    });
    Section("settings", [] {
      const std::string text = ReadSourceFile("examples/settings-full.json");
      const auto parsed = settings::ParseDaemonSettings(text);
      CPPUNIT_ASSERT(parsed.has_value());
      auto all =
          KeysOf(json::WriteFields(settings::kSettingsFields, *parsed).dump());
      all.insert("seeds");
      CPPUNIT_ASSERT(KeysOf(text) == all);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

}  // namespace
}  // namespace ibisladder
