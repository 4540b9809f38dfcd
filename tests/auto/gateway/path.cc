#include "tests/auto/gateway/path.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <utility>

namespace ibisladder::gateway {
namespace {

constexpr Duration kTick = Millis(25);
constexpr std::uint16_t kSlots = 4;

struct Collector {
  Path& path;

  void operator()(SendAttempt& it) const { path.sent.push_back(it); }
  void operator()(const CancelAttempt& it) const {
    path.cancelled.push_back(it.attempt);
  }
  void operator()(AnswerCaller& it) const {
    const bool is_first = path.answers.emplace(it.call, it.answer).second;
    CPPUNIT_ASSERT_MESSAGE("one answer a call", is_first);
  }
  void operator()(const SendProbe& /*probe*/) const {}
  void operator()(const ShareEvidence& it) const {
    path.told.insert(path.told.end(), it.digests.begin(), it.digests.end());
  }
  void operator()(const LogLine& it) const { path.log.push_back(it); }
};

}  // namespace

Route MakeRoute(const std::string& prefix, const std::string& service,
                RepeatRule repeat) {
  Route route;
  route.name = prefix;
  route.host = kHost;
  route.prefix = prefix;
  route.repeat = repeat;
  route.timeout = Seconds(4);
  route.max_attempts = 2;
  route.services = {{service, 1}};
  return route;
}

ServerEntry MakeServer(const std::string& name, const std::string& service) {
  ServerEntry entry;
  entry.name = name;
  entry.service = service;
  entry.endpoint = {"127.0.0.1", 1};
  entry.zone = ZoneName("a");
  entry.slots = kSlots;
  return entry;
}

Path MakePath(int servers, const ForwarderSettings& settings) {
  Path path;
  path.now = TimePoint(Seconds(100));
  path.forwarder = MakeForwarder(settings, path.now);
  auto configuration = std::make_shared<Configuration>();
  configuration->version = ConfigVersion(1);
  configuration->routes = {MakeRoute("/read/", "s", RepeatRule::kIdempotent),
                           MakeRoute("/work/", "s", RepeatRule::kAtMostOnce)};
  configuration->services = {{"s", "/healthz", 100}};
  InstallConfiguration(*path.forwarder, configuration, path.now);
  std::vector<ServerEntry> entries;
  for (int i = 1; i <= servers; ++i) {
    entries.push_back(MakeServer("s" + std::to_string(i), "s"));
  }
  if (servers > 0) SetServers(*path.forwarder, entries, path.now);
  Collect(path);
  return path;
}

CallId Arrive(Path& path, const std::string& target, Duration timeout) {
  CallerRequest request;
  request.call = CallId(++path.last_call);
  request.request_id = "r" + std::to_string(path.last_call);
  request.method = "GET";
  request.host = kHost;
  request.target = target;
  request.timeout = timeout;
  const CallId call = request.call;
  RequestArrived(*path.forwarder, std::move(request), path.now);
  Collect(path);
  return call;
}

void Advance(Path& path, Duration time) {
  for (Duration passed{}; passed < time; passed += kTick) {
    path.now += kTick;
    Tick(*path.forwarder, path.now);
    Collect(path);
  }
}

void Collect(Path& path) {
  for (auto& action : TakeActions(*path.forwarder)) {
    std::visit(Collector{path}, action);
  }
}

SendAttempt LastAttempt(const Path& path, CallId call) {
  const auto it = std::find_if(
      path.sent.rbegin(), path.sent.rend(),
      [&](const auto& sent) { return sent.request->call == call; });
  CPPUNIT_ASSERT(it != path.sent.rend());
  return *it;
}

int AttemptsOf(const Path& path, CallId call) {
  return static_cast<int>(std::ranges::count_if(
      path.sent, [&](const auto& it) { return it.request->call == call; }));
}

void Answer(Path& path, const SendAttempt& attempt, int status) {
  ServerAnswer answer;
  answer.status = status;
  answer.is_signed = true;
  answer.request_id = attempt.request->request_id;
  AttemptAnswered(*path.forwarder, attempt.attempt, answer, path.now);
  Collect(path);
}

void Decline(Path& path, const SendAttempt& attempt) {
  ServerAnswer answer;
  answer.status = 503;
  answer.not_run = true;
  AttemptAnswered(*path.forwarder, attempt.attempt, answer, path.now);
  Collect(path);
}

void Fail(Path& path, const SendAttempt& attempt, AttemptFailure failure) {
  AttemptFailed(*path.forwarder, attempt.attempt, failure, path.now);
  Collect(path);
}

}  // namespace ibisladder::gateway
