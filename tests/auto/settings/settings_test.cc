#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "libs/base/random.h"
#include "libs/settings/daemon_settings.h"
#include "libs/settings/settings_fields.h"
#include "tests/auto/support/story.h"

namespace ibisladder::settings {
namespace {

using testing::Section;

constexpr std::string_view kMinimalSettings = R"({
  "fleet": "cumbre", "instance": 7, "zone": "quito-a",
  "caller_endpoint": "127.0.0.1:7001", "peer_endpoint": "127.0.0.1:7002",
  "operator_endpoint": "127.0.0.1:7003",
  "operator_token": "0123456789abcdef",
  "platform_endpoint": "127.0.0.1:7000"})";

/// Returns `kMinimalSettings` with one field added or replaced.
std::string With(std::string_view field) {
  const std::string name(field.substr(0, field.find(':') + 1));
  std::string text(kMinimalSettings);
  if (const auto at = text.find(name); at != std::string::npos) {
    text.replace(at, text.find_first_of(",}", at) - at, field);
    return text;
  }
  text.insert(1, std::string(field) + ",");
  return text;
}

std::vector<Error> ErrorsOf(std::string_view text) {
  const auto parsed = ParseDaemonSettings(text);
  return parsed ? std::vector<Error>() : parsed.error();
}

void AssertError(ResultCode code, const std::string& place,
                 std::string_view text) {
  const auto errors = ErrorsOf(text);
  const bool found =
      std::any_of(errors.begin(), errors.end(), [&](const Error& it) {
        return it.code == code && it.place == place && !it.message.empty();
      });
  CPPUNIT_ASSERT_MESSAGE("no error at " + place, found);
}

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(MinimalSettingsAreAccepted);
  CPPUNIT_TEST(InvalidSettingsAreRejected);
  CPPUNIT_TEST(AllErrorsAreReportedAtOnce);
  CPPUNIT_TEST(MutatedSettingsAreRejectedOrReadExactly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MinimalSettingsAreAccepted() {
    const auto settings = ParseDaemonSettings(kMinimalSettings);
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT(settings->instance == InstanceId(7));
    CPPUNIT_ASSERT(settings->peer_endpoint == (Endpoint{"127.0.0.1", 7002}));
    CPPUNIT_ASSERT(settings->heartbeat_interval == Millis(500));
    const auto seeded =
        ParseDaemonSettings(With(R"("seeds": ["127.0.0.1:7102"])"));
    CPPUNIT_ASSERT(seeded.has_value() && seeded->seeds.size() == 1);
  }

  void InvalidSettingsAreRejected() {
    Section("an unknown field", [] {
      AssertError(ResultCode::kUnknownField, "/zones", With(R"("zones": "a")"));
    });
    Section("a host name as address", [] {
      AssertError(ResultCode::kBadAddress, "/caller_endpoint",
                  With(R"("caller_endpoint": "localhost:7001")"));
    });
    Section("an unspecified address, which callers cannot connect to", [] {
      AssertError(ResultCode::kBadAddress, "/caller_endpoint",
                  With(R"("caller_endpoint": "0.0.0.0:7001")"));
    });
    Section("two listeners at one endpoint", [] {
      AssertError(ResultCode::kDuplicateName, "/operator_endpoint",
                  With(R"("operator_endpoint": "127.0.0.1:7001")"));
    });
    Section("a short token", [] {
      AssertError(ResultCode::kOutOfRange, "/operator_token",
                  With(R"("operator_token": "secret")"));
    });
    Section("a peer timeout that a single lost heartbeat exceeds", [] {
      AssertError(ResultCode::kOutOfRange, "/peer_timeout_ms",
                  With(R"("peer_timeout_ms": 900)"));
    });
    Section("a number beyond every integer type", [] {
      AssertError(ResultCode::kOutOfRange, "/max_records",
                  With(R"("max_records": 18446744073709551615)"));
    });
    Section("instance 0, and a number too large for the field's type", [] {
      AssertError(ResultCode::kOutOfRange, "/instance",
                  With(R"("instance": 0)"));
      AssertError(ResultCode::kOutOfRange, "/instance",
                  With(R"("instance": 4294967296)"));
    });
    Section("a fraction instead of an integer", [] {
      AssertError(ResultCode::kWrongType, "/instance",
                  With(R"("instance": 1.5)"));
    });
    Section("a seed without port, reported by its index", [] {
      AssertError(ResultCode::kBadAddress, "/seeds/1",
                  With(R"("seeds": ["127.0.0.1:7102", "127.0.0.1"])"));
    });
    Section("a duplicate field", [] {
      std::string text(kMinimalSettings);
      text.insert(1, R"("zone": "quito-b",)");
      AssertError(ResultCode::kDuplicateName, "/zone", text);
    });
    Section("text that is not JSON, or not an object", [] {
      AssertError(ResultCode::kNotJson, "", "{\"fleet\": ");
      AssertError(ResultCode::kNotJson, "", "");
      AssertError(ResultCode::kWrongType, "", "[]");
    });
  }

  void AllErrorsAreReportedAtOnce() {
    AssertError(ResultCode::kFieldMissing, "/fleet", "{}");
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, ErrorsOf("{}").size());
  }

  void MutatedSettingsAreRejectedOrReadExactly() {
    int accepted = 0;
    testing::CheckProperty(
        "mutated settings are refused, or taken as they stand", 201, 20000,
        [&](std::uint64_t seed) {
          constexpr std::string_view kBytes = "00112345678990-.a\"{,\xff";
          Random random(seed);
          std::string text = With(R"("seeds": ["127.0.0.1:7102"])");
          for (auto n = 1 + UniformBelow(random, 3); n > 0; --n) {
            const auto at = UniformBelow(random, text.size());
            text[at] = kBytes[UniformBelow(random, kBytes.size())];
          }
          const auto parsed = ParseDaemonSettings(text);
          if (parsed) {
            const auto given = json::Json::parse(text);
            const json::Json taken =
                json::WriteFields(kSettingsFields, *parsed);
            for (const auto& [key, value] : given.items()) {
              if (key != "seeds")
                RC_ASSERT(taken.value(key, json::Json()) == value);
            }
            ++accepted;
            return;
          }
          RC_ASSERT(!parsed.error().empty());
          for (const auto& it : parsed.error()) {
            RC_ASSERT(static_cast<int>(it.code) / 1000 == 6);
            RC_ASSERT(!it.message.empty());
          }
        });
    std::cout << "  accepted: " << accepted << " of 20000\n";
    CPPUNIT_ASSERT(accepted > 200 && accepted < 18000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace ibisladder::settings
