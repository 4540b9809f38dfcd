#include "store.h"

#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace review {
namespace {

using nlohmann::json;

constexpr char kAlphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr Millis kStep(20);
constexpr Millis kCallTime(4);

std::string Encode(const std::string& bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group <<= 8U;
      if (i + k < bytes.size())
        group |= static_cast<unsigned char>(bytes[i + k]);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool is_used = i + k <= bytes.size();
      out += is_used ? kAlphabet[(group >> (18U - 6U * k)) & 63U] : '=';
    }
  }
  return out;
}

std::string Decode(const std::string& text) {
  const std::string alphabet = kAlphabet;
  std::string out;
  std::uint32_t bits = 0;
  unsigned n = 0;
  for (const char it : text) {
    const std::size_t digit = alphabet.find(it);
    if (digit == std::string::npos) continue;
    bits = (bits << 6U) | static_cast<std::uint32_t>(digit);
    n += 6;
    if (n < 8) continue;
    n -= 8;
    out += static_cast<char>((bits >> n) & 255U);
  }
  return out;
}

std::string Unescape(const std::string& text) {
  constexpr int kHexadecimal = 16;
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(
          std::stoi(text.substr(i + 1, 2), nullptr, kHexadecimal));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string Argument(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  if (query == std::string::npos) return "";
  const std::string fields = "&" + target.substr(query + 1) + "&";
  const std::size_t at = fields.find("&" + name + "=");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 2;
  return Unescape(fields.substr(begin, fields.find('&', begin) - begin));
}

std::uint64_t Number(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

Store::Store(const Address& address) : fd_(Listen(address)) {
  if (fd_ < 0) throw std::runtime_error("cannot bind " + ToString(address));
  accepting_ = std::thread([this] { Accept(); });
}

Store::~Store() {
  ends_ = true;
  changed_.notify_all();
  shutdown(fd_, SHUT_RDWR);
  accepting_.join();
  close(fd_);
  for (auto& it : threads_) it.join();
}

void Store::Accept() {
  while (!ends_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    threads_.emplace_back([this, fd] { Serve(Socket(fd)); });
  }
}

void Store::Serve(Socket socket) {
  Reader reader(socket);
  Message request;
  while (!ends_) {
    const auto end = reader.Read(request, kStep * 10, false);
    if (end == Reader::End::kTimeout) continue;
    if (end != Reader::End::kComplete) return;
    std::this_thread::sleep_for(kCallTime);
    while (is_silent_ && !ends_) {
      if (socket.HasEnded()) return;
      std::this_thread::sleep_for(kStep);
    }
    const Reply reply = Handle(request);
    // A connection on which a reply is lost returns nothing further.
    if (reply.status == 0) return;
    const std::string line =
        "HTTP/1.1 " + std::to_string(reply.status) + " Status";
    if (!socket.Send(
            Format(line, {{"Content-Type", "application/json"}}, reply.body)))
      return;
  }
}

Store::Reply Store::Handle(const Message& request) {
  const std::string target = request.Target();
  if (target.starts_with("/v1/kv-watch?")) return HandleWatch(target);
  const std::scoped_lock lock(mutex_);
  ExpireLeasesLocked();
  if (target.starts_with("/v1/kv-range?")) return HandleRange(target);
  if (target.starts_with("/v1/kv-key?")) return HandleKey(target);
  if (target == "/v1/kv-txn") return HandleTransaction(request.body);
  return HandleLease(request);
}

Store::Reply Store::HandleRange(const std::string& target) {
  constexpr std::size_t kMaxItems = 500;
  const std::string prefix = Argument(target, "prefix");
  const std::string after = Argument(target, "after");
  json items = json::array();
  bool is_truncated = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    if (items.size() == kMaxItems) {
      is_truncated = true;
      break;
    }
    items.push_back({{"key", key},
                     {"value", Encode(item.value)},
                     {"rev", item.revision},
                     {"create_revision", item.created},
                     {"lease", item.lease}});
  }
  const json body = {{"items", items},
                     {"truncated", is_truncated},
                     {"store_revision", revision_}};
  return {200, body.dump()};
}

Store::Reply Store::HandleKey(const std::string& target) {
  const auto it = items_.find(Argument(target, "key"));
  if (it == items_.end()) return {404, "{}"};
  const json body = {
      {"key", it->first},           {"value", Encode(it->second.value)},
      {"rev", it->second.revision}, {"create_revision", it->second.created},
      {"lease", it->second.lease},  {"store_revision", revision_}};
  return {200, body.dump()};
}

Store::Reply Store::HandleWatch(const std::string& target) {
  const std::string prefix = Argument(target, "prefix");
  const std::uint64_t after = Number(Argument(target, "after"));
  const auto until =
      Clock::now() +
      Millis(static_cast<std::int64_t>(Number(Argument(target, "wait_ms"))));
  std::unique_lock lock(mutex_);
  while (true) {
    if (is_silent_ || ends_) return {0, ""};
    ExpireLeasesLocked();
    json events = json::array();
    for (const Event& it : events_) {
      if (it.revision <= after || !it.key.starts_with(prefix)) continue;
      json event = {{"key", it.key}, {"rev", it.revision}};
      const auto item = items_.find(it.key);
      const bool is_last =
          item != items_.end() && item->second.revision == it.revision;
      if (it.removed) {
        event["removed"] = true;
      } else if (is_last) {
        event["value"] = Encode(item->second.value);
        event["create_revision"] = item->second.created;
        event["lease"] = item->second.lease;
      } else {
        continue;
      }
      events.push_back(event);
    }
    if (!events.empty() || Clock::now() >= until) {
      const json body = {{"events", events}, {"store_revision", revision_}};
      return {200, body.dump()};
    }
    changed_.wait_for(lock, kStep);
  }
}

Store::Reply Store::HandleTransaction(const std::string& text) {
  const json body = json::parse(text);
  json current = json::array();
  bool holds = true;
  for (const auto& it : body.value("expect", json::array())) {
    const auto item = items_.find(it["key"].get<std::string>());
    const std::uint64_t revision =
        item == items_.end() ? 0 : item->second.revision;
    holds = holds && revision == it["rev"].get<std::uint64_t>();
    if (item != items_.end()) {
      current.push_back({{"key", item->first},
                         {"value", Encode(item->second.value)},
                         {"rev", revision}});
    }
  }
  if (!holds) return {412, json{{"items", current}}.dump()};
  for (const auto& it : body.value("puts", json::array())) {
    const auto lease = it.value("lease", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return {404, "{}"};
    PutLocked(it["key"].get<std::string>(),
              Decode(it["value"].get<std::string>()), lease);
  }
  for (const auto& it : body.value("deletes", json::array()))
    RemoveLocked(it.get<std::string>());
  return {200, json{{"rev", revision_}}.dump()};
}

Store::Reply Store::HandleLease(const Message& request) {
  const std::string target = request.Target();
  if (target == "/v1/kv-lease") {
    const double seconds = json::parse(request.body)["ttl_s_time"];
    const auto time = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(seconds));
    leases_[++last_lease_] = {Clock::now() + time, time};
    return {200, json{{"lease", last_lease_}, {"ttl_s_time", seconds}}.dump()};
  }
  const std::uint64_t id = Number(target.substr(target.rfind('/') + 1));
  const auto it = leases_.find(id);
  if (it == leases_.end()) return {404, "{}"};
  const std::chrono::duration<double> time = it->second.time;
  if (target.starts_with("/v1/kv-keep/")) {
    it->second.until = Clock::now() + it->second.time;
  } else {
    EndLeaseLocked(id);
  }
  return {200, json{{"ttl_s_time", time.count()}}.dump()};
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::scoped_lock lock(mutex_);
  PutLocked(key, value, 0);
}

void Store::Remove(const std::string& key) {
  const std::scoped_lock lock(mutex_);
  RemoveLocked(key);
}

void Store::PutLocked(const std::string& key, const std::string& value,
                      std::uint64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.revision = ++revision_;
  if (item.created == 0) item.created = revision_;
  item.lease = lease;
  events_.push_back({key, revision_, false});
  changed_.notify_all();
}

void Store::RemoveLocked(const std::string& key) {
  if (items_.erase(key) == 0) return;
  events_.push_back({key, ++revision_, true});
  changed_.notify_all();
}

void Store::EndLeaseLocked(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const auto& it : keys) RemoveLocked(it);
}

/// While the store is silent, leases pause.
void Store::ExpireLeasesLocked() {
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (Clock::now() > lease.until) expired.push_back(id);
  }
  for (const std::uint64_t it : expired) EndLeaseLocked(it);
}

}  // namespace review
