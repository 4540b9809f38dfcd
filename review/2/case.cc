// The store comes back from a copy some seconds old. The operator writes its
// newest configuration again, and later one that moves a route.
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/standins.h"

namespace review {
namespace {

/// Changes of the configuration after the copy was made.
constexpr int kChanges = 6;
constexpr double kChangeInterval = 0.5;
constexpr double kAway = 0.5;
/// Longer than stable_s.
constexpr double kCalm = 5;
constexpr double kApply = 2;
constexpr double kLength = 12;
constexpr int kClients = 6;

class Case {
 public:
  Case() : record_("review/2/record.txt") {}

  int Run() {
    for (int i = 1; i <= 3; ++i) {
      Add("cobro", i);
      Add("archivo", i);
    }
    Configure("cobro", 4);
    entry_.Start();
    if (!entry_.AwaitReady(15)) return kNotRun;
    Sleep(3);
    record_.Line("the entry is ready; trouble=" +
                 std::to_string(static_cast<int>(HasTrouble())));
    store_.MakeCopy();
    record_.Line("the copy is made");
    for (int i = 1; i <= kChanges; ++i) {
      Configure("cobro", 4 + 0.1 * i);
      Sleep(kChangeInterval);
    }
    if (HasTrouble()) {
      record_.Line("the store is away");
      store_.Drill(kAway);
      record_.Line("the store is back from the copy");
      store_.Put("op/config", configuration_);
      record_.Line("the operator has written its newest version again, " +
                   std::to_string(version_));
    }
    Sleep(kCalm);
    Configure("archivo", 4);
    const double acked_at = Now();
    Sleep(kApply + 0.5);
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i)
      clients.emplace_back([this, i, acked_at] { Charge(i, acked_at); });
    for (auto& it : clients) it.join();
    return Judge();
  }

 private:
  void Add(const std::string& service, int number) {
    const std::string id = "i-" + service + std::to_string(number);
    servers_.push_back(std::make_unique<Server>(
        Server::Options{ip_, id, service, "uio-a", 4},
        [this, service](const Message& request, Socket& socket) {
          const std::string id = request.headers.at("x-request-id");
          record_.Line("run " + id + " by " + service);
          {
            const std::lock_guard lock(mutex_);
            ++runs_[service];
          }
          if (socket.HasInput(0.05)) return false;
          return socket.Write(FormatAnswer(
              200, {{"X-Request-Id", id}, {"X-Response-Signature", "s." + id}},
              "done"));
        }));
    store_.Put("servers/" + id, servers_.back()->Entry());
  }

  /// Writes a version of which the charges go to `service`.
  void Configure(const std::string& service, double timeout) {
    version_ += 3;
    configuration_ = Configuration(
        version_, {{"/charge/", "non_idempotent", service, timeout, 0.8, 0},
                   {"/cobro/", "idempotent", "cobro", 4, 0.8, 1},
                   {"/archivo/", "idempotent", "archivo", 4, 0.8, 1}});
    store_.Put("op/config", configuration_);
    record_.Line("version " + std::to_string(version_) + ", charges go to " +
                 service + ", acknowledged");
  }

  void Charge(int client, double acked_at) {
    for (int number = 0; Now() < acked_at + kLength; ++number) {
      const int fd = Connect(ip_, entry_.front());
      if (fd < 0) return;
      Socket socket(fd);
      const std::string id =
          "charge-" + std::to_string(client) + "-" + std::to_string(number);
      record_.Line("sent " + id);
      socket.Write(
          "PUT /charge/plan HTTP/1.1\r\nHost: shop.example\r\n"
          "X-Request-Id: " +
          id +
          "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 8\r\n\r\n"
          "amount=5");
      const auto answer = socket.Read(5, true);
      record_.Line("answer " + std::to_string(answer ? StatusOf(*answer) : 0) +
                   " to " + id);
      Sleep(0.2);
    }
  }

  int Judge() {
    entry_.Signal(SIGKILL);
    record_.Line(
        "charges that were sent later than apply_s after the "
        "acknowledgement, run by the old service: " +
        std::to_string(runs_["cobro"]) +
        " (none is allowed), by the "
        "new one: " +
        std::to_string(runs_["archivo"]));
    const bool is_broken = runs_["cobro"] > 0;
    record_.Line(is_broken ? "BROKEN" : "held");
    return is_broken ? kBroken : kHeld;
  }

  const std::string ip_ = RandomLoopback();
  Record record_;
  Store store_{ip_};
  std::vector<std::unique_ptr<Server>> servers_;
  Entry entry_{ip_, "edge-uio-a-1", store_.port(), MakeDirectory()};
  int version_ = 4;
  std::string configuration_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
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
