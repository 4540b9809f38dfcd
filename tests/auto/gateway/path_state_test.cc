#include "libs/gateway/path_state.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

constexpr BackendServerId kA(1);
constexpr BackendServerId kB(2);
constexpr BackendServerId kC(3);
constexpr TimePoint kStart(Seconds(100));

class PathStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PathStateTest);
  CPPUNIT_TEST(OneFailingServerIsNoLostPath);
  CPPUNIT_TEST(PathIsLostIfNoTestedServerIsReached);
  CPPUNIT_TEST(LostPathIsTestedUntilAServerIsReached);
  CPPUNIT_TEST(LossOfOnePathPutsOthersInDoubt);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against one crashed server that takes an instance's whole service
  /// away.
  void OneFailingServerIsNoLostPath() {
    PathState path;
    for (int i = 0; i < 20; ++i) RecordPathFailure(path, kA);
    CPPUNIT_ASSERT(!IsPathTestDue(path, 3, kStart));
    CPPUNIT_ASSERT(!IsPathDoubtful(path));
    Section("failures at a second one start a test", [&] {
      RecordPathFailure(path, kB);
      CPPUNIT_ASSERT(IsPathTestDue(path, 3, kStart));
    });
    Section("unless a server has answered meanwhile", [&] {
      RecordPathAnswer(path, kStart);
      RecordPathFailure(path, kB);
      CPPUNIT_ASSERT(!IsPathTestDue(path, 3, kStart));
    });
    Section("a single server is all there is",
            [&] { CPPUNIT_ASSERT(IsPathTestDue(path, 1, kStart)); });
  }

  void PathIsLostIfNoTestedServerIsReached() {
    PathState path;
    StartPathTest(path, {kA, kB, kC}, true, kStart);
    Section("tests do not overlap", [&] {
      RecordPathFailure(path, kA);
      RecordPathFailure(path, kB);
      CPPUNIT_ASSERT(!IsPathTestDue(path, 3, kStart + Seconds(1)));
    });
    Section("two of three do not decide", [&] {
      CPPUNIT_ASSERT(EndPathTest(path, kA, false, kStart) == PathChange::kNone);
      CPPUNIT_ASSERT(EndPathTest(path, kB, false, kStart) == PathChange::kNone);
      CPPUNIT_ASSERT(EndPathTest(path, kB, false, kStart) == PathChange::kNone);
      CPPUNIT_ASSERT(!path.lost_since);
    });
    Section("the third one does", [&] {
      CPPUNIT_ASSERT(EndPathTest(path, kC, false, kStart) == PathChange::kLost);
      CPPUNIT_ASSERT(path.lost_since);
    });
    PathState reached;
    Section("one that is reached ends the doubt", [&] {
      RecordPathFailure(reached, kA);
      RecordPathFailure(reached, kB);
      StartPathTest(reached, {kA, kB, kC}, true, kStart);
      EndPathTest(reached, kA, false, kStart);
      EndPathTest(reached, kB, true, kStart);
      CPPUNIT_ASSERT(EndPathTest(reached, kC, false, kStart) ==
                     PathChange::kNone);
      CPPUNIT_ASSERT(!IsPathDoubtful(reached));
    });
  }

  void LostPathIsTestedUntilAServerIsReached() {
    PathState path;
    path.lost_since = kStart;
    Section("while requests come for it", [&] {
      CPPUNIT_ASSERT(!IsPathTestDue(path, 3, kStart));
      path.is_wanted = true;
      CPPUNIT_ASSERT(IsPathTestDue(path, 3, kStart));
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, PathTestSize(path, 3));
    StartPathTest(path, {kA}, false, kStart);
    Section("an answer that was under way does not restore it", [&] {
      RecordPathAnswer(path, kStart);
      CPPUNIT_ASSERT(path.lost_since);
    });
    Section("tests are spaced out", [&] {
      EndPathTest(path, kA, false, kStart);
      path.is_wanted = true;
      CPPUNIT_ASSERT(!IsPathTestDue(path, 3, kStart + Millis(100)));
      CPPUNIT_ASSERT(IsPathTestDue(path, 3, kStart + Seconds(1)));
    });
    Section("the first one that succeeds restores it", [&] {
      StartPathTest(path, {kB}, false, kStart + Seconds(1));
      CPPUNIT_ASSERT(EndPathTest(path, kB, true, kStart + Seconds(1)) ==
                     PathChange::kRestored);
      CPPUNIT_ASSERT(!IsPathDoubtful(path));
    });
    Section("without servers there is nothing to test", [&] {
      path.lost_since = kStart;
      CPPUNIT_ASSERT(!IsPathTestDue(path, 0, kStart + Seconds(9)));
    });
  }

  void LossOfOnePathPutsOthersInDoubt() {
    PathState path;
    SuspectPath(path, kStart);
    CPPUNIT_ASSERT(IsPathTestDue(path, 5, kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, PathTestSize(path, 5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, PathTestSize(path, 2));
    StartPathTest(path, {kA, kB, kC}, true, kStart);
    EndPathTest(path, kB, true, kStart);
    Section("a test that succeeds leaves no doubt", [&] {
      CPPUNIT_ASSERT(!IsPathTestDue(path, 5, kStart + Seconds(1)));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathStateTest);

}  // namespace
}  // namespace ibisladder::gateway
