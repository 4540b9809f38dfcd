#include "libs/rpc/replies.h"

#include <cppunit/extensions/HelperMacros.h>

#include "libs/declarations/parse.h"
#include "tests/auto/support/story.h"

namespace ibisladder::rpc {
namespace {

using controlplane::AnswerApply;
using controlplane::ApplyRequested;
using testing::Section;

constexpr std::string_view kBilling = R"({
  "services": [{"name": "billing", "servers": [
    {"name": "b1", "endpoint": "127.0.0.1:21021", "zone": "quito-a"},
    {"name": "b2", "endpoint": "127.0.0.1:21022", "zone": "quito-b"}]}],
  "routes": []})";

declarations::ConfigurationPtr Billing() {
  return declarations::Compile(ConfigVersion(4),
                               *declarations::ParseDeclarations(kBilling));
}

std::uint32_t Number(ResultCode code) {
  return static_cast<std::uint32_t>(code);
}

ApplyRequest ApplyOf(std::string_view text, const std::string& change_id) {
  ApplyRequest request;
  request.set_declarations_json(std::string(text));
  request.set_based_on(4);
  request.set_change_id(change_id);
  return request;
}

DrainServerRequest DrainOf(const std::string& server, bool drained) {
  DrainServerRequest request;
  request.set_service("billing");
  request.set_server(server);
  request.set_drained(drained);
  request.set_change_id("c2");
  return request;
}

class RepliesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RepliesTest);
  CPPUNIT_TEST(DeclarationsAreValidated);
  CPPUNIT_TEST(DeclarationsInForceAreShown);
  CPPUNIT_TEST(ChangesAreValidated);
  CPPUNIT_TEST(AnswersBecomeReplies);
  CPPUNIT_TEST(ServersAreDrained);
  CPPUNIT_TEST(StatusIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DeclarationsAreValidated() {
    ValidateRequest request;
    request.set_declarations_json(std::string(kBilling));
    CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kDone),
                         HandleValidate(request).result().code());
    request.set_declarations_json(R"({"services": [], "floor": 1})");
    const auto reply = HandleValidate(request);
    CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kInvalidArgument),
                         reply.result().code());
    CPPUNIT_ASSERT_EQUAL(2, reply.result().errors_size());
    CPPUNIT_ASSERT_EQUAL(std::string("/floor"),
                         reply.result().errors(0).pointer());
    CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kUnknownField),
                         reply.result().errors(0).code());
  }

  void DeclarationsInForceAreShown() {
    CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kNotReady),
                         HandleShow(nullptr).result().code());
    const auto configuration = Billing();
    const auto reply = HandleShow(configuration.get());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, reply.version());
    CPPUNIT_ASSERT(
        declarations::ParseDeclarations(reply.declarations_json()).has_value());
    CPPUNIT_ASSERT(HandleVersion().program().starts_with("ibisladder "));
  }

  void ChangesAreValidated() {
    Section("a valid change goes to the control plane", [] {
      const auto step = HandleApply(ApplyOf(kBilling, "c1"), 9);
      const auto* asked = std::get_if<ApplyRequested>(&step);
      CPPUNIT_ASSERT(asked != nullptr && asked->procedure == 9);
      CPPUNIT_ASSERT(asked->based_on == ConfigVersion(4));
      CPPUNIT_ASSERT_EQUAL(std::string("c1"), asked->change_id);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked->declarations.services.size());
    });
    Section("an invalid one gets all errors, also for its change id", [] {
      const auto step = HandleApply(ApplyOf("{}", ""), 9);
      const auto* reply = std::get_if<ApplyReply>(&step);
      CPPUNIT_ASSERT(reply != nullptr);
      CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kInvalidArgument),
                           reply->result().code());
      CPPUNIT_ASSERT_EQUAL(3, reply->result().errors_size());
      CPPUNIT_ASSERT_EQUAL(std::string("/change_id"),
                           reply->result().errors(0).pointer());
    });
  }

  void AnswersBecomeReplies() {
    const auto conflict =
        MakeApplyReply({9, ResultCode::kConflict, ConfigVersion(5),
                        "based on 4, in force is 5"});
    CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kConflict),
                         conflict.result().code());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, conflict.version());
    CPPUNIT_ASSERT_EQUAL(std::string("based on 4, in force is 5"),
                         conflict.result().message());
    const auto lost = MakeDrainServerReply(
        {9, ResultCode::kWriteUnknown, ConfigVersion(4), ""});
    CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kWriteUnknown),
                         lost.result().code());
    CPPUNIT_ASSERT(!lost.result().message().empty());
  }

  void ServersAreDrained() {
    const auto configuration = Billing();
    Section(
        "as a change of that server only, based on the active version", [&] {
          const auto step =
              HandleDrainServer(DrainOf("b2", true), configuration.get(), 3);
          const auto* asked = std::get_if<ApplyRequested>(&step);
          CPPUNIT_ASSERT(asked != nullptr);
          CPPUNIT_ASSERT(asked->based_on == ConfigVersion(4));
          auto expected = configuration->declarations;
          expected.services[0].servers[1].drained = true;
          CPPUNIT_ASSERT_EQUAL(
              declarations::FormatDeclarations(expected),
              declarations::FormatDeclarations(asked->declarations));
        });
    const auto code_of = [&](const DrainServerRequest& request,
                             const declarations::Configuration* in_force) {
      const auto step = HandleDrainServer(request, in_force, 3);
      const auto* reply = std::get_if<DrainServerReply>(&step);
      return reply == nullptr ? 0 : reply->result().code();
    };
    Section("one that already has the state needs no change", [&] {
      CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kDone),
                           code_of(DrainOf("b1", false), configuration.get()));
    });
    Section("an undeclared server is not found", [&] {
      CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kNotFound),
                           code_of(DrainOf("b9", true), configuration.get()));
    });
    Section("an empty name is invalid", [&] {
      CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kInvalidArgument),
                           code_of(DrainOf("", true), configuration.get()));
    });
    Section("no server can be drained before there is a configuration", [&] {
      CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kNotReady),
                           code_of(DrainOf("b1", true), nullptr));
    });
  }

  void StatusIsReported() {
    StatusSource source;
    source.instance = InstanceId(7);
    source.zone = ZoneName("quito-a");
    source.path.records = 12;
    source.path.servers.push_back({"billing", "b1", ZoneName("quito-a"),
                                   "ejected", "3 corrupt answers", 1, 6.5});
    source.control.version = ConfigVersion(4);
    source.control.stopping = true;
    source.control.peers.push_back({InstanceId(8),
                                    Incarnation(1),
                                    ZoneName("quito-b"),
                                    {"127.0.0.1", 7101},
                                    "one-way",
                                    ConfigVersion(3),
                                    Millis(700)});
    const auto reply = HandleStatus(source);
    CPPUNIT_ASSERT_EQUAL(7U, reply.instance());
    CPPUNIT_ASSERT(reply.stopping() && reply.records() == 12);
    CPPUNIT_ASSERT_EQUAL(std::string("3 corrupt answers"),
                         reply.servers(0).reason());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7101"),
                         reply.peers(0).caller_endpoint());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{700}, reply.peers(0).heard_ms_ago());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepliesTest);

}  // namespace
}  // namespace ibisladder::rpc
