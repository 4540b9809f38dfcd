#include "plugins/operators/metrics.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <regex>
#include <sstream>

#include "tests/auto/support/story.h"

namespace ibisladder::operators {
namespace {

using testing::Section;

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(EveryMetricIsRendered);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryMetricIsRendered() {
    callerpath::PathStatus path;
    path.counters.done = 5;
    path.servers = {{"shop", "s1", {}, "ejected", "", 0, 0},
                    {"shop", "s2", {}, "healthy", "", 0, 0}};
    controlplane::ControlStatus control;
    control.peers.resize(1);
    control.peers[0].state = "one-way";
    const std::string text = RenderMetrics(path, control);
    const auto has = [&](const std::string& line) {
      CPPUNIT_ASSERT_MESSAGE(line + " in\n" + text,
                             text.find(line) != std::string::npos);
    };
    has("ibisladder_answers_total{outcome=\"done\"} 5");
    has("ibisladder_backend_servers{service=\"shop\",state=\"ejected\"} 1");
    has("ibisladder_peers{state=\"one-way\"} 1");
    Section("every metric is listed in docs/METRICS.md", [&] {
      std::ostringstream table;
      table << std::ifstream("docs/METRICS.md").rdbuf();
      const std::regex type("# TYPE ibisladder_([a-z_]+) ");
      for (std::sregex_iterator it(text.begin(), text.end(), type), end;
           it != end; ++it) {
        const std::string name = (*it)[1];
        CPPUNIT_ASSERT_MESSAGE(name,
                               table.str().find(name) != std::string::npos);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace
}  // namespace ibisladder::operators
