// Real instances of the daemon before servers whose answers are not valid HTTP.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/auto/support/story.h"
#include "tests/process/fleet.h"
#include "tests/process/raw_caller.h"

namespace ibisladder::process {
namespace {

using nlohmann::json;
using testing::Section;

constexpr std::size_t kLargeAnswer = 400'000;
constexpr int kStatusOk = 200;
constexpr int kFirstError = 500;
constexpr int kLastError = 599;

ReceivedAnswer Call(const Fleet& fleet, const std::string& method) {
  constexpr Duration kTimeout = Seconds(10);
  const auto loop = std::move(*net::EventLoop::Create());
  const std::string body = method == "POST" ? "amount=1" : "";
  const RawCaller caller(
      *loop, fleet.CallerEndpoint(1),
      method + " /browse HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n" +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  const net::Timer poll(*loop, net::Timer::Kind::kPeriodic, Millis(2), [&] {
    if (caller.has_ended()) loop->Stop();
  });
  const net::Timer guard(*loop, net::Timer::Kind::kOnce, kTimeout,
                         [&] { loop->Stop(); });
  loop->Run();
  return ReadAnswer(caller.received());
}

class SpoiltAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpoiltAnswersTest);
  CPPUNIT_TEST(SpoiltAnswersAreNotPassedOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SpoiltAnswersAreNotPassedOn() {
    FleetOptions options;
    options.instances = 1;
    Fleet fleet(options);
    fleet.Start();
    const auto set_mode = [&](json mode, std::size_t size) {
      mode["mode"] = "spoilt";
      mode["body_bytes"] = size;
      for (int i = 1; i <= options.servers; ++i) fleet.SetServerMode(i, mode);
    };
    for (const char* method : {"GET", "POST"}) {
      for (const std::size_t size : {std::size_t{0}, kLargeAnswer}) {
        const std::string kind = std::string(method) + ", at least " +
                                 std::to_string(size) + " bytes";
        Section(kind + ", valid", [&] {
          set_mode(json::object(), size);
          const ReceivedAnswer it = Call(fleet, method);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.Logs(), kStatusOk, it.status);
          CPPUNIT_ASSERT(it.is_whole && it.body.size() >= size);
        });
        for (const json& mode :
             {json{{"status", 1}}, json{{"status", 20}}, json{{"status", 99}},
              json{{"status", 600}}, json{{"field", "X-Server Load"}},
              json{{"field", "X-Note "}}, json{{"field", "X-No\x01te"}},
              json{{"coding", "gzip"}}}) {
          Section(kind + ", " + mode.dump(), [&] {
            set_mode(mode, size);
            const ReceivedAnswer it = Call(fleet, method);
            const std::string text = std::to_string(it.status) + "\n" +
                                     it.head + "\n" + fleet.Logs();
            CPPUNIT_ASSERT_MESSAGE(text, it.is_whole);
            CPPUNIT_ASSERT_MESSAGE(text, it.status >= kFirstError);
            CPPUNIT_ASSERT_MESSAGE(text, it.status <= kLastError);
            CPPUNIT_ASSERT_MESSAGE(text, it.body.size() < kLargeAnswer);
          });
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpoiltAnswersTest);

}  // namespace
}  // namespace ibisladder::process
