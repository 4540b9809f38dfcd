#include "tests/auto/platform/store_standin.h"

#include <absl/strings/escaping.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace ibisladder::platform {
namespace {

using nlohmann::json;

std::uint64_t NumberAfter(const std::string& target, std::size_t at) {
  return std::stoull(target.substr(at));
}

}  // namespace

StoreStandin::StoreStandin(net::EventLoop& loop, const Endpoint& endpoint)
    : server_(std::move(*net::HttpServer::Listen(loop, endpoint, {}))),
      tick_(loop, net::Timer::Kind::kPeriodic, Millis(20),
            [this] { AnswerWatches(true); }) {
  server_->signal_request().connect(
      [this](net::HttpRequest& it) { Handle(it); });
}

void StoreStandin::Put(const std::string& key, const std::string& value,
                       std::uint64_t lease) {
  items_[key] = {value, ++revision_, lease};
  events_.push_back({key, revision_, false});
  AnswerWatches(false);
}

void StoreStandin::Remove(const std::string& key) {
  if (items_.erase(key) == 0) return;
  events_.push_back({key, ++revision_, true});
  AnswerWatches(false);
}

void StoreStandin::EndLease(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const auto& key : keys) Remove(key);
}

void StoreStandin::Reply(std::uint64_t request, int status,
                         const std::string& body) {
  server_->Reply(request, status, {{"Content-Type", "application/json"}}, body);
}

void StoreStandin::Handle(const net::HttpRequest& request) {
  ++calls_;
  if (mode_ == Mode::kBusy) return Reply(request.id, 503, "");
  if (mode_ == Mode::kOverQuota) return Reply(request.id, 429, "");
  const std::string& target = request.target;
  if (target.starts_with("/v1/kv-range?")) return HandleRange(request);
  if (target.starts_with("/v1/kv-watch?")) {
    if (mode_ == Mode::kHistoryLost) return Reply(request.id, 410, "");
    const Duration wait =
        Millis(std::stoll(net::QueryValue(target, "wait_ms")));
    watches_.push_back({request.id, net::QueryValue(target, "prefix"),
                        std::stoull(net::QueryValue(target, "after")),
                        net::MonotonicNow() + wait});
    return AnswerWatches(false);
  }
  if (target == "/v1/kv-txn") return HandleTransaction(request);
  HandleLease(request);
}

void StoreStandin::HandleRange(const net::HttpRequest& request) {
  const std::string prefix = net::QueryValue(request.target, "prefix");
  json items = json::array();
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix)) continue;
    items.push_back({{"key", key},
                     {"value", absl::Base64Escape(item.value)},
                     {"rev", item.revision},
                     {"create_revision", item.revision},
                     {"lease", item.lease}});
  }
  const json body = {
      {"items", items}, {"truncated", false}, {"store_revision", revision_}};
  Reply(request.id, 200, body.dump());
}

void StoreStandin::HandleTransaction(const net::HttpRequest& request) {
  const json body = json::parse(request.body);
  for (const auto& it : body["puts"]) {
    const auto lease = it["lease"].get<std::uint64_t>();
    if (lease != 0 && !leases_.contains(lease)) {
      return Reply(request.id, 404, "");
    }
    std::string value;
    absl::Base64Unescape(it["value"].get<std::string>(), &value);
    Put(it["key"].get<std::string>(), value, lease);
  }
  Reply(request.id, 200, json{{"rev", revision_}}.dump());
}

void StoreStandin::HandleLease(const net::HttpRequest& request) {
  static constexpr char kKeep[] = "/v1/kv-keep/";
  static constexpr char kEnd[] = "/v1/kv-lease-end/";
  if (request.target == "/v1/kv-lease") {
    leases_[++last_lease_] = true;
    const json body = {{"lease", last_lease_}, {"ttl_s_time", 3}};
    return Reply(request.id, 200, body.dump());
  }
  const bool is_keep = request.target.starts_with(kKeep);
  const std::size_t at = is_keep ? sizeof(kKeep) - 1 : sizeof(kEnd) - 1;
  const std::uint64_t lease = NumberAfter(request.target, at);
  if (!leases_.contains(lease)) return Reply(request.id, 404, "");
  if (!is_keep) EndLease(lease);
  Reply(request.id, 200, json{{"ttl_s_time", 3}}.dump());
}

void StoreStandin::AnswerWatches(bool is_tick) {
  std::erase_if(watches_, [&](const Watch& watch) {
    json events = json::array();
    for (const auto& it : events_) {
      if (it.revision <= watch.after || !it.key.starts_with(watch.prefix)) {
        continue;
      }
      json event = {{"key", it.key}, {"rev", it.revision}};
      const auto item = items_.find(it.key);
      if (it.removed || item == items_.end()) {
        event["removed"] = true;
      } else {
        event["value"] = absl::Base64Escape(item->second.value);
      }
      events.push_back(event);
    }
    const bool is_over = is_tick && net::MonotonicNow() >= watch.until;
    if (events.empty() && !is_over) return false;
    const json body = {{"events", events}, {"store_revision", revision_}};
    Reply(watch.request, 200, body.dump());
    return true;
  });
}

}  // namespace ibisladder::platform
