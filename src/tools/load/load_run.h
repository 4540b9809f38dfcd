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

/// Calls to two targets, one after the other in one run.
namespace ibisladder::load {

struct LoadSettings {
  /// A backend server's address; none: every call goes through the entry.
  std::optional<Endpoint> direct;
  Endpoint entry;
  std::string method = "GET";
  std::string path = "/";
  std::string service;
  /// Calls through the entry have a request id with a ticket of its.
  bool at_most_once = false;
  /// Calls per second of each target; 0: closed loop.
  double rate = 0;
  /// Calls in flight of the closed loop.
  std::size_t concurrency = 1;
  Duration length = Seconds(10);
  /// Calls that start in this time before `length` are not counted.
  Duration warm_up = Seconds(1);
  Duration timeout = Seconds(5);
  std::size_t body_bytes = 0;
};

/// One run; Start, then run the loop until it stops by itself.
class LoadRun {
 public:
  LoadRun(net::EventLoop& loop, LoadSettings settings);

  void Start();

  /// Whether tickets could be had and calls were made.
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
