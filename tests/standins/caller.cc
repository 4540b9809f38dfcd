/// Stand-in for a caller that follows docs/CALLERS.md: requests addresses,
/// makes calls at a fixed rate, repeats an at-most-once call with the same
/// request id when its outcome is unknown, and records the outcomes.
///
/// Each record is a JSON line: {"id", "n", "outcome", "code", "status",
/// "tries", "ms", "whole"}. "whole" is false when the body of a done answer
/// does not belong to this call. The last line on standard output is a JSON
/// summary.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <unordered_map>

#include "libs/net/http_client.h"
#include "tests/standins/standin_flags.h"

ABSL_FLAG(
    std::string, entry, "127.0.0.1:7001",
    "comma-separated addresses of entry instances to request addresses from");
ABSL_FLAG(std::string, service, "", "service whose addresses are requested");
ABSL_FLAG(std::string, method, "GET", "method of the calls");
ABSL_FLAG(std::string, path, "/", "path of the calls");
ABSL_FLAG(std::string, organisation, "", "organisation (customer)");
ABSL_FLAG(int, count, 1, "calls to make");
ABSL_FLAG(double, rate, 100, "calls per second");
ABSL_FLAG(int, timeout_ms, 5000, "deadline of a call");
ABSL_FLAG(int, tries, 3, "maximum number of times that a call is sent");
ABSL_FLAG(bool, at_most_once, false, "send request ids with tickets");
ABSL_FLAG(bool, elsewhere, false, "repeat at another address (relay)");
ABSL_FLAG(bool, settle, false,
          "settle request ids whose outcome stays unknown");
ABSL_FLAG(std::string, record, "", "file to append records to; empty: none");
ABSL_FLAG(std::string, prefix, "c",
          "prefix of the caller's part of request ids");
ABSL_FLAG(bool, show, false, "print each answer");

namespace ibisladder::standins {
namespace {

using nlohmann::json;

constexpr Duration kRetryPause = Millis(100);
constexpr Duration kTimeoutMargin = Seconds(2);
constexpr int kOk = 200;

struct Address {
  Endpoint endpoint;
  std::string ticket;
};

/// One call with all its tries.
struct Call {
  int number = 0;
  std::string id;
  std::size_t address = 0;
  std::vector<Address> addresses;
  int tries = 0;
  bool settling = false;
  TimePoint started;
  std::string outcome = "none";
  int code = 0;
  int status = 0;
  bool whole = true;
  std::unique_ptr<net::Timer> retry_timer;
};

class Caller {
 public:
  explicit Caller(net::EventLoop& loop)
      : loop_(loop),
        http_(loop),
        entries_(EndpointListFlag(absl::GetFlag(FLAGS_entry))) {
    http_.signal_answer().connect(sigc::mem_fun(*this, &Caller::OnAnswer));
    http_.signal_error().connect(sigc::mem_fun(*this, &Caller::OnError));
    if (const std::string path = absl::GetFlag(FLAGS_record); !path.empty()) {
      record_.open(path, std::ios::app);
    }
    const auto interval =
        Duration(static_cast<std::int64_t>(1e6 / absl::GetFlag(FLAGS_rate)));
    rate_timer_ = std::make_unique<net::Timer>(
        loop, net::Timer::Kind::kPeriodic, interval, [this] { StartCall(); });
    RequestAddresses();
  }

  int exit_code() const { return done_ == finished_ ? 0 : 1; }

 private:
  static constexpr std::uint64_t kAddressesId = 0;

  void RequestAddresses() {
    if (is_requesting_addresses_) return;
    is_requesting_addresses_ = true;
    net::HttpCall call;
    call.id = kAddressesId;
    call.endpoint = entries_[next_entry_++ % entries_.size()];
    call.target =
        "/ibisladder/v1/addresses?service=" + absl::GetFlag(FLAGS_service);
    call.timeout = Seconds(1);
    http_.Send(call);
  }

  void ReadAddresses(const net::HttpAnswer& answer) {
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.status != kOk || !body.is_object()) return RetryAddresses();
    addresses_.clear();
    for (const auto& it : body["addresses"]) {
      addresses_.push_back({EndpointFlag(it["address"].get<std::string>()),
                            it["ticket"].get<std::string>()});
    }
    addresses_valid_until_ =
        net::MonotonicNow() + Millis(body.value("keep_ms", 1000));
  }

  void RetryAddresses() {
    address_retry_timer_ = std::make_unique<net::Timer>(
        loop_, net::Timer::Kind::kOnce, kRetryPause,
        [this] { RequestAddresses(); });
  }

  void StartCall() {
    if (started_ >= absl::GetFlag(FLAGS_count)) return;
    if (addresses_.empty()) return;
    if (net::MonotonicNow() > addresses_valid_until_) RequestAddresses();
    const int n = ++started_;
    Call& call = calls_[static_cast<std::uint64_t>(n)];
    call.number = n;
    call.addresses = addresses_;
    call.started = net::MonotonicNow();
    if (absl::GetFlag(FLAGS_at_most_once)) {
      call.id = addresses_[0].ticket + "." + absl::GetFlag(FLAGS_prefix) + "-" +
                std::to_string(n);
    }
    Send(call);
  }

  void Send(Call& call) {
    ++call.tries;
    net::HttpCall it;
    it.id = static_cast<std::uint64_t>(call.number);
    it.endpoint = call.addresses[call.address].endpoint;
    it.timeout = Millis(absl::GetFlag(FLAGS_timeout_ms)) + kTimeoutMargin;
    it.max_connections = 4096;
    if (call.settling) {
      it.method = "POST";
      it.target = "/ibisladder/v1/requests/" + call.id + "/settle";
    } else {
      it.method = absl::GetFlag(FLAGS_method);
      it.target = absl::GetFlag(FLAGS_path) +
                  "?call=" + absl::GetFlag(FLAGS_prefix) +
                  std::to_string(call.number);
      if (it.method != "GET") it.body = "{}";
    }
    it.headers = {{"Ibisladder-Timeout-Ms",
                   std::to_string(absl::GetFlag(FLAGS_timeout_ms))}};
    if (const std::string organisation = absl::GetFlag(FLAGS_organisation);
        !organisation.empty()) {
      it.headers.emplace_back("Ibisladder-Organisation", organisation);
    }
    if (!call.id.empty()) it.headers.emplace_back("Idempotency-Key", call.id);
    http_.Send(it);
  }

  void OnAnswer(net::HttpAnswer& answer) {
    if (answer.id == kAddressesId) {
      is_requesting_addresses_ = false;
      return ReadAddresses(answer);
    }
    Call& call = calls_.at(answer.id);
    call.status = answer.status;
    if (const auto* it =
            net::FindHeader(answer.headers, "Ibisladder-Outcome")) {
      call.outcome = *it;
    }
    if (const auto* it = net::FindHeader(answer.headers, "Ibisladder-Result")) {
      call.code = std::atoi(it->c_str());
    }
    if (absl::GetFlag(FLAGS_show)) {
      std::cout << call.outcome << " " << call.code << " " << answer.status
                << " " << answer.body << std::endl;
    }
    if (call.outcome == "done" && !call.settling) CheckBody(call, answer);
    RetryOrFinish(call);
  }

  /// Checks that the body, in which the stand-in server echoes request id and
  /// path, belongs to this call.
  void CheckBody(Call& call, const net::HttpAnswer& answer) {
    const json body = json::parse(answer.body, nullptr, false);
    const bool is_object = body.is_object();
    const bool own_id =
        call.id.empty() || (is_object && body.value("request", "") == call.id);
    const bool own_path = is_object && body.value("path", "") ==
                                           PathOf(absl::GetFlag(FLAGS_path));
    call.whole = own_id && own_path;
  }

  void OnError(const net::HttpError& error) {
    if (error.id == kAddressesId) {
      is_requesting_addresses_ = false;
      return RetryAddresses();
    }
    Call& call = calls_.at(error.id);
    call.outcome = "none";
    call.code = 0;
    call.status = 0;
    RetryOrFinish(call);
  }

  void RetryOrFinish(Call& call) {
    const bool is_final = call.outcome == "done" ||
                          (call.outcome == "not-run" && !call.id.empty()) ||
                          call.settling;
    if (is_final) return Finish(call);
    if (call.tries >= absl::GetFlag(FLAGS_tries)) {
      if (!absl::GetFlag(FLAGS_settle) || call.id.empty()) return Finish(call);
      call.settling = true;
    }
    // Idempotent calls are repeated at another address, and with --elsewhere
    // also at-most-once calls, which are then relayed.
    if (call.id.empty() || absl::GetFlag(FLAGS_elsewhere)) {
      call.address = (call.address + 1) % call.addresses.size();
    }
    call.retry_timer = std::make_unique<net::Timer>(
        loop_, net::Timer::Kind::kOnce, kRetryPause,
        [this, &call] { Send(call); });
  }

  void Finish(Call& call) {
    ++finished_;
    ++outcomes_[call.outcome];
    if (call.outcome == "done") ++done_;
    if (!call.whole) ++wrong_answers_;
    const std::int64_t micros = (net::MonotonicNow() - call.started).count();
    micros_.push_back(micros);
    if (record_.is_open()) {
      record_ << json{{"id", call.id},
                      {"n", call.number},
                      {"outcome", call.outcome},
                      {"code", call.code},
                      {"status", call.status},
                      {"tries", call.tries},
                      {"ms", static_cast<double>(micros) / 1000.0},
                      {"whole", call.whole}}
                     .dump()
              << std::endl;
    }
    call.retry_timer.reset();
    if (finished_ == absl::GetFlag(FLAGS_count)) PrintSummary();
  }

  void PrintSummary() {
    std::sort(micros_.begin(), micros_.end());
    const auto quantile = [this](double q) {
      const double last = static_cast<double>(micros_.size() - 1);
      return static_cast<double>(micros_[static_cast<std::size_t>(last * q)]) /
             1000.0;
    };
    std::cout << json{{"finished", finished_},
                      {"outcomes", outcomes_},
                      {"wrong_answers", wrong_answers_},
                      {"p50_ms", quantile(0.5)},
                      {"p99_ms", quantile(0.99)}}
                     .dump()
              << std::endl;
    loop_.Stop();
  }

  net::EventLoop& loop_;
  net::HttpClient http_;
  std::vector<Endpoint> entries_;
  std::size_t next_entry_ = 0;
  bool is_requesting_addresses_ = false;
  std::vector<Address> addresses_;
  TimePoint addresses_valid_until_;
  std::unordered_map<std::uint64_t, Call> calls_;
  int started_ = 0;
  int finished_ = 0;
  int done_ = 0;
  int wrong_answers_ = 0;
  std::map<std::string, int> outcomes_;
  std::vector<std::int64_t> micros_;
  std::ofstream record_;
  std::unique_ptr<net::Timer> rate_timer_;
  std::unique_ptr<net::Timer> address_retry_timer_;
};

}  // namespace
}  // namespace ibisladder::standins

int main(int argc, char** argv) {
  using namespace ibisladder;  // NOLINT
  absl::ParseCommandLine(argc, argv);
  auto loop = standins::OrExit(net::EventLoop::Create());
  standins::Caller caller(*loop);
  const net::SignalWatch stop(*loop, SIGTERM, [&] { loop->Stop(); });
  loop->Run();
  return caller.exit_code();
}
