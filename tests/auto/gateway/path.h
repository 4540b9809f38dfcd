#ifndef TESTS_AUTO_GATEWAY_PATH_H_
#define TESTS_AUTO_GATEWAY_PATH_H_

#include <map>
#include <string>
#include <vector>

#include "libs/gateway/forwarder.h"

/// One forwarder before servers that a test plays, in virtual time.
namespace ibisladder::gateway {

struct Path {
  ForwarderPtr forwarder;
  TimePoint now;
  std::uint64_t last_call = 0;
  std::vector<SendAttempt> sent;
  std::vector<AttemptId> cancelled;
  std::map<CallId, CallerAnswer> answers;
  std::vector<detection::Digest> told;
  std::vector<LogLine> log;
};

constexpr char kHost[] = "h.example";

Route MakeRoute(const std::string& prefix, const std::string& service,
                RepeatRule repeat);
ServerEntry MakeServer(const std::string& name, const std::string& service);

/// Two routes, /read/ (idempotent) and /work/ (at most once), to `servers`
/// servers s1, s2, ... of one service with four slots each.
Path MakePath(int servers, const ForwarderSettings& settings = {});

CallId Arrive(Path& path, const std::string& target,
              Duration timeout = Seconds(4));
void Advance(Path& path, Duration time);
/// Takes the forwarder's actions over.
void Collect(Path& path);
/// The latest attempt of a call; fails the test when there is none.
SendAttempt LastAttempt(const Path& path, CallId call);
int AttemptsOf(const Path& path, CallId call);

void Answer(Path& path, const SendAttempt& attempt, int status);
/// A definite "not run".
void Decline(Path& path, const SendAttempt& attempt);
void Fail(Path& path, const SendAttempt& attempt, AttemptFailure failure);

}  // namespace ibisladder::gateway

#endif  // TESTS_AUTO_GATEWAY_PATH_H_
