#include "libs/net/event_loop.h"

#include <event2/thread.h>
#include <time.h>

#include <chrono>
#include <mutex>
#include <utility>

namespace ibisladder::net {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1000000;

timeval ToTimeval(Duration duration) {
  timeval result{};
  result.tv_sec = duration.count() / kMicrosPerSecond;
  result.tv_usec = duration.count() % kMicrosPerSecond;
  return result;
}

/// Time for events of low priority in one turn of the loop.
constexpr Duration kLowPriorityTime = Millis(1);

/// Returns null if it cannot be created.
event_base* NewBase() {
  event_config* config = event_config_new();
  if (config == nullptr) return nullptr;
  const timeval interval = ToTimeval(kLowPriorityTime);
  event_config_set_max_dispatch_interval(config, &interval, -1, kLowPriority);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  if (base != nullptr) event_base_priority_init(base, kLowPriority + 1);
  return base;
}

}  // namespace

Expected<std::unique_ptr<EventLoop>> EventLoop::Create() {
  static std::once_flag once;
  std::call_once(once, [] { evthread_use_pthreads(); });
  event_base* base = NewBase();
  if (base == nullptr) {
    return Fail(ResultCode::kInternal, "event loop",
                "libevent could not create an event base");
  }
  return std::unique_ptr<EventLoop>(new EventLoop(EventBasePtr(base)));
}

void EventLoop::Run() { event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::Stop() { event_base_loopbreak(base_.get()); }

void EventLoop::RecordStep(const LoopStep& step) {
  if (step.time > longest_step_.time) longest_step_ = step;
}

LoopStep EventLoop::TakeLongestStep() {
  return std::exchange(longest_step_, LoopStep{});
}

StepTimer::StepTimer(EventLoop& loop, const char* name)
    : loop_(loop), name_(name), started_at_(MonotonicNow()) {}

StepTimer::~StepTimer() { loop_.RecordStep({name_, elapsed()}); }

Duration StepTimer::elapsed() const { return MonotonicNow() - started_at_; }

Timer::Timer(EventLoop& loop, Kind kind, Duration interval,
             std::function<void()> action)
    : action_(std::move(action)) {
  const short flags = kind == Kind::kPeriodic ? EV_PERSIST : 0;  // NOLINT
  event_.reset(event_new(loop.base(), -1, flags, &Timer::OnTimeout, this));
  const timeval wait = ToTimeval(interval);
  event_add(event_.get(), &wait);
}

void Timer::OnTimeout(evutil_socket_t /*fd*/, short /*what*/,  // NOLINT
                      void* self) {
  // Copied, because the action may destroy the timer and with it action_.
  const std::function<void()> action = static_cast<Timer*>(self)->action_;
  action();
}

SignalWatch::SignalWatch(EventLoop& loop, int signal_number,
                         std::function<void()> action)
    : action_(std::move(action)) {
  event_.reset(
      evsignal_new(loop.base(), signal_number, &SignalWatch::OnSignal, this));
  event_add(event_.get(), nullptr);
}

void SignalWatch::OnSignal(evutil_socket_t /*fd*/, short /*what*/,  // NOLINT
                           void* self) {
  static_cast<SignalWatch*>(self)->action_();
}

TimePoint MonotonicNow() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(now));
}

TimePoint BootNow() {
  constexpr std::int64_t kNanosPerMicro = 1000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(Seconds(now.tv_sec) + Micros(now.tv_nsec / kNanosPerMicro));
}

}  // namespace ibisladder::net
