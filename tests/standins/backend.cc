/// Stand-in for backend servers. One process serves one or more of them, each
/// with slots, execution time, cold start, shedding, draining and gray
/// failures. See docs/BACKEND-SERVERS.md for the interface.
///
/// Each execution is appended to the log file as "SERVER REQUEST-ID PATH" at
/// its end. Tests of at-most-once compare this file with the callers' records.
///
/// Control requests, on each server's port:
///   PUT /standin/mode {"mode": "ok|stall|slow|error|corrupt|truncate|reset|
///       bare503|foreign|spoilt", "draining": bool, "service_ms": n,
///       "slots": n, "flap_ms": n}
///       With "spoilt" also {"status": n, "field": name, "coding": text,
///       "body_bytes": n}: status, an additional field, and the transfer coding
///       of answers, valid or not, and the least size of their bodies.
///   GET /standin/executions  log lines of this server
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <list>
#include <memory>
#include <utility>

#include "tests/standins/standin_flags.h"

ABSL_FLAG(std::vector<std::string>, servers, {},
          "comma-separated NAME@ADDRESS:PORT");
ABSL_FLAG(std::string, log, "", "execution log to append to; empty: none");
ABSL_FLAG(int, slots, 4, "requests that a server executes at the same time");
ABSL_FLAG(int, service_ms, 5, "execution time of a request");
ABSL_FLAG(int, cold_start_ms, 0,
          "time after the start in which requests take longer");

namespace ibisladder::standins {
namespace {

using nlohmann::json;

constexpr int kSlowFactor = 20;
constexpr int kColdFactor = 4;
constexpr int kQueuedPerSlot = 2;
constexpr std::size_t kMaxBodyBytes = 16U << 20U;

/// A request that waits for a slot or is being executed.
struct Execution {
  evhttp_request* request = nullptr;
  std::string id;
  std::string path;
  std::string mode;
  std::unique_ptr<net::Timer> timer;
};

std::string Digest(const std::string& body) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
  SHA256(reinterpret_cast<const unsigned char*>(body.data()), body.size(),
         hash.data());
  std::array<unsigned char, 64> text{};
  const int n = EVP_EncodeBlock(text.data(), hash.data(), hash.size());
  return "sha-256=:" +
         std::string(reinterpret_cast<char*>(text.data()),
                     static_cast<std::size_t>(n)) +
         ":";
}

class Server {
 public:
  Server(net::EventLoop& loop, std::string name, const Endpoint& endpoint)
      : loop_(loop),
        name_(std::move(name)),
        slots_(absl::GetFlag(FLAGS_slots)),
        service_ms_(absl::GetFlag(FLAGS_service_ms)),
        started_(net::MonotonicNow()),
        http_(evhttp_new(loop.base())) {
    evhttp_set_gencb(
        http_,
        [](evhttp_request* request, void* self) {
          static_cast<Server*>(self)->OnRequest(request);
        },
        this);
    evhttp_set_max_body_size(http_, kMaxBodyBytes);
    if (evhttp_bind_socket(http_, endpoint.address.c_str(), endpoint.port) !=
        0) {
      ExitWith(
          {ResultCode::kInternal, FormatEndpoint(endpoint), "cannot be bound"});
    }
    if (const std::string path = absl::GetFlag(FLAGS_log); !path.empty()) {
      log_.open(path, std::ios::app);
    }
  }

 private:
  void OnRequest(evhttp_request* request) {
    const std::string target = evhttp_request_get_uri(request);
    const std::string path = PathOf(target);
    if (path == "/standin/mode") return SetMode(request);
    if (path == "/standin/executions") {
      return Send(request, 200, executions_);
    }
    if (path == "/health") return AnswerHealthCheck(request);
    Accept(request, path);
  }

  void SetMode(evhttp_request* request) {
    net::HttpRequest copy;
    copy.body =
        net::Internal::CopyBody(evhttp_request_get_input_buffer(request));
    const json body = JsonBody(copy);
    mode_ = body.value("mode", mode_);
    draining_ = body.value("draining", draining_);
    service_ms_ = body.value("service_ms", service_ms_);
    slots_ = body.value("slots", slots_);
    flap_ms_ = body.value("flap_ms", flap_ms_);
    spoilt_status_ = body.value("status", 200);
    spoilt_field_ = body.value("field", "");
    spoilt_coding_ = body.value("coding", "");
    spoilt_bytes_ = body.value("body_bytes", std::size_t{0});
    Send(request, 200, "{}");
  }

  /// Always answers 200, also while requests fail; only the reported state
  /// shows draining.
  void AnswerHealthCheck(evhttp_request* request) {
    AddLoad(request);
    Send(request, 200, "ok");
  }

  void Accept(evhttp_request* request, const std::string& path) {
    const char* id = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Idempotency-Key");
    auto execution = std::make_unique<Execution>();
    execution->request = request;
    execution->id = id == nullptr ? "" : id;
    execution->path = path;
    execution->mode = CurrentMode();
    const bool is_full =
        static_cast<int>(waiting_.size()) >= slots_ * kQueuedPerSlot;
    if (draining_ || (running_ >= slots_ && is_full)) {
      return Shed(*execution);
    }
    if (execution->mode == "bare503") return Send(request, 503, "unavailable");
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* connection, void* self) {
          static_cast<Server*>(self)->OnClosed(connection);
        },
        this);
    waiting_.push_back(std::move(execution));
    StartWaiting();
  }

  void StartWaiting() {
    while (running_ < slots_ && !waiting_.empty()) {
      auto execution = std::move(waiting_.front());
      waiting_.pop_front();
      ++running_;
      Run(std::move(execution));
    }
  }

  void Run(std::unique_ptr<Execution> execution) {
    Execution& it = *execution;
    active_.push_back(std::move(execution));
    if (it.mode == "stall") return;
    int millis = service_ms_;
    if (it.mode == "slow") millis *= kSlowFactor;
    const bool is_cold = net::MonotonicNow() - started_ <
                         Millis(absl::GetFlag(FLAGS_cold_start_ms));
    if (is_cold) millis *= kColdFactor;
    it.timer = std::make_unique<net::Timer>(loop_, net::Timer::Kind::kOnce,
                                            Millis(std::max(millis, 0)),
                                            [this, &it] { Finish(it); });
  }

  void Finish(Execution& execution) {
    LogExecution(execution);
    evhttp_request* request = execution.request;
    const std::string id = execution.id;
    const std::string path = execution.path;
    const std::string mode = execution.mode;
    Release(execution);
    if (request != nullptr) Answer(request, id, path, mode);
    StartWaiting();
  }

  void Answer(evhttp_request* request, const std::string& id,
              const std::string& path, const std::string& mode) {
    evkeyvalq* fields = evhttp_request_get_output_headers(request);
    std::string body =
        json{{"server", name_}, {"request", id}, {"path", path}}.dump();
    if (evhttp_connection* it = evhttp_request_get_connection(request)) {
      evhttp_connection_set_closecb(it, nullptr, nullptr);
    }
    if (mode == "reset") return Reset(request);
    if (mode == "spoilt") body.resize(std::max(body.size(), spoilt_bytes_));
    const std::string echo = mode == "foreign" ? "another-request" : id;
    evhttp_add_header(fields, "Ibisladder-Request-Id", echo.c_str());
    evhttp_add_header(fields, "Content-Digest", Digest(body).c_str());
    AddLoad(request);
    if (mode == "spoilt") return SendSpoilt(request, body);
    if (mode == "error") return Send(request, 500, "internal error");
    if (mode == "corrupt") body[body.size() / 2] ^= 0x20;
    if (mode == "truncate") {
      const std::string claimed = std::to_string(body.size() * 2);
      evhttp_add_header(fields, "Content-Length", claimed.c_str());
      evhttp_add_header(fields, "Connection", "close");
    }
    Send(request, 200, body);
  }

  void SendSpoilt(evhttp_request* request, const std::string& body) const {
    evkeyvalq* fields = evhttp_request_get_output_headers(request);
    if (!spoilt_field_.empty()) {
      evhttp_add_header(fields, spoilt_field_.c_str(), "1");
    }
    if (!spoilt_coding_.empty()) {
      evhttp_add_header(fields, "Transfer-Encoding", spoilt_coding_.c_str());
      evhttp_add_header(fields, "Connection", "close");
    }
    Send(request, spoilt_status_, body);
  }

  void Shed(const Execution& execution) {
    evkeyvalq* fields = evhttp_request_get_output_headers(execution.request);
    evhttp_add_header(fields, "Ibisladder-Request-Id", execution.id.c_str());
    evhttp_add_header(fields, "Ibisladder-Not-Run", execution.id.c_str());
    AddLoad(execution.request);
    Send(execution.request, 503, "not run");
  }

  static void Reset(evhttp_request* request) {
    evhttp_connection* connection = evhttp_request_get_connection(request);
    if (connection == nullptr) return;
    const linger abort{1, 0};
    setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)),
               SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    evhttp_connection_free(connection);
  }

  /// The client closed its connection: waiting requests are cancelled, and
  /// running ones are completed without an answer. Stalled ones free their
  /// slots.
  void OnClosed(evhttp_connection* connection) {
    const auto is_of_connection = [&](const std::unique_ptr<Execution>& it) {
      return it->request != nullptr &&
             evhttp_request_get_connection(it->request) == connection;
    };
    waiting_.remove_if(is_of_connection);
    std::vector<Execution*> stalled;
    for (auto& it : active_) {
      if (!is_of_connection(it)) continue;
      it->request = nullptr;
      if (it->timer == nullptr) stalled.push_back(it.get());
    }
    for (Execution* it : stalled) Release(*it);
    StartWaiting();
  }

  void Release(Execution& execution) {
    --running_;
    active_.remove_if([&](const std::unique_ptr<Execution>& it) {
      return it.get() == &execution;
    });
  }

  void LogExecution(const Execution& execution) {
    const std::string line =
        name_ + " " + execution.id + " " + execution.path + "\n";
    executions_ += line;
    if (log_.is_open()) log_ << line << std::flush;
  }

  std::string CurrentMode() const {
    if (flap_ms_ == 0) return mode_;
    const auto phase = ToMillis(net::MonotonicNow() - started_) / flap_ms_;
    return phase % 2 == 0 ? mode_ : "ok";
  }

  void AddLoad(evhttp_request* request) {
    const std::string load = "in_flight=" + std::to_string(running_) +
                             ", slots=" + std::to_string(slots_) +
                             ", state=" + (draining_ ? "draining" : "ok");
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Ibisladder-Load", load.c_str());
  }

  static void Send(evhttp_request* request, int status,
                   const std::string& body) {
    evbuffer* buf = evbuffer_new();
    evbuffer_add(buf, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, buf);
    evbuffer_free(buf);
  }

  net::EventLoop& loop_;
  std::string name_;
  std::string mode_ = "ok";
  bool draining_ = false;
  int slots_;
  int service_ms_;
  int flap_ms_ = 0;
  int spoilt_status_ = 200;
  std::string spoilt_field_;
  std::string spoilt_coding_;
  std::size_t spoilt_bytes_ = 0;
  int running_ = 0;
  TimePoint started_;
  evhttp* http_;
  std::list<std::unique_ptr<Execution>> waiting_;
  std::list<std::unique_ptr<Execution>> active_;
  std::ofstream log_;
  std::string executions_;
};

}  // namespace
}  // namespace ibisladder::standins

int main(int argc, char** argv) {
  using namespace ibisladder;  // NOLINT
  absl::ParseCommandLine(argc, argv);
  auto loop = standins::OrExit(net::EventLoop::Create());
  std::vector<std::unique_ptr<standins::Server>> servers;
  for (const auto& it : absl::GetFlag(FLAGS_servers)) {
    const std::size_t mark = it.find('@');
    servers.push_back(std::make_unique<standins::Server>(
        *loop, it.substr(0, mark),
        standins::EndpointFlag(it.substr(mark + 1))));
  }
  const net::SignalWatch stop(*loop, SIGTERM, [&] { loop->Stop(); });
  loop->Run();
  return 0;
}
