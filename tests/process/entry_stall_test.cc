#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <set>
#include <sstream>

#include "tests/auto/support/story.h"
#include "tests/process/stalled_entry.h"

namespace ibisladder::process {
namespace {

using testing::Section;

/// Number of stalls; more for a run by hand.
constexpr char kStallsVariable[] = "IBIS_STALLS";
constexpr char kSeedVariable[] = "IBIS_SEED";
constexpr Duration kRecoveryTime = Seconds(2);
constexpr int kStatusOk = 200;
/// Statuses that promise that the request has not run.
constexpr std::array<int, 4> kNotRunStatuses = {408, 421, 429, 503};
/// The failure message shows this many ids with their log lines.
constexpr std::size_t kShownIds = 5;

StalledEntry::Options OptionsOfEnvironment() {
  StalledEntry::Options options;
  if (const char* text = std::getenv(kStallsVariable)) {
    options.stalls = std::atoi(text);
  }
  if (const char* text = std::getenv(kSeedVariable)) {
    options.seed = std::strtoull(text, nullptr, 10);
  }
  return options;
}

class EntryStallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryStallTest);
  CPPUNIT_TEST(StallsRunNoAtMostOnceRequestTwice);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against at-most-once requests that run twice, or run although the
  /// caller was told that they did not, because the instance stalls between the
  /// connect to a backend server and the report of that connect.
  void StallsRunNoAtMostOnceRequestTwice() {
    const auto options = OptionsOfEnvironment();
    StalledEntry entry(options);
    entry.Run();
    std::cout << "  " << options.stalls << " stalls, seed " << options.seed
              << ": " << Summary(entry) << "\n";
    Section("no at-most-once request runs twice",
            [&] { AssertNone(entry, Doubled(entry)); });
    Section("none that the caller was told has not run runs at all",
            [&] { AssertNone(entry, ExecutedAfterRefusal(entry)); });
    Section("every caller gets an answer or a closed connection",
            [&] { AssertNone(entry, Unended(entry)); });
    Section("a success is the answer of an execution of the same request",
            [&] { AssertNone(entry, WrongSuccesses(entry)); });
    Section("requests are served again soon after the last stall",
            [&] { CPPUNIT_ASSERT_MESSAGE(Summary(entry), IsServed(entry)); });
  }

 private:
  /// Returns the ids of the calls that match, given the id, the call and the
  /// number of its executions.
  template <typename Predicate>
  static std::vector<std::string> IdsOf(const StalledEntry& entry,
                                        Predicate matches) {
    std::vector<std::string> ids;
    for (const auto& [id, call] : entry.calls()) {
      const auto it = entry.executions().find(id);
      const std::size_t n =
          it == entry.executions().end() ? 0 : it->second.size();
      if (matches(id, call, n)) ids.push_back(id);
    }
    return ids;
  }

  static std::vector<std::string> Doubled(const StalledEntry& entry) {
    return IdsOf(entry, [](const auto&, const EntryCall& call, std::size_t n) {
      return call.is_at_most_once && n > 1;
    });
  }

  static std::vector<std::string> ExecutedAfterRefusal(
      const StalledEntry& entry) {
    return IdsOf(entry, [](const auto&, const EntryCall& call, std::size_t n) {
      const bool is_refusal = std::ranges::find(kNotRunStatuses, call.status) !=
                              kNotRunStatuses.end();
      return call.is_at_most_once && is_refusal && n > 0;
    });
  }

  static std::vector<std::string> Unended(const StalledEntry& entry) {
    return IdsOf(entry, [](const auto&, const EntryCall& call, std::size_t) {
      return !call.ended_at.has_value();
    });
  }

  static std::vector<std::string> WrongSuccesses(const StalledEntry& entry) {
    return IdsOf(
        entry, [](const std::string& id, const EntryCall& call, std::size_t n) {
          return call.status == kStatusOk && (n == 0 || call.answered_id != id);
        });
  }

  static bool IsServed(const StalledEntry& entry) {
    return std::ranges::any_of(entry.calls(), [&](const auto& it) {
      const EntryCall& call = it.second;
      return call.is_at_most_once && call.status == kStatusOk &&
             call.sent_at > entry.resumed_at() &&
             *call.ended_at - entry.resumed_at() <= kRecoveryTime;
    });
  }

  /// Returns the number of different stalls of the calls.
  static std::size_t StallsOf(const StalledEntry& entry,
                              const std::vector<std::string>& ids) {
    std::set<int> stalls;
    for (const auto& it : ids)
      stalls.insert(entry.calls().at(it).stalls_before);
    return stalls.size();
  }

  static void AssertNone(const StalledEntry& entry,
                         const std::vector<std::string>& ids) {
    std::string message = std::to_string(ids.size()) + " ids\n";
    for (std::size_t i = 0; i < std::min(ids.size(), kShownIds); ++i) {
      message += Describe(entry, ids[i]);
    }
    CPPUNIT_ASSERT_MESSAGE(message, ids.empty());
  }

  /// Returns the events of one call in milliseconds since its start, and the
  /// instance's log lines about it.
  static std::string Describe(const StalledEntry& entry,
                              const std::string& id) {
    const EntryCall& call = entry.calls().at(id);
    std::ostringstream out;
    out << id << ": status " << call.status;
    if (call.ended_at) {
      out << " after " << ToMillis(*call.ended_at - call.sent_at) << " ms";
    }
    if (const auto it = entry.executions().find(id);
        it != entry.executions().end()) {
      for (const auto& [server, at] : it->second) {
        out << ", executed by " << server << " after "
            << ToMillis(at - call.sent_at) << " ms";
      }
    }
    out << "\n" << entry.LogLinesWith("\"" + id + "\"");
    return out.str();
  }

  /// Returns the numbers of calls by status, and of broken promises.
  static std::string Summary(const StalledEntry& entry) {
    std::map<int, int> counts;
    for (const auto& [id, call] : entry.calls()) ++counts[call.status];
    std::ostringstream out;
    out << entry.calls().size() << " calls";
    for (const auto& [status, n] : counts) {
      out << ", " << n << " with status " << status;
    }
    const auto doubled = Doubled(entry);
    out << "; at-most-once: " << doubled.size() << " executed twice in "
        << StallsOf(entry, doubled) << " stalls, "
        << ExecutedAfterRefusal(entry).size() << " executed after a refusal";
    return out.str();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryStallTest);

}  // namespace
}  // namespace ibisladder::process
