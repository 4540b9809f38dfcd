#ifndef LIBS_GATEWAY_CRASH_RECORDS_H_
#define LIBS_GATEWAY_CRASH_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// Requests during which backend servers crashed. A request that was at several
/// crashing servers is refused by all instances for a while and then tried by
/// one of them. Each instance tells the others what it sees.
namespace ibisladder::gateway {

/// 64-bit hash of a request; see KeysOf.
using RequestKey = Strong<struct RequestKeyTag, std::uint64_t>;

/// Keys of a request that are equal when it comes again.
struct RequestKeys {
  RequestKey request;
  /// The same without the caller.
  RequestKey any_caller;
};

/// What is known of one request.
struct CrashRecord {
  /// Incarnations of servers whose connection ended while the request was
  /// there, and when.
  std::map<BackendServerId, TimePoint> losses;
  TimePoint last_loss_at;
  /// Unset if it is not refused.
  std::optional<TimePoint> refused_until;
  /// Number of periods in which it was refused; each is longer.
  std::uint32_t refusals = 0;
  /// When it was last tried after a period.
  std::optional<TimePoint> tried_at;
  /// When a server last served it. For a while after that, losses are not its
  /// fault.
  std::optional<TimePoint> served_at;
  /// Of a record for all callers: servers at which a refused request of one
  /// caller was lost, so that other callers' requests are not suspected.
  std::set<BackendServerId> explained;
};

struct CrashRecords {
  std::unordered_map<RequestKey, CrashRecord> requests;
  /// When the latest request was lost at each server that may have crashed.
  std::unordered_map<BackendServerId, TimePoint> suspects;
};

/// A request that was lost at a server. Ages instead of times, as clocks
/// differ.
struct LossNews {
  BackendServerId server;
  Duration age{};

  template <typename Archive>
  void serialize(Archive& archive) {
    std::int64_t age_us = age.count();
    archive(server, age_us);
    age = Duration(age_us);
  }
};

/// An instance's record of one request.
struct CrashNews {
  RequestKey key;
  /// The key without the caller, which the receiver may not know.
  RequestKey any_caller;
  std::vector<LossNews> losses;
  std::uint32_t refusals = 0;
  bool is_tried = false;
  /// Time since it was tried, if `is_tried`.
  Duration tried_age{};

  template <typename Archive>
  void serialize(Archive& archive) {
    std::int64_t tried_us = tried_age.count();
    archive(key, any_caller, losses, refusals, is_tried, tried_us);
    tried_age = Duration(tried_us);
  }
};

/// What an instance tells others.
struct CrashMessage {
  std::vector<CrashNews> requests;
  /// Requests that a server has answered with success.
  std::vector<RequestKey> served;
  /// Servers that have answered an exchange, or accepted a connection, that
  /// began after a request was lost there; `age` is the time since its
  /// beginning.
  std::vector<LossNews> survivors;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(requests, served, survivors);
  }
};

enum class CrashVerdict : std::uint8_t {
  kAllowed,
  kRefused,
  /// A period of refusal is over; one attempt shows whether it still crashes
  /// servers.
  kTrial,
};

// Commands. Those that return a bool return whether the request's refusal has
// begun or ended.

/// Records that the request may have crashed the server.
bool RecordLoss(CrashRecords& records, RequestKey key, BackendServerId server,
                TimePoint lost_at);
/// Records the loss for the request of this caller and, unless that is refused
/// already, for the request of any caller: a request may come from several.
/// Returns the keys whose refusal has begun.
std::vector<RequestKey> RecordLoss(CrashRecords& records,
                                   const RequestKeys& keys,
                                   BackendServerId server, TimePoint lost_at);
/// Records that the request is tried; other attempts are refused meanwhile.
void RecordTrial(CrashRecords& records, RequestKey key, TimePoint at);
/// Records that a server has served the request, and forgets its losses.
bool RecordServed(CrashRecords& records, RequestKey key, TimePoint now);
/// Records an exchange with a server that began at `began_at` and has just been
/// answered, or whose connection was opened then. If it shows that the server
/// has not crashed since the latest loss, forgets its losses, and returns the
/// requests that are no longer refused. Sets `is_news` if it does.
std::vector<RequestKey> RecordContact(CrashRecords& records,
                                      BackendServerId server,
                                      TimePoint began_at, TimePoint now,
                                      bool& is_news);
/// Adds what another instance knows of a request.
bool Merge(CrashRecords& records, const CrashNews& news, TimePoint now);
/// Forgets old records.
void ForgetOld(CrashRecords& records, TimePoint now);

// Queries.

/// Returns whether the request was lost at a server that may have crashed.
bool IsSuspected(const CrashRecords& records, RequestKey key);
/// Returns whether other instances should be told that the request is served.
bool IsServiceNews(const CrashRecords& records, RequestKey key, TimePoint now);
CrashVerdict VerdictOn(const CrashRecords& records, RequestKey key,
                       TimePoint now);
/// Returns how long the request is still refused; zero if it is not.
Duration RefusedFor(const CrashRecords& records, RequestKey key, TimePoint now);
/// Returns the record of one request for other instances. `any_caller`: the key
/// without the caller, if `key` has one.
CrashNews MakeCrashNews(const CrashRecords& records, RequestKey key,
                        TimePoint now, RequestKey any_caller = {});
/// Returns the records that an instance needs after its start: those of
/// requests that were lost at several servers.
std::vector<CrashNews> RepeatedLosses(const CrashRecords& records,
                                      TimePoint now);
std::size_t CountRefused(const CrashRecords& records, TimePoint now);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_CRASH_RECORDS_H_
