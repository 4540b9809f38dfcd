#include "libs/logging/json_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "tests/auto/support/story.h"

namespace ibisladder::logging {
namespace {

using ibisladder::testing::Section;

const LogLine kLine{LogEvent::kCallRefused,
                    {{"request", "r1"}, {"reason", "a \"quote\"\n"}}};

class JsonLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonLogTest);
  CPPUNIT_TEST(LinesAreJsonObjects);
  CPPUNIT_TEST(StalledReaderDoesNotBlock);
  CPPUNIT_TEST(RateIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LinesAreJsonObjects() {
    const auto json = nlohmann::json::parse(FormatJson(kLine, 5));
    CPPUNIT_ASSERT_EQUAL(5, json["t"].get<int>());
    CPPUNIT_ASSERT_EQUAL(1004, json["code"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("call_refused"),
                         json["event"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("a \"quote\"\n"),
                         json["reason"].get<std::string>());
  }

  void StalledReaderDoesNotBlock() {
    int ends[2];
    CPPUNIT_ASSERT_EQUAL(0, pipe(ends));
    JsonLog log(ends[1], {.queue_bytes = 4096, .lines_per_second = 1000000});
    const TimePoint now{Seconds(1)};
    constexpr int kLines = 5000;
    // Nothing reads from the pipe, so a blocking write would never return.
    for (int i = 0; i < kLines; ++i) log.Write(kLine, now);
    Section("lines that do not fit are dropped and counted", [&] {
      CPPUNIT_ASSERT(log.dropped() > 0);
      CPPUNIT_ASSERT(log.dropped() < kLines);
    });
    Section("the number is logged once the reader continues", [&] {
      std::string text;
      char buf[65536];
      for (int i = 0; i < 3; ++i) {
        text.append(buf,
                    static_cast<std::size_t>(read(ends[0], buf, sizeof(buf))));
        log.Flush(now);
      }
      CPPUNIT_ASSERT(text.find("log_lines_dropped") != std::string::npos);
    });
    close(ends[0]);
    close(ends[1]);
  }

  void RateIsBounded() {
    int ends[2];
    CPPUNIT_ASSERT_EQUAL(0, pipe(ends));
    JsonLog log(ends[1], {.queue_bytes = 1U << 20U, .lines_per_second = 10});
    for (int i = 0; i < 25; ++i) log.Write(kLine, TimePoint(Seconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, log.dropped());
    log.Write(kLine, TimePoint(Seconds(2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, log.dropped());
    close(ends[0]);
    close(ends[1]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonLogTest);

}  // namespace
}  // namespace ibisladder::logging
