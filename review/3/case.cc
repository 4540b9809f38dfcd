// A server fails part of its requests with a 503 of its own, after it has run
// them. It doesn't state X-Not-Executed.
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/standins.h"

namespace review {
namespace {

constexpr double kLength = 16;
constexpr int kServers = 8;
constexpr int kClients = 12;
constexpr double kWork = 0.15;
/// One server in eight fails this share of its requests for this time.
constexpr double kFailShare = 0.45;
constexpr double kFailFrom = 4;
constexpr double kFailTime = 6.5;

class Case {
 public:
  Case() : record_("review/3/record.txt") {}

  int Run() {
    for (int i = 1; i <= kServers; ++i) {
      const std::string id = "i-cobro" + std::to_string(i);
      servers_.push_back(std::make_unique<Server>(
          Server::Options{ip_, id, "cobro", "uio-a", 4},
          [this, i, id](const Message& request, Socket& socket) {
            return Execute(request, socket, id, i == 1);
          }));
      store_.Put("servers/" + id, servers_.back()->Entry());
    }
    store_.Put(
        "op/config",
        Configuration(7, {{"/charge/", "non_idempotent", "cobro", 4, 0.8, 0}}));
    entry_.Start();
    if (!entry_.AwaitReady(15)) return kNotRun;
    started_at_ = Now();
    record_.Line("the entry is ready; trouble=" +
                 std::to_string(static_cast<int>(HasTrouble())));
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i)
      clients.emplace_back([this, i] { Charge(i); });
    for (auto& it : clients) it.join();
    return Judge();
  }

 private:
  bool Execute(const Message& request, Socket& socket,
               const std::string& server, bool is_grey) {
    const std::string id = request.headers.at("x-request-id");
    if (socket.HasInput(kWork)) return false;
    const double time = Now() - started_at_;
    bool fails = HasTrouble() && is_grey && time > kFailFrom &&
                 time < kFailFrom + kFailTime;
    {
      const std::lock_guard lock(mutex_);
      ++runs_[id];
      fails = fails && uniform_(random_) < kFailShare;
    }
    const int status = fails ? 503 : 200;
    record_.Line("run " + id + " at " + server + ", answer " +
                 std::to_string(status));
    return socket.Write(FormatAnswer(
        status, {{"X-Request-Id", id}, {"X-Response-Signature", "s." + id}},
        fails ? "cannot say more" : "charged"));
  }

  /// Sends charges. Like the clients of PROTOCOL.md, it sends a charge again,
  /// under a new ID, only after an answer that promises that it has not run.
  void Charge(int client) {
    for (int number = 0; Now() - started_at_ < kLength; ++number) {
      const std::string charge =
          "charge-" + std::to_string(client) + "-" + std::to_string(number);
      int runs = 0;
      for (int attempt = 1; attempt <= 3; ++attempt) {
        const int fd = Connect(ip_, entry_.front());
        if (fd < 0) break;
        Socket socket(fd);
        const std::string id = charge + "-try" + std::to_string(attempt);
        record_.Line("sent " + id);
        socket.Write(
            "PUT /charge/plan HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Request-Id: " +
            id +
            "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 8\r\n\r\n"
            "amount=5");
        const auto answer = socket.Read(5, true);
        const int status = answer ? StatusOf(*answer) : 0;
        record_.Line("answer " + std::to_string(status) + " to " + id);
        const bool is_promise =
            status == 503 || status == 429 || status == 408 || status == 421;
        const std::lock_guard lock(mutex_);
        runs += runs_[id];
        if (is_promise && runs_[id] > 0) refused_.push_back(id);
        if (!is_promise) break;
      }
      if (runs > 1) {
        record_.Line(charge + " was run " + std::to_string(runs) + " times");
        ++doubled_;
      }
      Sleep(0.05);
    }
  }

  int Judge() {
    entry_.Signal(SIGKILL);
    record_.Line(
        "requests that have run and were answered 503, 429, 408 or "
        "421: " +
        std::to_string(refused_.size()) +
        " (none is allowed); charges that were run twice as their "
        "clients believed it: " +
        std::to_string(doubled_));
    const bool is_broken = !refused_.empty();
    record_.Line(is_broken ? "BROKEN" : "held");
    return is_broken ? kBroken : kHeld;
  }

  const std::string ip_ = RandomLoopback();
  Record record_;
  Store store_{ip_};
  std::vector<std::unique_ptr<Server>> servers_;
  Entry entry_{ip_, "edge-uio-a-1", store_.port(), MakeDirectory()};
  std::atomic<double> started_at_{1e9};
  std::mutex mutex_;
  std::mt19937 random_{std::random_device{}()};
  std::uniform_real_distribution<double> uniform_{0, 1};
  std::map<std::string, int> runs_;
  std::vector<std::string> refused_;
  std::atomic<int> doubled_{0};
};

}  // namespace
}  // namespace review

int main() {
  static review::Case it;
  const int status = it.Run();
  // Threads of the stand-ins may still wait on connections.
  std::fflush(nullptr);
  std::_Exit(status);
}
