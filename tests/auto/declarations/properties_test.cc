#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "libs/base/random.h"
#include "libs/declarations/configuration.h"
#include "libs/declarations/declaration_fields.h"
#include "libs/declarations/parse.h"
#include "tests/auto/support/story.h"

namespace ibisladder::declarations {
namespace {

using json::Json;
using testing::CheckProperty;

/// Sets a field to a random valid value.
template <typename Struct, typename Number>
void Fill(const json::IntegerField<Struct, Number>& field, Random& random,
          Struct& out) {
  const auto span = static_cast<std::uint64_t>(field.max - field.min + 1);
  json::Internal::Assign(
      out.*field.member,
      field.min + static_cast<std::int64_t>(UniformBelow(random, span)));
}
template <typename Struct>
void Fill(const json::MillisField<Struct>& field, Random& random, Struct& out) {
  const auto span = static_cast<std::uint64_t>(field.max - field.min + 1);
  out.*field.member =
      Millis(field.min + static_cast<std::int64_t>(UniformBelow(random, span)));
}
template <typename Struct>
void Fill(const json::RealField<Struct>& field, Random& random, Struct& out) {
  out.*field.member = field.min + UniformUnit(random) * (field.max - field.min);
}
template <typename Struct>
void Fill(const json::FlagField<Struct>& field, Random& random, Struct& out) {
  out.*field.member = UniformBelow(random, 2) == 1;
}
template <typename Struct, typename Enum, std::size_t kCount>
void Fill(const json::ChoiceField<Struct, Enum, kCount>& field, Random& random,
          Struct& out) {
  out.*field.member = field.choices[UniformBelow(random, kCount)].second;
}
/// Does nothing for names and addresses, which must be consistent with each
/// other; the callers set them.
template <typename Field, typename Struct>
void Fill(const Field& /*field*/, Random& /*random*/, Struct& /*out*/) {}

template <typename Table, typename Struct>
void FillAll(const Table& table, Random& random, Struct& out) {
  std::apply([&](const auto&... field) { (Fill(field, random, out), ...); },
             table);
}

BackendServer RandomServer(Random& random, std::size_t i) {
  BackendServer server;
  FillAll(kServerFields, random, server);
  server.name = "server-" + std::to_string(i);
  server.zone = ZoneName("zone-" + std::to_string(UniformBelow(random, 3)));
  const auto number = std::to_string(i + 1);
  server.endpoint = UniformBelow(random, 2) == 0
                        ? Endpoint{"10.0.0." + number, 80}
                        : Endpoint{"fd00::" + number, 8080};
  return server;
}

Service RandomService(Random& random, std::size_t i) {
  Service service;
  FillAll(kServiceFields, random, service);
  service.name = "service-" + std::to_string(i);
  service.max_deadline = Millis(kMaxDurationMs);
  const auto count = UniformBelow(random, 4);
  for (std::size_t n = 0; n < count; ++n) {
    service.servers.push_back(RandomServer(random, n));
  }
  return service;
}

/// Builds paths from two segment names only, so that many are nested.
std::string RandomPath(Random& random) {
  std::string path;
  const auto count = UniformBelow(random, 4);
  for (std::size_t i = 0; i < count; ++i) {
    path += UniformBelow(random, 2) == 0 ? "/a" : "/ab";
  }
  return path.empty() ? "/" : path;
}

Declarations RandomDeclarations(Random& random) {
  Declarations out;
  FillAll(kTopFields, random, out);
  const auto services = 1 + UniformBelow(random, 4);
  for (std::size_t i = 0; i < services; ++i) {
    out.services.push_back(RandomService(random, i));
  }
  for (std::size_t i = UniformBelow(random, 12); i > 0; --i) {
    Route route;
    FillAll(kRouteFields, random, route);
    route.prefix = RandomPath(random);
    route.service = out.services[UniformBelow(random, services)].name;
    constexpr const char* kMethods[] = {"GET", "HEAD", "POST"};
    if (const auto n = UniformBelow(random, 4); n < 3) {
      route.methods.emplace_back(kMethods[n]);
    }
    const bool taken =
        std::any_of(out.routes.begin(), out.routes.end(), [&](const Route& it) {
          return it.prefix == route.prefix && it.methods == route.methods;
        });
    if (!taken) out.routes.push_back(std::move(route));
  }
  for (std::size_t i = UniformBelow(random, 4); i > 0; --i) {
    auto& organisation = out.organisations.emplace_back();
    FillAll(kOrganisationFields, random, organisation);
    organisation.name = "organisation-" + std::to_string(i);
  }
  return out;
}

/// Returns a value that is invalid for most fields and valid for some.
Json RandomValue(Random& random) {
  switch (UniformBelow(random, 9)) {
    case 0:
      return nullptr;
    case 1:
      return UniformBelow(random, 2) == 0;
    case 2:
      return static_cast<std::int64_t>(random());
    case 3:
      return random();
    case 4:
      return UniformBelow(random, 100);
    case 5:
      return UniformUnit(random);
    case 6:
      return "service-1";
    case 7:
      return Json::array({1, "GET", Json::object()});
    default:
      return {{"name", "service-0"}, {"servers", Json::array()}};
  }
}

/// Replaces, removes or adds one value at a random position.
void MutateValue(Json& document, Random& random) {
  Json* at = &document;
  while (at->is_structured() && !at->empty() && UniformBelow(random, 5) != 0) {
    auto it = at->begin();
    std::advance(it, UniformBelow(random, at->size()));
    at = &*it;
  }
  if (at->is_object() && UniformBelow(random, 2) == 0) {
    (*at)["extra"] = RandomValue(random);
  } else if (at->is_structured() && !at->empty() &&
             UniformBelow(random, 2) == 0) {
    at->erase(at->begin());
  } else {
    *at = RandomValue(random);
  }
}

void MutateText(std::string& text, Random& random) {
  constexpr std::string_view kBytes = "{}[]\",:0-9.eE\\u\xff\x01 a";
  const auto at = UniformBelow(random, text.size());
  switch (UniformBelow(random, 3)) {
    case 0:
      text[at] = kBytes[UniformBelow(random, kBytes.size())];
      break;
    case 1:
      text.erase(at, 1 + UniformBelow(random, 20));
      break;
    default:
      text.insert(at, text.substr(UniformBelow(random, text.size()),
                                  UniformBelow(random, 40)));
      break;
  }
}

/// Returns 1 if the text is accepted, else 0. Asserts that each error is
/// complete, and that an accepted text is unchanged by formatting and parsing.
int CountAcceptedIfStable(const std::string& text) {
  const auto parsed = ParseDeclarations(text);
  if (parsed) {
    const std::string formatted = FormatDeclarations(*parsed);
    const auto again = ParseDeclarations(formatted);
    RC_ASSERT(again.has_value());
    RC_ASSERT(FormatDeclarations(*again) == formatted);
    return 1;
  }
  RC_ASSERT(!parsed.error().empty());
  for (const auto& it : parsed.error()) {
    RC_ASSERT(static_cast<int>(it.code) / 1000 == 6);
    RC_ASSERT(it.place.empty() || it.place.front() == '/');
    RC_ASSERT(!it.message.empty());
  }
  return 0;
}

/// Reference implementation of FindRoute: checks every route.
const Route* FindRouteByFullSearch(const Declarations& declarations,
                                   std::string_view method,
                                   std::string_view path) {
  const Route* best = nullptr;
  for (const auto& it : declarations.routes) {
    const bool matches =
        it.prefix == "/" ||
        (path.starts_with(it.prefix) &&
         (path.size() == it.prefix.size() || path[it.prefix.size()] == '/'));
    const bool names = std::find(it.methods.begin(), it.methods.end(),
                                 method) != it.methods.end();
    if (!matches || (!names && !it.methods.empty())) continue;
    if (best == nullptr || it.prefix.size() > best->prefix.size() ||
        (it.prefix.size() == best->prefix.size() && names)) {
      best = &it;
    }
  }
  return best;
}

/// Returns another spelling of `path`, with escapes or extra segments.
std::string Respelled(const std::string& path, Random& random) {
  std::string buf;
  for (const char it : path) {
    if (it == 'a' && UniformBelow(random, 3) == 0) {
      buf += "%61";
    } else if (it == '/' && UniformBelow(random, 4) == 0) {
      constexpr const char* kSlashes[] = {"//", "/./", "/ab/../", "/a;x/../"};
      buf += kSlashes[UniformBelow(random, 4)];
    } else {
      buf += it;
    }
  }
  return buf;
}

/// Checks a property with a random generator for each of `cases` seeds.
template <typename Body>
void ForRandom(const std::string& title, unsigned seed, int cases, Body body) {
  CheckProperty(title, seed, cases, [&](std::uint64_t n) {
    Random random(n);
    body(random);
  });
}

class PropertiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PropertiesTest);
  CPPUNIT_TEST(FormattedDeclarationsParseToTheSame);
  CPPUNIT_TEST(MutatedDeclarationsAreRejectedOrStable);
  CPPUNIT_TEST(RouteLookupMatchesFullSearch);
  CPPUNIT_TEST(SpellingsDoNotChangeTheRoute);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FormattedDeclarationsParseToTheSame() {
    ForRandom("format, then parse, is the same", 101, 500, [](Random& random) {
      const Declarations before = RandomDeclarations(random);
      const std::string text = FormatDeclarations(before);
      const auto after = ParseDeclarations(text);
      if (!after) RC_FAIL(after.error()[0].message);
      RC_ASSERT(FormatDeclarations(*after) == text);
      RC_ASSERT(after->services.size() == before.services.size());
      RC_ASSERT(after->routes.size() == before.routes.size());
    });
  }

  void MutatedDeclarationsAreRejectedOrStable() {
    int accepted = 0;
    ForRandom("a mutated document is refused or stable", 102, 2000,
              [&](Random& random) {
                std::string text =
                    FormatDeclarations(RandomDeclarations(random));
                Json document = Json::parse(text);
                for (auto n = 1 + UniformBelow(random, 3); n > 0; --n) {
                  MutateValue(document, random);
                }
                accepted += CountAcceptedIfStable(document.dump());
                for (auto n = 1 + UniformBelow(random, 3); n > 0; --n) {
                  MutateText(text, random);
                }
                accepted += CountAcceptedIfStable(text);
              });
    std::cout << "  accepted: " << accepted << " of 4000\n";
    CPPUNIT_ASSERT(accepted > 40 && accepted < 2000);
  }

  void RouteLookupMatchesFullSearch() {
    int found = 0;
    CheckProperty(
        "the route is that of a full search", 103, 500,
        [&](std::uint64_t seed) {
          Random random(seed);
          const auto configuration =
              Compile(ConfigVersion(1), RandomDeclarations(random));
          for (int i = 0; i < 20; ++i) {
            std::string path = RandomPath(random);
            if (UniformBelow(random, 3) == 0) path += "/";
            const char* method = UniformBelow(random, 2) == 0 ? "GET" : "PUT";
            const Route* route = FindRoute(*configuration, method, path);
            RC_ASSERT(route == FindRouteByFullSearch(
                                   configuration->declarations, method, path));
            found += route == nullptr ? 0 : 1;
          }
        });
    std::cout << "  found: " << found << " of 10000\n";
    CPPUNIT_ASSERT(found > 1000 && found < 9000);
  }

  void SpellingsDoNotChangeTheRoute() {
    int respelled = 0;
    int refused = 0;
    CheckProperty(
        "another spelling has the same route or none", 104, 500,
        [&](std::uint64_t seed) {
          Random random(seed);
          const auto configuration =
              Compile(ConfigVersion(1), RandomDeclarations(random));
          for (int i = 0; i < 20; ++i) {
            const std::string path = RandomPath(random);
            const std::string other = Respelled(path, random);
            const Route* plain = FindRoute(*configuration, "PUT", path);
            const Route* route = FindRoute(*configuration, "PUT", other);
            RC_ASSERT(route == nullptr || route == plain);
            respelled += other == path ? 0 : 1;
            refused += route == plain ? 0 : 1;
          }
        });
    std::cout << "  respelled: " << respelled << ", refused: " << refused
              << " of 10000\n";
    CPPUNIT_ASSERT(respelled > 4000 && refused > 200);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PropertiesTest);

}  // namespace
}  // namespace ibisladder::declarations
