#ifndef LIBS_NET_EVENT_LOOP_H_
#define LIBS_NET_EVENT_LOOP_H_

#include <event2/event.h>

#include <functional>
#include <memory>

#include "libs/base/result_code.h"
#include "libs/base/time.h"

/// Event loops and timers on libevent.
namespace ibisladder::net {

struct EventDeleter {
  void operator()(event* it) const { event_free(it); }
};
struct EventBaseDeleter {
  void operator()(event_base* it) const { event_base_free(it); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;
using EventBasePtr = std::unique_ptr<event_base, EventBaseDeleter>;

/// Priorities of events. Of those with low priority, a turn of the loop handles
/// some and then checks for others again.
constexpr int kUsualPriority = 1;
constexpr int kLowPriority = 2;

/// A step of an event loop, and the wall time that it took.
struct LoopStep {
  const char* name = "none";
  Duration time{};
};

/// The event loop of one task. Objects registered with it may be used only in
/// the thread that runs it. Exceptions: Stop, and Send of the mailboxes.
class EventLoop {
 public:
  static Expected<std::unique_ptr<EventLoop>> Create();

  /// Runs until Stop is called.
  void Run();
  /// May be called from any thread.
  void Stop();

  event_base* base() const { return base_.get(); }

  /// Records a step that may hold up the loop. `name` must remain valid.
  void RecordStep(const LoopStep& step);
  /// Returns the longest recorded step since the last call.
  LoopStep TakeLongestStep();

 private:
  explicit EventLoop(EventBasePtr base) : base_(std::move(base)) {}

  EventBasePtr base_;
  LoopStep longest_step_;
};

/// Records the time from its construction to its destruction as a step.
class StepTimer {
 public:
  StepTimer(EventLoop& loop, const char* name);
  ~StepTimer();
  StepTimer(const StepTimer&) = delete;
  StepTimer& operator=(const StepTimer&) = delete;

  Duration elapsed() const;

 private:
  EventLoop& loop_;
  const char* name_;
  TimePoint started_at_;
};

/// Calls a function periodically, or once after a delay.
class Timer {
 public:
  enum class Kind { kOnce, kPeriodic };

  Timer(EventLoop& loop, Kind kind, Duration interval,
        std::function<void()> action);

 private:
  static void OnTimeout(evutil_socket_t fd, short what, void* self);  // NOLINT

  std::function<void()> action_;
  EventPtr event_;
};

/// Calls a function when the process receives a signal.
class SignalWatch {
 public:
  SignalWatch(EventLoop& loop, int signal_number, std::function<void()> action);

 private:
  static void OnSignal(evutil_socket_t fd, short what, void* self);  // NOLINT

  std::function<void()> action_;
  EventPtr event_;
};

/// Returns the time of the operating system's monotonic clock.
TimePoint MonotonicNow();
/// Reads the clock that also counts the time for which the machine is
/// suspended. Not comparable with MonotonicNow.
TimePoint BootNow();

}  // namespace ibisladder::net

#endif  // LIBS_NET_EVENT_LOOP_H_
