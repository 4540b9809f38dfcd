#ifndef TESTS_AUTO_CALLERPATH_PATH_FIXTURE_H_
#define TESTS_AUTO_CALLERPATH_PATH_FIXTURE_H_

#include <optional>
#include <string>
#include <vector>

#include "libs/callerpath/caller_path.h"

/// One caller path in virtual time with two services: billing takes
/// at-most-once requests, library idempotent ones.
namespace ibisladder::callerpath {

inline declarations::Service MakeService(const std::string& name, int servers) {
  declarations::Service service;
  service.name = name;
  for (int i = 1; i <= servers; ++i) {
    declarations::BackendServer server;
    server.name = name.substr(0, 1) + std::to_string(i);
    server.endpoint = {"10.0.0." + std::to_string(i), 80};
    server.zone = ZoneName("quito-a");
    service.servers.push_back(server);
  }
  service.retry_budget_percent = 100;
  return service;
}

inline declarations::Route MakeRoute(const std::string& service,
                                     declarations::RepeatRule repeat) {
  declarations::Route route;
  route.prefix = "/" + service;
  route.service = service;
  route.repeat = repeat;
  route.deadline = Seconds(2);
  return route;
}

inline declarations::Declarations MakeDeclarations(int servers = 3) {
  declarations::Declarations it;
  it.services = {MakeService("billing", servers),
                 MakeService("library", servers)};
  it.routes = {MakeRoute("billing", declarations::RepeatRule::kAtMostOnce),
               MakeRoute("library", declarations::RepeatRule::kIdempotent)};
  return it;
}

inline CallRequest MakeAtMostOnceRequest(const std::string& id) {
  CallRequest request;
  request.method = "POST";
  request.target = "/billing/charges";
  request.request_id = id;
  request.timeout = Seconds(1);
  request.body = "amount=7";
  return request;
}

inline CallRequest MakeIdempotentRequest() {
  CallRequest request;
  request.method = "GET";
  request.target = "/library/clips?page=2";
  request.timeout = Seconds(1);
  return request;
}

struct PathFixture {
  CallerPathSettings settings;
  TimePoint now{Seconds(1000)};
  Random random{5};
  CallerPathPtr path;
  Actions last_actions;
  std::uint64_t calls = 0;

  explicit PathFixture(bool is_ready = true, std::size_t max_records = 100) {
    settings.instance = InstanceId(7);
    settings.incarnation = Incarnation(0xab);
    settings.zone = ZoneName("quito-a");
    settings.caller_endpoint = {"10.1.0.7", 7001};
    settings.max_records = max_records;
    path = MakeCallerPath(settings, now);
    if (is_ready) Configure(1, MakeDeclarations());
  }

  void Configure(std::uint64_t version, declarations::Declarations it) {
    Feed(ConfigurationInstalled{
        declarations::Compile(ConfigVersion(version), std::move(it))});
  }

  void Feed(const Event& event) {
    last_actions = Step(*path, event, now, random);
  }

  void AdvanceTime(Duration time) {
    now += time;
    Feed(Tick{});
  }

  std::string MakeId(const std::string& part) const {
    const Era era = CurrentEra(*path, now);
    return requests::FormatRequestId(
        {{settings.instance, settings.incarnation, era}, part});
  }

  CallId SendCall(const CallRequest& request) {
    const CallId call(++calls);
    Feed(CallArrived{call, request, std::nullopt});
    return call;
  }

  CallId AskOutcome(const std::string& id, bool settle) {
    const CallId call(++calls);
    Feed(OutcomeRequested{call, id, settle, std::nullopt});
    return call;
  }

  /// Returns the first action of a kind that the last event caused.
  template <typename Kind>
  std::optional<Kind> Find() const {
    for (const auto& it : last_actions) {
      if (const auto* found = std::get_if<Kind>(&it)) return *found;
    }
    return std::nullopt;
  }

  /// Returns the answer to `call` that the last event caused.
  std::optional<CallerAnswer> AnswerFor(CallId call) const {
    for (const auto& it : last_actions) {
      const auto* found = std::get_if<AnswerCall>(&it);
      if (found != nullptr && found->call == call) return found->answer;
    }
    return std::nullopt;
  }

  /// Returns the code of that answer; kInternal when there is none.
  ResultCode CodeFor(CallId call) const {
    const auto it = AnswerFor(call);
    return it ? it->code : ResultCode::kInternal;
  }
};

inline std::string FieldValue(const SendAttempt& attempt,
                              const std::string& field) {
  for (const auto& [name, value] : attempt.headers) {
    if (name == field) return value;
  }
  return {};
}

inline std::string SentId(const SendAttempt& attempt) {
  return FieldValue(attempt, "Idempotency-Key");
}

/// An answer that passes the integrity checks.
inline ServerAnswered MakeAnswer(const SendAttempt& attempt, int status = 200,
                                 const std::string& body = "charged") {
  return {attempt.attempt,
          status,
          {{"Ibisladder-Request-Id", SentId(attempt)}},
          body};
}

/// An answer that declares the request not run.
inline ServerAnswered MakeNotRunAnswer(const SendAttempt& attempt) {
  ServerAnswered answer = MakeAnswer(attempt, 503, "");
  answer.headers.emplace_back("Ibisladder-Not-Run", SentId(attempt));
  return answer;
}

}  // namespace ibisladder::callerpath

#endif  // TESTS_AUTO_CALLERPATH_PATH_FIXTURE_H_
