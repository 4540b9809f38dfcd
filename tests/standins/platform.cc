/// Stand-in for the platform: a key-value store with compare-and-swap, leases
/// and watches, and the instance list. See docs/PLATFORM.md for the interface.
///
/// Control requests:
///   PUT /standin/instances  replaces the instance list (JSON as GET returns)
///   PUT /standin/faults     {"down": bool, "slow_ms": n, "lose_replies": n,
///                            "list_lag_ms": n}
///   GET /standin/counters   number of calls by kind, and of waiting watches
///   GET /standin/writes     all writes that took effect
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <cstdlib>
#include <memory>
#include <utility>

#include "tests/standins/platform_store.h"
#include "tests/standins/standin_flags.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:20001", "ADDRESS:PORT");

namespace ibisladder::standins {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxValueBytes = 1000000;
constexpr Duration kTickInterval = Millis(5);
const char* const kEmptyList = R"({"instances": [], "servers": []})";

struct Faults {
  bool down = false;
  Duration slow{};
  /// Number of further writes that take effect without a reply.
  int lose_replies = 0;
  Duration list_lag{};
};

struct Watch {
  std::uint64_t request = 0;
  std::string key;
  std::uint64_t known = 0;
  TimePoint until;
};

struct DelayedReply {
  TimePoint due;
  std::uint64_t request = 0;
  int status = 0;
  net::Headers headers;
  std::string body;
};

struct ListVersion {
  TimePoint visible;
  std::string body;
};

class Platform {
 public:
  Platform(net::EventLoop& loop, std::unique_ptr<net::HttpServer> server)
      : server_(std::move(server)),
        tick_(loop, net::Timer::Kind::kPeriodic, kTickInterval,
              [this] { Tick(); }) {
    server_->signal_request().connect(
        sigc::mem_fun(*this, &Platform::OnRequest));
    server_->signal_abandoned().connect([this](std::uint64_t id) {
      std::erase_if(watches_,
                    [&](const Watch& it) { return it.request == id; });
    });
    lists_.push_back({net::MonotonicNow(), kEmptyList});
  }

 private:
  void OnRequest(net::HttpRequest& request) {
    const std::string path = PathOf(request.target);
    if (path.compare(0, 9, "/standin/") == 0)
      return HandleControl(path, request);
    ++counters_[request.method + " " + path.substr(0, path.find('/', 1))];
    ++calls_;
    // During an outage requests get no answer; their connections stay open.
    if (faults_.down) return;
    if (path.compare(0, 4, "/kv/") == 0) {
      HandleStore(path.substr(4), request);
    } else if (path.compare(0, 7, "/leases") == 0) {
      HandleLease(path, request);
    } else if (path == "/instances") {
      Reply(request.id, 200, {}, CurrentList());
    } else {
      Reply(request.id, 404, {}, "");
    }
  }

  void HandleControl(const std::string& path, const net::HttpRequest& request) {
    if (path == "/standin/instances" && request.method == "PUT") {
      lists_.push_back({net::MonotonicNow() + faults_.list_lag, request.body});
    } else if (path == "/standin/faults" && request.method == "PUT") {
      const json body = JsonBody(request);
      faults_.down = body.value("down", false);
      faults_.slow = Millis(body.value("slow_ms", 0));
      faults_.lose_replies = body.value("lose_replies", 0);
      faults_.list_lag = Millis(body.value("list_lag_ms", 0));
    } else if (path == "/standin/counters") {
      json body = counters_;
      body["calls"] = calls_;
      body["waiting_watches"] = watches_.size();
      return server_->Reply(request.id, 200, {}, body.dump());
    } else if (path == "/standin/writes") {
      json body = json::array();
      for (const auto& it : store_.writes()) {
        body.push_back({{"key", it.key},
                        {"revision", it.revision},
                        {"reply_lost", it.reply_lost}});
      }
      return server_->Reply(request.id, 200, {}, body.dump());
    }
    server_->Reply(request.id, 200, {}, "{}");
  }

  void HandleStore(const std::string& key, const net::HttpRequest& request) {
    if (request.method == "PUT") return Write(key, request);
    if (request.method == "DELETE") {
      const bool existed = store_.Delete(key);
      NotifyWatches();
      return Reply(request.id, existed ? 204 : 404, {}, "");
    }
    const std::string known = QueryArgument(request.target, "known");
    if (!known.empty()) {
      const Duration wait =
          Millis(std::atoll(QueryArgument(request.target, "wait_ms").c_str()));
      watches_.push_back({request.id, key,
                          std::strtoull(known.c_str(), nullptr, 10),
                          net::MonotonicNow() + wait});
      return NotifyWatches();
    }
    ReplyValue(request.id, key);
  }

  void Write(const std::string& key, const net::HttpRequest& request) {
    if (request.body.size() > kMaxValueBytes) {
      return Reply(request.id, 413, {}, "");
    }
    std::uint64_t expected = 0;
    if (const auto* tag = net::FindHeader(request.headers, "If-Match")) {
      expected = std::strtoull(tag->c_str() + 1, nullptr, 10);
    }
    const auto revision = store_.Write(key, expected, request.body);
    if (!revision) return Reply(request.id, 412, {}, "");
    NotifyWatches();
    if (faults_.lose_replies > 0) {
      --faults_.lose_replies;
      store_.writes().back().reply_lost = true;
      return;
    }
    Reply(request.id, 200, {{"ETag", Tag(*revision)}}, "");
  }

  void HandleLease(const std::string& path, const net::HttpRequest& request) {
    const TimePoint now = net::MonotonicNow();
    if (request.method == "POST") {
      const Duration ttl =
          Millis(std::atoll(QueryArgument(request.target, "ttl_ms").c_str()));
      const auto lease =
          store_.AddLease(QueryArgument(request.target, "key"), ttl, now);
      return Reply(request.id, 201, {}, json{{"lease", lease}}.dump());
    }
    const std::uint64_t lease =
        std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
    Reply(request.id, store_.RenewLease(lease, now) ? 200 : 404, {}, "");
  }

  void ReplyValue(std::uint64_t request, const std::string& key) {
    if (const auto it = store_.Read(key)) {
      Reply(request, 200, {{"ETag", Tag(it->revision)}}, it->value);
    } else {
      Reply(request, 404, {}, "");
    }
  }

  void NotifyWatches() {
    std::vector<Watch> kept;
    for (const auto& it : std::exchange(watches_, {})) {
      const auto value = store_.Read(it.key);
      if ((value ? value->revision : 0) != it.known) {
        ReplyValue(it.request, it.key);
      } else {
        kept.push_back(it);
      }
    }
    watches_.insert(watches_.end(), kept.begin(), kept.end());
  }

  void Reply(std::uint64_t request, int status, net::Headers headers,
             std::string body) {
    if (faults_.slow == Duration(0)) {
      return server_->Reply(request, status, headers, body);
    }
    delayed_.push_back({net::MonotonicNow() + faults_.slow, request, status,
                        std::move(headers), std::move(body)});
  }

  void Tick() {
    const TimePoint now = net::MonotonicNow();
    if (!store_.ExpireLeases(now).empty()) NotifyWatches();
    if (!faults_.down) ExpireWatches(now);
    std::erase_if(delayed_, [&](const DelayedReply& it) {
      if (it.due > now) return false;
      server_->Reply(it.request, it.status, it.headers, it.body);
      return true;
    });
  }

  void ExpireWatches(TimePoint now) {
    std::erase_if(watches_, [&](const Watch& it) {
      if (it.until > now) return false;
      server_->Reply(it.request, 304, {{"ETag", Tag(it.known)}}, "");
      return true;
    });
  }

  const std::string& CurrentList() {
    const TimePoint now = net::MonotonicNow();
    while (lists_.size() > 1 && lists_[1].visible <= now) {
      lists_.erase(lists_.begin());
    }
    return lists_.front().body;
  }

  static std::string Tag(std::uint64_t revision) {
    return "\"" + std::to_string(revision) + "\"";
  }

  std::unique_ptr<net::HttpServer> server_;
  net::Timer tick_;
  PlatformStore store_;
  Faults faults_;
  std::vector<Watch> watches_;
  std::vector<DelayedReply> delayed_;
  std::vector<ListVersion> lists_;
  std::map<std::string, std::uint64_t> counters_;
  std::uint64_t calls_ = 0;
};

}  // namespace
}  // namespace ibisladder::standins

int main(int argc, char** argv) {
  using namespace ibisladder;  // NOLINT
  absl::ParseCommandLine(argc, argv);
  auto loop = standins::OrExit(net::EventLoop::Create());
  auto server = standins::OrExit(net::HttpServer::Listen(
      *loop, standins::EndpointFlag(absl::GetFlag(FLAGS_listen)), {}));
  const standins::Platform platform(*loop, std::move(server));
  const net::SignalWatch stop(*loop, SIGTERM, [&] { loop->Stop(); });
  loop->Run();
  return 0;
}
