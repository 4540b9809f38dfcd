#include <cppunit/extensions/HelperMacros.h>

#include "libs/rpc/procedures.h"
#include "libs/rpc/replies.h"
#include "tests/auto/support/story.h"

namespace ibisladder::rpc {
namespace {

using testing::CheckProperty;
using testing::Section;

constexpr std::string_view kJson = "application/json";
constexpr std::string_view kBinary = "application/x-protobuf";
constexpr std::string_view kToken = "0123456789abcdef";
constexpr std::string_view kApply = "/ibisladder.Operators/Apply";

ResultCode CodeOf(std::string_view path, std::string_view type,
                  std::string_view body) {
  const auto call = DecodeCall(path, type, body);
  return call ? ResultCode::kDone : call.error().code;
}

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(CallsAreDecoded);
  CPPUNIT_TEST(InvalidCallsAreRejected);
  CPPUNIT_TEST(RandomBodiesAreDecodedOrRejected);
  CPPUNIT_TEST(RepliesAreEncoded);
  CPPUNIT_TEST(TokensAreChecked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CallsAreDecoded() {
    Section("from JSON, by the schema's names", [] {
      const auto call = DecodeCall(
          kApply, "application/json; charset=utf-8",
          R"({"declarations_json": "{}", "based_on": 7, "change_id": "c1"})");
      CPPUNIT_ASSERT(call.has_value());
      const auto& apply = std::get<ApplyRequest>(*call);
      CPPUNIT_ASSERT(apply.based_on() == 7 && apply.change_id() == "c1");
    });
    Section("from binary messages, for every procedure", [] {
      const std::vector<ProcedureCall> calls = {
          ValidateRequest(), ApplyRequest(),       ShowRequest(),
          StatusRequest(),   DrainServerRequest(), DrainInstanceRequest(),
          VersionRequest()};
      for (const auto& it : calls) {
        const auto call =
            DecodeCall(ProcedurePath(it), kBinary, EncodeCall(it));
        CPPUNIT_ASSERT(call.has_value());
        CPPUNIT_ASSERT_EQUAL(it.index(), call->index());
      }
    });
  }

  void InvalidCallsAreRejected() {
    const auto expect_code = [](ResultCode expected, std::string_view path,
                                std::string_view type, std::string_view body) {
      CPPUNIT_ASSERT_MESSAGE(std::string(body.substr(0, 40)),
                             CodeOf(path, type, body) == expected);
    };
    Section("an unknown path", [&] {
      for (const char* it : {"/ibisladder.Operators/Reset", "Apply", ""}) {
        expect_code(ResultCode::kNotFound, it, kJson, "{}");
      }
    });
    Section("an unsupported content type", [&] {
      expect_code(ResultCode::kInvalidArgument, kApply, "text/plain", "{}");
      expect_code(ResultCode::kInvalidArgument, kApply, "", "{}");
    });
    Section("a body that is not JSON, or has an invalid field", [&] {
      for (const char* it : {"{", R"({"basedon": 1})", R"({"based_on": -1})"}) {
        expect_code(ResultCode::kInvalidArgument, kApply, kJson, it);
      }
    });
    Section("a body that is not a message, or over the limit", [&] {
      expect_code(ResultCode::kInvalidArgument, kApply, kBinary,
                  "\xff\xff\xff");
      expect_code(ResultCode::kTooLarge, kApply, kBinary,
                  std::string(kMaxCallBytes + 1, ' '));
    });
  }

  void RandomBodiesAreDecodedOrRejected() {
    CheckProperty("a random body is decoded or refused", 301, 2000,
                  [](const std::string& body, bool json) {
                    const auto code =
                        CodeOf(kApply, json ? kJson : kBinary, body);
                    RC_ASSERT(code == ResultCode::kDone ||
                              code == ResultCode::kInvalidArgument);
                  });
  }

  void RepliesAreEncoded() {
    ApplyReply reply;
    *reply.mutable_result() =
        MakeResult(ResultCode::kConflict, "4 is in force");
    reply.set_version(4);
    Section("as JSON with every field", [&] {
      CPPUNIT_ASSERT_EQUAL(
          std::string(R"({"result":{"code":5001,"message":"4 is in force",)"
                      R"("errors":[]},"version":"4"})"),
          EncodeReply(reply, ContentType::kJson));
    });
    Section("as a binary message, which the command-line tool decodes", [&] {
      ApplyReply read;
      CPPUNIT_ASSERT(
          DecodeReply(EncodeReply(reply, ContentType::kProtobuf), read));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, read.version());
    });
    Section("an error reply decodes as any reply type", [] {
      const std::string body = EncodeErrorReply(
          {ResultCode::kUnauthorised, "", "no token"}, ContentType::kProtobuf);
      StatusReply read;
      CPPUNIT_ASSERT(DecodeReply(body, read));
      CPPUNIT_ASSERT_EQUAL(5005U, read.result().code());
      CPPUNIT_ASSERT_EQUAL(std::string("no token"), read.result().message());
    });
    Section("result codes map to HTTP status codes", [] {
      CPPUNIT_ASSERT_EQUAL(200, HttpStatusOf(ResultCode::kDone));
      CPPUNIT_ASSERT_EQUAL(400, HttpStatusOf(ResultCode::kInvalidArgument));
      CPPUNIT_ASSERT_EQUAL(401, HttpStatusOf(ResultCode::kUnauthorised));
      CPPUNIT_ASSERT_EQUAL(404, HttpStatusOf(ResultCode::kNotFound));
      CPPUNIT_ASSERT_EQUAL(409, HttpStatusOf(ResultCode::kConflict));
      CPPUNIT_ASSERT_EQUAL(503, HttpStatusOf(ResultCode::kUnavailable));
      CPPUNIT_ASSERT_EQUAL(500, HttpStatusOf(ResultCode::kInternal));
    });
  }

  void TokensAreChecked() {
    Section("the correct token is accepted", [] {
      CPPUNIT_ASSERT(IsAuthorised("Bearer 0123456789abcdef", kToken));
      CPPUNIT_ASSERT(IsAuthorised("bearer 0123456789abcdef", kToken));
    });
    Section("any other is rejected", [] {
      for (const std::string_view it :
           {"", "Bearer ", "Bearer", "Bearer 0123456789abcdeX",
            "Bearer X123456789abcdef", "Bearer 0123456789abcde",
            "Bearer 0123456789abcdef0", "Basic 0123456789abcdef",
            "0123456789abcdef", "Bearer  0123456789abcdef"}) {
        CPPUNIT_ASSERT_MESSAGE(std::string(it), !IsAuthorised(it, kToken));
      }
    });
    Section("without a configured token, every request is rejected",
            [] { CPPUNIT_ASSERT(!IsAuthorised("Bearer ", "")); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace ibisladder::rpc
