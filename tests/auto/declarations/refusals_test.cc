#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "libs/declarations/consistency.h"
#include "libs/declarations/declaration_fields.h"
#include "libs/declarations/parse.h"
#include "tests/auto/support/story.h"

namespace ibisladder::declarations {
namespace {

using json::Json;
using testing::Section;

constexpr std::string_view kValid = R"({
  "services": [
    {"name": "billing", "servers": [
      {"name": "b1", "endpoint": "10.0.0.1:80", "zone": "quito-a"},
      {"name": "b2", "endpoint": "10.0.0.2:80", "zone": "quito-b"}]}],
  "routes": [
    {"prefix": "/charges", "methods": ["POST"], "service": "billing"},
    {"prefix": "/charges", "service": "billing"}],
  "organisations": [{"name": "andes-surf"}]})";

std::vector<Error> ErrorsOf(std::string_view text) {
  const auto parsed = ParseDeclarations(text);
  return parsed ? std::vector<Error>() : parsed.error();
}

/// A value to replace in kValid, and the expected error.
struct Refusal {
  const char* pointer;
  const char* value;
  ResultCode code;
  /// Pointer of the expected error; empty means `pointer`.
  const char* place = "";
};

void AssertRefused(const Refusal& refusal) {
  Json document = Json::parse(kValid);
  document[Json::json_pointer(refusal.pointer)] = Json::parse(refusal.value);
  const std::string place = *refusal.place ? refusal.place : refusal.pointer;
  const auto errors = ErrorsOf(document.dump());
  const bool found =
      std::any_of(errors.begin(), errors.end(), [&](const Error& it) {
        return it.code == refusal.code && it.place == place &&
               !it.message.empty();
      });
  CPPUNIT_ASSERT_MESSAGE(place + " = " + refusal.value, found);
}

class RefusalsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalsTest);
  CPPUNIT_TEST(InvalidValuesAreRejected);
  CPPUNIT_TEST(ContradictionsAreRejected);
  CPPUNIT_TEST(OneMistakeGivesOneError);
  CPPUNIT_TEST(MalformedTextIsRejected);
  CPPUNIT_TEST(OversizedTextIsRejected);
  CPPUNIT_TEST(CollidingIdsAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvalidValuesAreRejected() {
    CPPUNIT_ASSERT(ErrorsOf(kValid).empty());
    Section("unknown fields", [] {
      AssertRefused({"/servcies", "[]", ResultCode::kUnknownField});
      AssertRefused(
          {"/services/0/servers/0/colour", "1", ResultCode::kUnknownField});
      AssertRefused({"/routes/0/a~1b", "1", ResultCode::kUnknownField});
    });
    Section("values of the wrong type", [] {
      AssertRefused({"/services", "{}", ResultCode::kWrongType});
      AssertRefused({"/services/0", "7", ResultCode::kWrongType});
      AssertRefused({"/services/0/servers", "null", ResultCode::kWrongType});
      AssertRefused(
          {"/services/0/floor_percent", "70.5", ResultCode::kWrongType});
      AssertRefused(
          {"/services/0/servers/0/drained", "\"no\"", ResultCode::kWrongType});
      AssertRefused({"/routes/0/repeat", "true", ResultCode::kWrongType});
      AssertRefused({"/routes/0/methods", "\"GET\"", ResultCode::kWrongType});
      AssertRefused({"/routes/0/methods/0", "7", ResultCode::kWrongType});
    });
    Section("numbers out of range", [] {
      AssertRefused({"/address_count", "17", ResultCode::kOutOfRange});
      AssertRefused({"/keep_addresses_ms", "-1", ResultCode::kOutOfRange});
      AssertRefused(
          {"/services/0/floor_percent", "101", ResultCode::kOutOfRange});
      AssertRefused({"/services/0/false_ejections_per_server_day", "0",
                     ResultCode::kOutOfRange});
      AssertRefused({"/services/0/max_answer_bytes", "18446744073709551615",
                     ResultCode::kOutOfRange});
      AssertRefused(
          {"/services/0/servers/1/slots", "0", ResultCode::kOutOfRange});
    });
    Section("invalid names, methods and paths", [] {
      for (const char* it : {"\"\"", "\"Billing\"", "\"a b\"", "\"a/b\""}) {
        AssertRefused(
            {"/services/0/servers/0/name", it, ResultCode::kOutOfRange});
      }
      AssertRefused(
          {"/routes/0/methods/0", "\"post\"", ResultCode::kOutOfRange});
      for (const char* it :
           {"\"\"", "\"charges\"", "\"/charges/\"", "\"//\"", "\"/a/../b\"",
            "\"/a?b\"", "\"/a b\"", "\"/ibisladder\"", "\"/ibisladder/v1\""}) {
        AssertRefused({"/routes/0/prefix", it, ResultCode::kOutOfRange});
      }
    });
    Section("addresses that cannot be connected to", [] {
      for (const char* it :
           {"\"billing:80\"", "\"10.0.0.1\"", "\"10.0.0.1:0\"",
            "\"10.0.0.1:080\"", "\"10.0.0.1:\"", "\"10.0.0.1:65536\"",
            "\"10.0.0:80\"", "\"0.0.0.0:80\"", "\"[::]:80\"", "\"::1:80\"",
            "\"\""}) {
        AssertRefused(
            {"/services/0/servers/0/endpoint", it, ResultCode::kBadAddress});
      }
    });
  }

  void ContradictionsAreRejected() {
    Section("a duplicate name", [] {
      AssertRefused(
          {"/services/0/servers/1/name", "\"b1\"", ResultCode::kDuplicateName});
      AssertRefused({"/organisations/1", R"({"name": "andes-surf"})",
                     ResultCode::kDuplicateName, "/organisations/1/name"});
    });
    Section("two servers of a service at one endpoint, in any spelling", [] {
      AssertRefused({"/services/0/servers/1/endpoint", "\"10.0.0.1:80\"",
                     ResultCode::kDuplicateName});
    });
    Section("two routes for the same prefix and method", [] {
      AssertRefused({"/routes/1/methods", R"(["GET", "POST"])",
                     ResultCode::kDuplicateName, "/routes/1/methods/1"});
      AssertRefused({"/routes/0/methods", "[]", ResultCode::kDuplicateName,
                     "/routes/1/prefix"});
    });
    Section("a route to an undeclared service", [] {
      AssertRefused(
          {"/routes/0/service", "\"biling\"", ResultCode::kUnknownReference});
    });
    Section("a deadline above the maximum of the service", [] {
      AssertRefused({"/services/0/max_deadline_ms", "4000",
                     ResultCode::kOutOfRange, "/routes/0/deadline_ms"});
    });
  }

  void OneMistakeGivesOneError() {
    const auto count_with = [](const char* pointer, const char* value) {
      Json document = Json::parse(kValid);
      document["services"].push_back(document["services"][0]);
      document["services"][1]["name"] = "rental";
      document[Json::json_pointer(pointer)] = Json::parse(value);
      return ErrorsOf(document.dump()).size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         count_with("/routes/0/methods/0", "\"post\""));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         count_with("/services/1/name", "\"a b\""));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        count_with("/services/1/servers/0/endpoint", "\"b1:80\""));
  }

  void MalformedTextIsRejected() {
    const auto code_of = [](const std::string& text) {
      const auto errors = ErrorsOf(text);
      return errors.empty() ? ResultCode::kDone : errors[0].code;
    };
    CPPUNIT_ASSERT(code_of("") == ResultCode::kNotJson);
    CPPUNIT_ASSERT(code_of("{\"services\": [") == ResultCode::kNotJson);
    CPPUNIT_ASSERT(code_of("{} {}") == ResultCode::kNotJson);
    CPPUNIT_ASSERT(code_of("{\"a\": \"\xff\"}") == ResultCode::kNotJson);
    CPPUNIT_ASSERT(code_of("{\"a\": 1e999}") == ResultCode::kNotJson);
    CPPUNIT_ASSERT(code_of("null") == ResultCode::kWrongType);
    CPPUNIT_ASSERT(code_of("{}") == ResultCode::kFieldMissing);
    Section("the error gives line and column", [] {
      CPPUNIT_ASSERT(ErrorsOf("{\n\"a\" 1}")[0].message.find(
                         "line 2, column 5") != std::string::npos);
    });
    Section("a duplicate key", [] {
      const auto errors =
          ErrorsOf(R"({"services": [], "routes": [], "services": []})");
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
      CPPUNIT_ASSERT(errors[0].code == ResultCode::kDuplicateName);
      CPPUNIT_ASSERT_EQUAL(std::string("/services"), errors[0].place);
    });
    Section("too deep nesting", [] {
      const auto errors =
          ErrorsOf("{\"services\": " + std::string(1U << 20U, '['));
      CPPUNIT_ASSERT(errors[0].code == ResultCode::kOutOfRange);
    });
  }

  void OversizedTextIsRejected() {
    Section("too many bytes", [] {
      const auto errors = ErrorsOf(std::string(kMaxDocumentBytes + 1, ' '));
      CPPUNIT_ASSERT(errors[0].code == ResultCode::kTooLarge);
    });
    Section("too many values in an unknown field", [] {
      std::string text = R"({"services": [], "routes": [], "x": [0)";
      for (std::size_t i = 0; i < json::kMaxValues; ++i) text += ",0";
      const auto errors = ErrorsOf(text + "]}");
      CPPUNIT_ASSERT(errors[0].code == ResultCode::kTooLarge);
    });
    Section("too many errors: only the first are reported", [] {
      std::string text = R"({"routes": [], "services": [0)";
      for (std::size_t i = 0; i < 2 * json::kMaxErrors; ++i) text += ",0";
      const auto errors = ErrorsOf(text + "]}");
      CPPUNIT_ASSERT_EQUAL(json::kMaxErrors, errors.size());
    });
  }

  void CollidingIdsAreRejected() {
    json::Errors errors;
    IdRegistry ids(errors);
    ids.Add(7, "billing", "/services/0/name");
    ids.Add(7, "library", "/services/1/name");
    ids.Add(8, "confirm", "/services/2/name");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
    CPPUNIT_ASSERT(errors[0].code == ResultCode::kIdCollision);
    CPPUNIT_ASSERT_EQUAL(std::string("/services/1/name"), errors[0].place);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalsTest);

}  // namespace
}  // namespace ibisladder::declarations
