#include "tests/auto/platform/store_standin.h"

#include <absl/strings/escaping.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "platform/wire_names.h"

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
  contents_.items[key] = {value, ++contents_.revision, lease};
  contents_.events.push_back({key, contents_.revision, false});
  AnswerWatches(false);
}

void StoreStandin::Remove(const std::string& key) {
  if (contents_.items.erase(key) == 0) return;
  contents_.events.push_back({key, ++contents_.revision, true});
  AnswerWatches(false);
}

std::uint64_t StoreStandin::GrantLease() {
  contents_.leases[++contents_.last_lease] = true;
  return contents_.last_lease;
}

void StoreStandin::MakeCopy() { copy_ = contents_; }

void StoreStandin::Restore() {
  contents_ = copy_;
  watches_.clear();
  ++era_;
}

void StoreStandin::EndLease(std::uint64_t lease) {
  contents_.leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : contents_.items) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const auto& key : keys) Remove(key);
}

void StoreStandin::Reply(std::uint64_t request, int status,
                         const std::string& body) {
  server_->Reply(
      request, status,
      {{"Content-Type", "application/json"}, {kStoreEra, std::to_string(era_)}},
      body);
}

void StoreStandin::Handle(const net::HttpRequest& request) {
  ++calls_;
  if (mode_ == Mode::kBusy) return Reply(request.id, 503, "");
  if (mode_ == Mode::kOverQuota) return Reply(request.id, 429, "");
  const std::string& target = request.target;
  if (target.starts_with("/v1/kv-range?")) return HandleRange(request);
  if (target.starts_with("/v1/kv-watch?")) {
    const std::uint64_t after = std::stoull(net::QueryValue(target, "after"));
    const bool has_history =
        mode_ != Mode::kHistoryLost && after <= contents_.revision;
    if (!has_history) return Reply(request.id, 410, "");
    const Duration wait =
        Millis(std::stoll(net::QueryValue(target, "wait_ms")));
    watches_.push_back({request.id, net::QueryValue(target, "prefix"), after,
                        net::MonotonicNow() + wait});
    return AnswerWatches(false);
  }
  if (target == "/v1/kv-txn") return HandleTransaction(request);
  HandleLease(request);
}

void StoreStandin::HandleRange(const net::HttpRequest& request) {
  const std::string prefix = net::QueryValue(request.target, "prefix");
  json items = json::array();
  for (const auto& [key, item] : contents_.items) {
    if (!key.starts_with(prefix)) continue;
    items.push_back({{"key", key},
                     {"value", absl::Base64Escape(item.value)},
                     {"rev", item.revision},
                     {"create_revision", item.revision},
                     {"lease", item.lease}});
  }
  const json body = {{"items", items},
                     {"truncated", false},
                     {"store_revision", contents_.revision}};
  Reply(request.id, 200, body.dump());
}

void StoreStandin::HandleTransaction(const net::HttpRequest& request) {
  const json body = json::parse(request.body);
  for (const auto& it : body["puts"]) {
    const auto lease = it["lease"].get<std::uint64_t>();
    if (lease != 0 && !contents_.leases.contains(lease)) {
      return Reply(request.id, 404, "");
    }
    std::string value;
    absl::Base64Unescape(it["value"].get<std::string>(), &value);
    Put(it["key"].get<std::string>(), value, lease);
  }
  Reply(request.id, 200, json{{"rev", contents_.revision}}.dump());
}

void StoreStandin::HandleLease(const net::HttpRequest& request) {
  static constexpr char kKeep[] = "/v1/kv-keep/";
  static constexpr char kEnd[] = "/v1/kv-lease-end/";
  if (request.target == "/v1/kv-lease") {
    const json body = {{"lease", GrantLease()}, {"ttl_s_time", 3}};
    return Reply(request.id, 200, body.dump());
  }
  const bool is_keep = request.target.starts_with(kKeep);
  const std::size_t at = is_keep ? sizeof(kKeep) - 1 : sizeof(kEnd) - 1;
  const std::uint64_t lease = NumberAfter(request.target, at);
  if (!contents_.leases.contains(lease)) return Reply(request.id, 404, "");
  if (!is_keep) EndLease(lease);
  Reply(request.id, 200, json{{"ttl_s_time", 3}}.dump());
}

void StoreStandin::AnswerWatches(bool is_tick) {
  std::erase_if(watches_, [&](const Watch& watch) {
    json events = json::array();
    for (const auto& it : contents_.events) {
      if (it.revision <= watch.after || !it.key.starts_with(watch.prefix)) {
        continue;
      }
      json event = {{"key", it.key}, {"rev", it.revision}};
      const auto item = contents_.items.find(it.key);
      if (it.removed || item == contents_.items.end()) {
        event["removed"] = true;
      } else {
        event["value"] = absl::Base64Escape(item->second.value);
      }
      events.push_back(event);
    }
    const bool is_over = is_tick && net::MonotonicNow() >= watch.until;
    if (events.empty() && !is_over) return false;
    const json body = {{"events", events},
                       {"store_revision", contents_.revision}};
    Reply(watch.request, 200, body.dump());
    return true;
  });
}

}  // namespace ibisladder::platform
