#ifndef TOOLS_LOAD_LOAD_RUN_H_
#define TOOLS_LOAD_LOAD_RUN_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/net/event_loop.h"
#include "libs/net/http_client.h"
#include "tools/load/summary.h"

/// Measures calls through an entry instance, alternating with calls that go
/// directly to a backend server.
namespace ibisladder::load {

struct LoadSettings {
  /// Address of a backend server. Without it, all calls go through the entry
  /// instance.
  std::optional<Endpoint> direct;
  Endpoint entry;
  std::string method = "GET";
  std::string path = "/";
  std::string service;
  /// Whether calls through the entry instance have a request id with one of its
  /// tickets.
  bool at_most_once = false;
  /// Calls per second to each target; 0 selects a closed loop.
  double rate = 0;
  /// Calls in flight in the closed loop.
  std::size_t concurrency = 1;
  Duration length = Seconds(10);
  /// Time before `length` whose calls are not counted.
  Duration warm_up = Seconds(1);
  Duration timeout = Seconds(5);
  std::size_t body_bytes = 0;
};

/// One run. Call Start and run the event loop, which the run stops at its end.
class LoadRun {
 public:
  LoadRun(net::EventLoop& loop, LoadSettings settings);

  void Start();

  /// Whether calls were started; false when no ticket could be obtained.
  bool has_started() const { return has_started_; }
  Summary Result() const;

 private:
  enum class Target : std::uint8_t { kDirect, kEntry };
  struct PendingCall {
    Target target = Target::kEntry;
    TimePoint intended;
  };

  void RequestTicket();
  void OnTicket(net::HttpAnswer& answer);
  void StartCalls();
  void ScheduleNext();
  void SendDueCalls();
  void SendCall(TimePoint intended);
  net::HttpCall MakeCall(Target target, std::uint64_t id) const;
  void OnAnswer(const net::HttpAnswer& answer);
  void OnError(const net::HttpError& error);
  void EndCall(std::uint64_t id, bool is_good);
  bool IsCounted(TimePoint intended) const;
  void StopWhenDone();
  TimePoint IntendedStart(std::uint64_t n) const;
  TimePoint End() const;
  Samples& SamplesOf(Target target);

  net::EventLoop& loop_;
  LoadSettings settings_;
  net::HttpClient client_;
  net::HttpClient ticket_client_;
  std::string id_prefix_;
  std::string ticket_;
  Endpoint ticket_endpoint_;
  bool has_started_ = false;
  TimePoint start_;
  TimePoint last_answer_;
  std::uint64_t sent_ = 0;
  std::unordered_map<std::uint64_t, PendingCall> pending_calls_;
  Samples direct_;
  Samples entry_;
  std::vector<Duration> lateness_;
  std::unique_ptr<net::Timer> send_timer_;
  std::unique_ptr<net::Timer> ticket_timer_;
  std::unique_ptr<net::Timer> idle_timer_;
};

}  // namespace ibisladder::load

#endif  // TOOLS_LOAD_LOAD_RUN_H_
