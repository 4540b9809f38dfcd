// Tracks the requests that may have crashed servers, tells other instances of
// them, and refuses those that did so repeatedly.
#include <utility>

#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

/// Retry-After of a refused request at most, as the refusal may end earlier.
constexpr Duration kMaxRetryAfter = Seconds(10);

RequestKey KeyOf(Call& call) {
  if (!call.key) call.key = gateway::KeyOf(*call.request);
  return *call.key;
}

void LogRefusal(Context& context, RequestKey key, const char* source) {
  const CrashRecords& records = context.forwarder.crashes;
  Log(context, LogEvent::kRequestRefused,
      {{"key", FormatKey(key)},
       {"crashes", std::to_string(records.requests.at(key).losses.size())},
       {"refused_ms", FormatMillis(RefusedFor(records, key, context.now))},
       {"source", source}});
}

void LogRestored(Context& context, RequestKey key, const char* reason) {
  Log(context, LogEvent::kRequestAllowed,
      {{"key", FormatKey(key)}, {"reason", reason}});
}

void Share(Context& context, CrashMessage message) {
  context.forwarder.actions.emplace_back(ShareCrashes{std::move(message)});
}

void ShareRecord(Context& context, RequestKey key) {
  Share(context,
        {{MakeCrashNews(context.forwarder.crashes, key, context.now)}, {}, {}});
}

void MergeSurvivor(Context& context, const LossNews& survivor,
                   const char* reason) {
  const TimePoint answered_at =
      context.now - std::max(survivor.age, Duration::zero());
  bool is_news = false;
  for (const RequestKey it :
       RecordContact(context.forwarder.crashes, survivor.server, answered_at,
                     answered_at, is_news)) {
    LogRestored(context, it, reason);
  }
}

}  // namespace

void RecordLostRequest(Context& context, CallId id, BackendServerId server,
                       const std::string& server_name) {
  Call& call = context.forwarder.calls.at(id);
  const RequestKey key = KeyOf(call);
  Log(context, LogEvent::kRequestLost,
      {{"request", call.request->request_id},
       {"key", FormatKey(key)},
       {"server", server_name},
       {"attempt", std::to_string(call.attempts)}});
  if (RecordLoss(context.forwarder.crashes, key, server, context.now))
    LogRefusal(context, key, "own");
  ShareRecord(context, key);
}

void RecordServerContact(Context& context, BackendServerId server,
                         TimePoint began_at) {
  bool is_news = false;
  const auto restored = RecordContact(context.forwarder.crashes, server,
                                      began_at, context.now, is_news);
  for (const RequestKey it : restored)
    LogRestored(context, it, "a server did not crash");
  if (is_news) Share(context, {{}, {}, {{server, Duration::zero()}}});
}

void RecordServedCall(Context& context, CallId id) {
  CrashRecords& records = context.forwarder.crashes;
  if (records.requests.empty()) return;
  const RequestKey key = KeyOf(context.forwarder.calls.at(id));
  if (!IsServiceNews(records, key, context.now)) return;
  if (RecordServed(records, key, context.now))
    LogRestored(context, key, "served");
  Share(context, {{}, {key}, {}});
}

std::optional<routing::Refused> CrashRefusal(Context& context, CallId id) {
  const CrashRecords& records = context.forwarder.crashes;
  if (records.requests.empty()) return std::nullopt;
  const RequestKey key = KeyOf(context.forwarder.calls.at(id));
  if (VerdictOn(records, key, context.now) != CrashVerdict::kRefused)
    return std::nullopt;
  return routing::Refused{
      ResultCode::kRequestCrashesServers,
      std::min(RefusedFor(records, key, context.now), kMaxRetryAfter)};
}

bool MayHaveCrashed(Context& context, CallId id) {
  const CrashRecords& records = context.forwarder.crashes;
  if (records.requests.empty()) return false;
  return IsSuspected(records, KeyOf(context.forwarder.calls.at(id)));
}

void RecordTrialOf(Context& context, CallId id) {
  CrashRecords& records = context.forwarder.crashes;
  if (records.requests.empty()) return;
  Call& call = context.forwarder.calls.at(id);
  const RequestKey key = KeyOf(call);
  if (VerdictOn(records, key, context.now) != CrashVerdict::kTrial) return;
  RecordTrial(records, key, context.now);
  Log(context, LogEvent::kRequestTried,
      {{"request", call.request->request_id}, {"key", FormatKey(key)}});
  ShareRecord(context, key);
}

void MergeCrashMessage(Context& context, const CrashMessage& message) {
  CrashRecords& records = context.forwarder.crashes;
  for (const CrashNews& it : message.requests) {
    if (Merge(records, it, context.now))
      LogRefusal(context, it.key, "instance");
  }
  for (const RequestKey it : message.served) {
    if (RecordServed(records, it, context.now))
      LogRestored(context, it, "served at another instance");
  }
  for (const LossNews& it : message.survivors)
    MergeSurvivor(context, it, "a server answered another instance");
}

}  // namespace ibisladder::gateway::Internal
