// Tracks the requests that may have crashed servers, tells other instances of
// them, and refuses those that did so repeatedly.
#include <algorithm>
#include <array>
#include <utility>

#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

/// Retry-After of a refused request at most, as the refusal may end earlier.
constexpr Duration kMaxRetryAfter = Seconds(10);

const RequestKeys& KeysOf(Call& call) {
  if (!call.keys) {
    call.keys = gateway::KeysOf(*call.request, call.organisation);
  }
  return *call.keys;
}

std::array<RequestKey, 2> AllOf(const RequestKeys& keys) {
  return {keys.request, keys.any_caller};
}

void LogRefusal(Context& context, RequestKey key, const char* source) {
  const CrashRecords& records = context.forwarder.crashes;
  const auto it = records.requests.find(key);
  if (it == records.requests.end()) return;
  Log(context, LogEvent::kRequestRefused,
      {{"key", FormatKey(key)},
       {"crashes", std::to_string(it->second.losses.size())},
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

void ShareRecords(Context& context, const RequestKeys& keys) {
  const CrashRecords& records = context.forwarder.crashes;
  Share(context,
        {{MakeCrashNews(records, keys.request, context.now, keys.any_caller),
          MakeCrashNews(records, keys.any_caller, context.now)},
         {},
         {}});
}

void MergeSurvivor(Context& context, const LossNews& survivor,
                   const char* reason) {
  const TimePoint began_at =
      context.now - std::max(survivor.age, Duration::zero());
  bool is_news = false;
  for (const RequestKey it :
       RecordContact(context.forwarder.crashes, survivor.server, began_at,
                     began_at, is_news)) {
    LogRestored(context, it, reason);
  }
}

}  // namespace

void RecordLostRequest(Context& context, CallId id, BackendServerId server,
                       const std::string& server_name) {
  Call& call = context.forwarder.calls.at(id);
  const RequestKeys& keys = KeysOf(call);
  Log(context, LogEvent::kRequestLost,
      {{"request", call.request->request_id},
       {"key", FormatKey(keys.request)},
       {"any_caller", FormatKey(keys.any_caller)},
       {"caller", call.request->caller_address},
       {"server", server_name},
       {"attempt", std::to_string(call.attempts)}});
  for (const RequestKey it :
       RecordLoss(context.forwarder.crashes, keys, server, context.now)) {
    LogRefusal(context, it, "own");
  }
  ShareRecords(context, keys);
}

void RecordServerContact(Context& context, BackendServerId server,
                         TimePoint began_at) {
  bool is_news = false;
  const auto restored = RecordContact(context.forwarder.crashes, server,
                                      began_at, context.now, is_news);
  for (const RequestKey it : restored)
    LogRestored(context, it, "a server did not crash");
  if (is_news) Share(context, {{}, {}, {{server, context.now - began_at}}});
}

void RecordServedCall(Context& context, CallId id) {
  CrashRecords& records = context.forwarder.crashes;
  if (records.requests.empty()) return;
  CrashMessage message;
  for (const RequestKey it : AllOf(KeysOf(context.forwarder.calls.at(id)))) {
    if (!IsServiceNews(records, it, context.now)) continue;
    if (RecordServed(records, it, context.now))
      LogRestored(context, it, "served");
    message.served.push_back(it);
  }
  if (!message.served.empty()) Share(context, std::move(message));
}

std::optional<routing::Refused> CrashRefusal(Context& context, CallId id) {
  const CrashRecords& records = context.forwarder.crashes;
  if (records.requests.empty()) return std::nullopt;
  for (const RequestKey it : AllOf(KeysOf(context.forwarder.calls.at(id)))) {
    if (VerdictOn(records, it, context.now) != CrashVerdict::kRefused) continue;
    return routing::Refused{
        ResultCode::kRequestCrashesServers,
        std::min(RefusedFor(records, it, context.now), kMaxRetryAfter)};
  }
  return std::nullopt;
}

bool MayHaveCrashed(Context& context, CallId id) {
  const CrashRecords& records = context.forwarder.crashes;
  if (records.requests.empty()) return false;
  return IsSuspected(records,
                     KeysOf(context.forwarder.calls.at(id)).any_caller) ||
         IsSuspected(records, KeysOf(context.forwarder.calls.at(id)).request);
}

void RecordTrialOf(Context& context, CallId id) {
  CrashRecords& records = context.forwarder.crashes;
  if (records.requests.empty()) return;
  Call& call = context.forwarder.calls.at(id);
  const RequestKeys& keys = KeysOf(call);
  bool is_trial = false;
  for (const RequestKey it : AllOf(keys)) {
    if (VerdictOn(records, it, context.now) != CrashVerdict::kTrial) continue;
    is_trial = true;
    RecordTrial(records, it, context.now);
    Log(context, LogEvent::kRequestTried,
        {{"request", call.request->request_id}, {"key", FormatKey(it)}});
  }
  if (is_trial) ShareRecords(context, keys);
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
