#include "tools/load/summary.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/auto/support/story.h"

namespace ibisladder::load {
namespace {

using testing::CheckProperty;
using testing::Section;

/// Returns `n` ms down to 1 ms.
std::vector<Duration> Descending(int n) {
  std::vector<Duration> result;
  for (int it = n; it > 0; --it) result.push_back(Millis(it));
  return result;
}

Summary MakeSummary() {
  Summary result;
  result.targets = {Summarize(kDirect, {Descending(1000), 0}, Seconds(10)),
                    Summarize(kEntry, {Descending(2000), 3}, Seconds(10))};
  return result;
}

class SummaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SummaryTest);
  CPPUNIT_TEST(QuantilesUseNearestRank);
  CPPUNIT_TEST(TargetsAreComparedByQuantile);
  CPPUNIT_TEST_SUITE_END();

 public:
  void QuantilesUseNearestRank() {
    Section("a thousand calls", [] {
      const Quantiles it = QuantilesOf(Descending(1000));
      CPPUNIT_ASSERT(it.p50 == Millis(500));
      CPPUNIT_ASSERT(it.p99 == Millis(990));
      CPPUNIT_ASSERT(it.p999 == Millis(999));
    });
    Section("all quantiles of a single call are its time", [] {
      CPPUNIT_ASSERT(QuantilesOf({Millis(7)}).p50 == Millis(7));
      CPPUNIT_ASSERT(QuantilesOf({Millis(7)}).p999 == Millis(7));
    });
    Section("quantiles of no calls are zero",
            [] { CPPUNIT_ASSERT(QuantilesOf({}).p99 == Duration(0)); });
    CheckProperty("at least 99% of calls are no longer than p99", 71, 200, [] {
      auto micros = *rc::gen::nonEmpty<std::vector<std::uint16_t>>();
      std::vector<Duration> times(micros.begin(), micros.end());
      const Duration p99 = QuantilesOf(times).p99;
      const auto within = [&](Duration it) { return it <= p99; };
      const auto n = std::count_if(times.begin(), times.end(), within);
      RC_ASSERT(static_cast<std::size_t>(n) * 100 >= times.size() * 99);
      RC_ASSERT(std::count(times.begin(), times.end(), p99) > 0);
    });
  }

  void TargetsAreComparedByQuantile() {
    const Summary summary = MakeSummary();
    Section("rates count successful calls only", [&] {
      CPPUNIT_ASSERT_EQUAL(200.0, summary.targets[1].requests_per_second);
    });
    Section("added times are differences of quantiles",
            [&] { CPPUNIT_ASSERT(AddedTimes(summary).p99 == Millis(990)); });
    Section("the table and the JSON contain the results", [&] {
      CPPUNIT_ASSERT(FormatTable(summary).find(
                         "entry        2000       3       200.0  1000.000  "
                         "1980.000  1998.000\n") != std::string::npos);
      CPPUNIT_ASSERT(
          FormatJson(summary).find(
              R"("added":{"p50_ms":500.0,"p99_ms":990.0,"p999_ms":999.0})") !=
          std::string::npos);
    });
    Section("a single target has no added times", [&] {
      Summary single;
      single.targets = {summary.targets[1]};
      CPPUNIT_ASSERT(AddedTimes(single).p99 == Duration(0));
      CPPUNIT_ASSERT(FormatJson(single).find("added") == std::string::npos);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SummaryTest);

}  // namespace
}  // namespace ibisladder::load
