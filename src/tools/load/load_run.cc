#include "tools/load/load_run.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libs/declarations/field_checks.h"

namespace ibisladder::load {
namespace {

constexpr int kOk = 200;
constexpr std::size_t kMaxConnections = 4096;
constexpr Duration kIdleInterval = Seconds(1);
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

LoadRun::LoadRun(net::EventLoop& loop, LoadSettings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      client_(loop),
      ticket_client_(loop),
      ticket_endpoint_(settings_.entry) {
  const auto now = net::MonotonicNow().time_since_epoch().count();
  id_prefix_ = "load-" + std::to_string(now) + "-";
  client_.signal_answer().connect(
      [this](net::HttpAnswer& answer) { OnAnswer(answer); });
  client_.signal_error().connect(
      [this](const net::HttpError& error) { OnError(error); });
  ticket_client_.signal_answer().connect(
      [this](net::HttpAnswer& answer) { OnTicket(answer); });
  ticket_client_.signal_error().connect([this](const net::HttpError&) {
    if (!has_started_) loop_.Stop();
  });
}

void LoadRun::Start() {
  if (settings_.at_most_once) {
    RequestTicket();
  } else {
    StartCalls();
  }
}

Summary LoadRun::Result() const {
  const TimePoint begin = start_ + settings_.warm_up;
  const Duration length = std::max(last_answer_, End()) - begin;
  Summary result;
  if (settings_.direct) {
    result.targets.push_back(Summarize(kDirect, direct_, length));
  }
  result.targets.push_back(Summarize(kEntry, entry_, length));
  result.lateness = QuantilesOf(lateness_);
  return result;
}

void LoadRun::RequestTicket() {
  net::HttpCall call;
  call.id = 1;
  call.endpoint = settings_.entry;
  call.target = "/ibisladder/v1/addresses?service=" + settings_.service;
  ticket_client_.Send(call);
}

void LoadRun::OnTicket(net::HttpAnswer& answer) {
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  const bool is_good = answer.status == kOk && json.is_object() &&
                       !json.value("addresses", nlohmann::json()).empty();
  if (!is_good) {
    if (!has_started_) loop_.Stop();
    return;
  }
  // Callers use the first address. A request id must be sent to the address
  // that its ticket came with.
  const auto& first = json["addresses"][0];
  const auto endpoint = json::ParseEndpoint(first.value("address", ""));
  if (endpoint) ticket_endpoint_ = *endpoint;
  ticket_ = first.value("ticket", "");
  ticket_timer_ = std::make_unique<net::Timer>(
      loop_, net::Timer::Kind::kOnce, Millis(json.value("keep_ms", 1000)),
      [this] { RequestTicket(); });
  if (!has_started_) StartCalls();
}

void LoadRun::StartCalls() {
  has_started_ = true;
  start_ = net::MonotonicNow();
  last_answer_ = start_;
  idle_timer_ = std::make_unique<net::Timer>(
      loop_, net::Timer::Kind::kPeriodic, kIdleInterval,
      [this] { client_.CloseIdle(net::MonotonicNow()); });
  if (settings_.rate > 0) {
    ScheduleNext();
    return;
  }
  for (std::size_t n = 0; n < settings_.concurrency; ++n) {
    SendCall(net::MonotonicNow());
  }
}

void LoadRun::ScheduleNext() {
  const Duration wait = IntendedStart(sent_) - net::MonotonicNow();
  send_timer_ = std::make_unique<net::Timer>(loop_, net::Timer::Kind::kOnce,
                                             std::max(wait, Duration(0)),
                                             [this] { SendDueCalls(); });
}

void LoadRun::SendDueCalls() {
  const TimePoint now = net::MonotonicNow();
  while (IntendedStart(sent_) <= now) {
    const TimePoint intended = IntendedStart(sent_);
    if (intended >= End()) return StopWhenDone();
    SendCall(intended);
  }
  ScheduleNext();
}

void LoadRun::SendCall(TimePoint intended) {
  const std::uint64_t id = ++sent_;
  const bool is_direct = settings_.direct && id % 2 == 1;
  const Target target = is_direct ? Target::kDirect : Target::kEntry;
  pending_calls_[id] = {target, intended};
  if (IsCounted(intended)) {
    lateness_.push_back(net::MonotonicNow() - intended);
  }
  client_.Send(MakeCall(target, id));
}

net::HttpCall LoadRun::MakeCall(Target target, std::uint64_t id) const {
  net::HttpCall call;
  call.id = id;
  call.method = settings_.method;
  call.target = settings_.path;
  call.timeout = settings_.timeout;
  call.max_connections = kMaxConnections;
  call.body = std::string(settings_.body_bytes, 'x');
  const std::string caller_part = id_prefix_ + std::to_string(id);
  if (target == Target::kDirect) {
    call.endpoint = *settings_.direct;
    call.headers = {{"Idempotency-Key", caller_part}};
    return call;
  }
  call.endpoint = ticket_endpoint_;
  if (settings_.at_most_once) {
    call.headers = {{"Idempotency-Key", ticket_ + "." + caller_part}};
  }
  return call;
}

void LoadRun::OnAnswer(const net::HttpAnswer& answer) {
  EndCall(answer.id, answer.status == kOk);
}

void LoadRun::OnError(const net::HttpError& error) { EndCall(error.id, false); }

void LoadRun::EndCall(std::uint64_t id, bool is_good) {
  const PendingCall pending = pending_calls_.at(id);
  pending_calls_.erase(id);
  const TimePoint now = net::MonotonicNow();
  if (IsCounted(pending.intended)) {
    last_answer_ = now;
    Samples& samples = SamplesOf(pending.target);
    if (is_good) {
      samples.times.push_back(now - pending.intended);
    } else {
      ++samples.errors;
    }
  }
  if (settings_.rate <= 0 && now < End()) SendCall(now);
  StopWhenDone();
}

bool LoadRun::IsCounted(TimePoint intended) const {
  return intended >= start_ + settings_.warm_up;
}

void LoadRun::StopWhenDone() {
  if (pending_calls_.empty() && net::MonotonicNow() >= End()) loop_.Stop();
}

TimePoint LoadRun::IntendedStart(std::uint64_t n) const {
  const double targets = settings_.direct ? 2 : 1;
  const double micros =
      static_cast<double>(n) * kMicrosPerSecond / (settings_.rate * targets);
  return start_ + Duration(static_cast<std::int64_t>(micros));
}

TimePoint LoadRun::End() const {
  return start_ + settings_.warm_up + settings_.length;
}

Samples& LoadRun::SamplesOf(Target target) {
  return target == Target::kDirect ? direct_ : entry_;
}

}  // namespace ibisladder::load
