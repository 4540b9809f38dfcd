#include "libs/controlplane/exchanges.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

/// Delay after the first failure, before jitter; doubles with each further one.
constexpr Duration kFirstRetryDelay = Millis(500);
constexpr Duration kMaxRetryDelay = Seconds(4);
/// Waiting time of a watch that checks whether the store answers again.
constexpr Duration kProbeWait = Millis(500);
constexpr std::uint32_t kMaxRetryShift = 3;

ExchangeId AddPending(Context& context, Purpose purpose, Duration timeout,
                      std::uint64_t digest) {
  auto& exchanges = context.plane.exchanges;
  const ExchangeId exchange(exchanges.next++);
  exchanges.pending[exchange] = {purpose, context.now + timeout, digest};
  return exchange;
}

ExchangeId AddStoreCall(Context& context, Purpose purpose, Duration timeout,
                        std::uint64_t digest) {
  ++context.plane.counters.platform_calls;
  return AddPending(context, purpose, timeout, digest);
}

void MarkStoreUp(Context& context) {
  auto& exchanges = context.plane.exchanges;
  if (exchanges.store_up == false) {
    Log(context, LogEvent::kStoreBack,
        {{"failures", std::to_string(exchanges.store_failures)}});
  }
  exchanges.store_up = true;
  exchanges.store_failures = 0;
  exchanges.store_retry_at = context.now;
}

void MarkStoreDown(Context& context) {
  auto& exchanges = context.plane.exchanges;
  if (exchanges.store_up != false) {
    Log(context, LogEvent::kStoreLost,
        {{"version", Text(InstalledVersion(context.plane))}});
  }
  exchanges.store_up = false;
  const auto shift = std::min(exchanges.store_failures++, kMaxRetryShift);
  const auto delay = std::min(kFirstRetryDelay * (1U << shift), kMaxRetryDelay);
  exchanges.store_retry_at = context.now + Jittered(delay, context.random);
}

}  // namespace

void ReadKey(Context& context, Purpose purpose, const std::string& key,
             std::uint64_t digest) {
  const auto exchange = AddStoreCall(
      context, purpose, context.plane.settings.store_timeout, digest);
  context.actions.push_back(StoreRead{exchange, key});
}

void WatchKey(Context& context, const std::string& key, Revision known) {
  const auto& settings = context.plane.settings;
  // While the store is not known to answer, a long wait would delay the
  // detection of its return.
  const bool is_up = context.plane.exchanges.store_up.value_or(false);
  const auto wait =
      is_up ? settings.watch_wait : std::min(settings.watch_wait, kProbeWait);
  const auto exchange = AddStoreCall(context, Purpose::kWatchHead,
                                     wait + settings.store_timeout, 0);
  context.actions.push_back(StoreWatch{exchange, key, known, wait});
}

void WriteKey(Context& context, Purpose purpose, const std::string& key,
              Revision expected, std::string value, std::uint64_t digest) {
  const auto exchange = AddStoreCall(
      context, purpose, context.plane.settings.store_timeout, digest);
  context.actions.push_back(
      StoreWrite{exchange, key, expected, std::move(value)});
}

void DeleteKey(Context& context, const std::string& key) {
  const auto exchange = AddStoreCall(context, Purpose::kDeleteChunk,
                                     context.plane.settings.store_timeout, 0);
  context.actions.push_back(StoreDelete{exchange, key});
}

void RequestFromPeer(Context& context, Purpose purpose, const Endpoint& peer,
                     std::vector<std::uint64_t> chunks) {
  const auto& settings = context.plane.settings;
  const auto exchange = AddPending(context, purpose, settings.store_timeout, 0);
  wire::ConfigFetchFrame frame;
  frame.sender = {context.plane.fleet, settings.instance, settings.incarnation,
                  context.plane.membership.sequence};
  frame.exchange = exchange.value();
  frame.chunks = std::move(chunks);
  context.actions.push_back(FetchFromPeer{exchange, peer, std::move(frame)});
}

std::optional<PendingCall> TakePending(Context& context, ExchangeId exchange) {
  auto& pending = context.plane.exchanges.pending;
  const auto it = pending.find(exchange);
  if (it == pending.end()) return std::nullopt;
  const PendingCall call = it->second;
  pending.erase(it);
  return call;
}

std::vector<ExchangeId> OverdueCalls(const Context& context) {
  std::vector<ExchangeId> overdue;
  for (const auto& [exchange, call] : context.plane.exchanges.pending) {
    if (call.deadline <= context.now) overdue.push_back(exchange);
  }
  return overdue;
}

void UpdateStoreState(Context& context, ResultCode code) {
  const bool is_answer = code == ResultCode::kDone ||
                         code == ResultCode::kStoreNotFound ||
                         code == ResultCode::kStoreConflict;
  if (!is_answer) {
    MarkStoreDown(context);
  } else {
    MarkStoreUp(context);
  }
}

bool StoreIsDue(const Context& context) {
  return context.now >= context.plane.exchanges.store_retry_at;
}

std::string HeadKey(const Context& context) {
  return "ibisladder/" + context.plane.settings.fleet + "/head";
}

std::string ChunkKey(const Context& context, std::uint64_t digest) {
  char buf[17];
  std::snprintf(buf, sizeof(buf), "%016llx",
                static_cast<unsigned long long>(digest));
  return "ibisladder/" + context.plane.settings.fleet + "/chunk/" + buf;
}

}  // namespace ibisladder::controlplane
