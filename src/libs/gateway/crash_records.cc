#include "libs/gateway/crash_records.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ibisladder::gateway {
namespace {

/// Servers at which a request is lost before it is refused.
constexpr std::size_t kCrashesUntilRefused = 3;
/// First period of refusal; it doubles each time the trial after it fails.
constexpr Duration kFirstRefusal = Seconds(60);
constexpr Duration kMaxRefusal = Seconds(900);
constexpr std::uint32_t kMaxDoublings = 8;
/// Time that a trial may take; the instance that tries may end meanwhile.
constexpr Duration kTrialTime = Seconds(10);
/// A crashed server does not answer earlier than this after the crash.
constexpr Duration kMinRestartTime = Seconds(1);
/// By then the list shows a quick restart, so that an answer in the name of the
/// old incarnation comes from it.
constexpr Duration kListDelay = Seconds(3);
/// How long a request that was served is not held responsible for losses.
constexpr Duration kServedMemory = Seconds(10);
constexpr Duration kLossMemory = Seconds(300);
constexpr Duration kRefusalMemory = Seconds(1800);
constexpr std::size_t kMaxRequests = 1000;
constexpr std::size_t kMaxLosses = 16;
constexpr std::size_t kMaxExplained = 64;
/// Bounds the answer to an instance that asks.
constexpr std::size_t kMaxNews = 200;

bool IsRefusable(const CrashRecord& record) {
  return record.losses.size() >= kCrashesUntilRefused;
}

void Allow(CrashRecord& record) {
  record.refused_until.reset();
  record.tried_at.reset();
  record.refusals = 0;
}

Duration RefusalTime(std::uint32_t refusals) {
  const std::uint32_t doublings =
      std::min(refusals > 0 ? refusals - 1 : 0, kMaxDoublings);
  return std::min(kFirstRefusal * (1U << doublings), kMaxRefusal);
}

/// Makes room for one record. Refused requests are kept as long as there are
/// others.
void MakeRoom(CrashRecords& records) {
  if (records.requests.size() < kMaxRequests) return;
  records.requests.erase(
      std::ranges::min_element(records.requests, {}, [](const auto& it) {
        return std::pair(IsRefusable(it.second), it.second.last_loss_at);
      }));
}

/// Forgets the losses for all callers that the refused request of one caller
/// explains.
void Explain(CrashRecords& records, const RequestKeys& keys) {
  const auto refused = records.requests.find(keys.request);
  const auto all = records.requests.find(keys.any_caller);
  // A wrong message may name the same key twice.
  const bool applies = refused != records.requests.end() &&
                       all != records.requests.end() && refused != all &&
                       IsRefusable(refused->second);
  if (!applies) return;
  CrashRecord& record = all->second;
  if (record.explained.size() > kMaxExplained) record.explained.clear();
  for (const auto& [server, lost_at] : refused->second.losses) {
    record.losses.erase(server);
    record.explained.insert(server);
  }
  if (!IsRefusable(record)) Allow(record);
}

void EraseOldestLoss(CrashRecord& record) {
  const auto oldest = std::ranges::min_element(
      record.losses, {}, [](const auto& it) { return it.second; });
  record.losses.erase(oldest);
}

/// Extends the refusal after a loss; the first loss after a trial begins a
/// longer period.
void Refuse(CrashRecord& record, TimePoint lost_at) {
  const bool has_failed_trial = record.tried_at && lost_at >= *record.tried_at;
  if (record.refusals == 0 || has_failed_trial) ++record.refusals;
  if (has_failed_trial) record.tried_at.reset();
  const TimePoint until = lost_at + RefusalTime(record.refusals);
  record.refused_until = std::max(record.refused_until.value_or(until), until);
}

bool IsHarmless(const CrashRecord& record, TimePoint now) {
  return record.served_at && now - *record.served_at < kServedMemory;
}

TimePoint TimeOf(Duration age, TimePoint now) {
  return now - std::clamp(age, Duration::zero(), kRefusalMemory);
}

/// Returns whether an exchange that began at `began_at` and succeeds now shows
/// that the server has not crashed at `lost_at`.
bool HasSurvived(TimePoint lost_at, TimePoint began_at, TimePoint now) {
  if (began_at <= lost_at) return false;
  const Duration since = now - lost_at;
  return since < kMinRestartTime || since > kListDelay;
}

}  // namespace

bool RecordLoss(CrashRecords& records, RequestKey key, BackendServerId server,
                TimePoint lost_at) {
  if (!records.requests.contains(key)) MakeRoom(records);
  CrashRecord& record = records.requests[key];
  if (IsHarmless(record, lost_at) || record.explained.contains(server))
    return false;
  if (!record.losses.emplace(server, lost_at).second) return false;
  if (record.losses.size() > kMaxLosses) EraseOldestLoss(record);
  record.last_loss_at = std::max(record.last_loss_at, lost_at);
  TimePoint& latest = records.suspects[server];
  latest = std::max(latest, lost_at);
  if (!IsRefusable(record)) return false;
  const bool was_refused = record.refused_until.has_value();
  Refuse(record, lost_at);
  return !was_refused;
}

std::vector<RequestKey> RecordLoss(CrashRecords& records,
                                   const RequestKeys& keys,
                                   BackendServerId server, TimePoint lost_at) {
  std::vector<RequestKey> refused;
  if (RecordLoss(records, keys.request, server, lost_at))
    refused.push_back(keys.request);
  const auto it = records.requests.find(keys.request);
  if (it != records.requests.end() && IsRefusable(it->second)) {
    Explain(records, keys);
  } else if (RecordLoss(records, keys.any_caller, server, lost_at)) {
    refused.push_back(keys.any_caller);
  }
  return refused;
}

void RecordTrial(CrashRecords& records, RequestKey key, TimePoint at) {
  const auto it = records.requests.find(key);
  if (it == records.requests.end() || !IsRefusable(it->second)) return;
  it->second.tried_at = at;
  it->second.refused_until = at + kTrialTime;
}

bool RecordServed(CrashRecords& records, RequestKey key, TimePoint now) {
  if (!records.requests.contains(key)) MakeRoom(records);
  CrashRecord& record = records.requests[key];
  const bool was_refused = record.refused_until.has_value();
  record = {};
  record.last_loss_at = now;
  record.served_at = now;
  return was_refused;
}

std::vector<RequestKey> RecordContact(CrashRecords& records,
                                      BackendServerId server,
                                      TimePoint began_at, TimePoint now,
                                      bool& is_news) {
  std::vector<RequestKey> restored;
  const auto suspect = records.suspects.find(server);
  is_news = suspect != records.suspects.end() &&
            HasSurvived(suspect->second, began_at, now);
  if (!is_news) return restored;
  records.suspects.erase(suspect);
  for (auto it = records.requests.begin(); it != records.requests.end();) {
    CrashRecord& record = it->second;
    const bool is_changed = record.losses.erase(server) > 0;
    if (is_changed && !IsRefusable(record) && record.refused_until) {
      Allow(record);
      restored.push_back(it->first);
    }
    const bool is_empty = record.losses.empty() && !record.served_at;
    it = is_empty ? records.requests.erase(it) : std::next(it);
  }
  return restored;
}

bool Merge(CrashRecords& records, const CrashNews& news, TimePoint now) {
  bool is_changed = false;
  const std::size_t n = std::min(news.losses.size(), kMaxLosses);
  for (std::size_t i = 0; i < n; ++i) {
    const LossNews& it = news.losses[i];
    is_changed |= RecordLoss(records, news.key, it.server, TimeOf(it.age, now));
  }
  Explain(records, {news.key, news.any_caller});
  const auto it = records.requests.find(news.key);
  if (it == records.requests.end() || !IsRefusable(it->second))
    return is_changed;
  CrashRecord& record = it->second;
  const std::uint32_t refusals = std::min(news.refusals, kMaxDoublings);
  if (refusals > record.refusals) {
    record.refusals = refusals;
    record.refused_until = record.last_loss_at + RefusalTime(record.refusals);
  }
  if (!news.is_tried) return is_changed;
  const TimePoint tried_at = TimeOf(news.tried_age, now);
  if (!record.tried_at || *record.tried_at < tried_at)
    RecordTrial(records, news.key, tried_at);
  return is_changed;
}

void ForgetOld(CrashRecords& records, TimePoint now) {
  std::erase_if(records.requests, [now](const auto& it) {
    Duration memory = IsRefusable(it.second) ? kRefusalMemory : kLossMemory;
    if (it.second.losses.empty()) memory = kServedMemory;
    return now - it.second.last_loss_at > memory;
  });
  std::erase_if(records.suspects, [now](const auto& it) {
    return now - it.second > kLossMemory;
  });
}

bool IsSuspected(const CrashRecords& records, RequestKey key) {
  const auto it = records.requests.find(key);
  return it != records.requests.end() && !it->second.losses.empty();
}

bool IsServiceNews(const CrashRecords& records, RequestKey key, TimePoint now) {
  const auto it = records.requests.find(key);
  if (it == records.requests.end()) return false;
  const auto served_at = it->second.served_at;
  return !it->second.losses.empty() ||
         (served_at && now - *served_at > kServedMemory / 2);
}

CrashVerdict VerdictOn(const CrashRecords& records, RequestKey key,
                       TimePoint now) {
  const auto it = records.requests.find(key);
  if (it == records.requests.end() || !IsRefusable(it->second))
    return CrashVerdict::kAllowed;
  return RefusedFor(records, key, now) > Duration::zero()
             ? CrashVerdict::kRefused
             : CrashVerdict::kTrial;
}

Duration RefusedFor(const CrashRecords& records, RequestKey key,
                    TimePoint now) {
  const auto it = records.requests.find(key);
  if (it == records.requests.end() || !it->second.refused_until)
    return Duration::zero();
  return std::max(*it->second.refused_until - now, Duration::zero());
}

CrashNews MakeCrashNews(const CrashRecords& records, RequestKey key,
                        TimePoint now, RequestKey any_caller) {
  CrashNews news;
  news.key = key;
  news.any_caller = any_caller;
  const auto it = records.requests.find(key);
  if (it == records.requests.end()) return news;
  const CrashRecord& record = it->second;
  for (const auto& [server, lost_at] : record.losses)
    news.losses.push_back({server, now - lost_at});
  news.refusals = record.refusals;
  news.is_tried = record.tried_at.has_value();
  if (record.tried_at) news.tried_age = now - *record.tried_at;
  return news;
}

std::vector<CrashNews> RepeatedLosses(const CrashRecords& records,
                                      TimePoint now) {
  std::vector<CrashNews> result;
  for (const auto& [key, record] : records.requests) {
    if (result.size() >= kMaxNews) break;
    if (record.losses.size() > 1)
      result.push_back(MakeCrashNews(records, key, now));
  }
  return result;
}

std::size_t CountRefused(const CrashRecords& records, TimePoint now) {
  return static_cast<std::size_t>(
      std::ranges::count_if(records.requests, [now](const auto& it) {
        return it.second.refused_until && now < *it.second.refused_until;
      }));
}

}  // namespace ibisladder::gateway
