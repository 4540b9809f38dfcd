// Clients that pipeline reads leave before their deadline while reads wait at
// the entry for room at the servers.
#include <atomic>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/standins.h"

namespace review {
namespace {

constexpr double kLength = 95;
/// Browsers keep the servers of the reads busy, one request at a time each.
constexpr int kBrowsers = 36;
constexpr double kBrowseDeadline = 4.0;
/// Each reader sends two pipelined requests on a new connection every two
/// seconds on average.
constexpr double kInterval = 2.0;
constexpr int kReaders = 20;
constexpr int kPipelined = 2;
constexpr double kReadDeadline = 2.0;
constexpr double kReadWork = 1.2;
/// For kLeaveTime of each kPeriod, this share of the readers leaves after half
/// of the deadline, at most kLeaveSpread later.
constexpr double kPeriod = 7;
constexpr double kLeaveTime = 5;
constexpr double kLeaveShare = 0.3;
constexpr double kLeaveAfter = 1.0;
constexpr double kLeaveSpread = 0.05;
constexpr int kWriters = 12;
constexpr double kWriteWork = 0.8;
constexpr std::size_t kAllowedLosses = 3;

class Case {
 public:
  Case() : record_("review/1/record.txt") {}

  int Run() {
    StartServers();
    store_.Put("op/config",
               Configuration(
                   7, {{"/library/", "idempotent", "galeria", 4, 1.2, 2},
                       {"/upload/", "non_idempotent", "archivo", 5, 1.2, 1}}));
    entry_.Start();
    if (!entry_.AwaitReady(15)) return kNotRun;
    record_.Line("the entry is ready; trouble=" +
                 std::to_string(static_cast<int>(HasTrouble())));
    started_at_ = Now();
    std::vector<std::thread> clients;
    for (int i = 0; i < kReaders; ++i)
      clients.emplace_back([this, i] { Read(i); });
    for (int i = 0; i < kBrowsers; ++i)
      clients.emplace_back([this, i] { Browse(i); });
    for (int i = 0; i < kWriters; ++i)
      clients.emplace_back([this, i] { Write(i); });
    while (Now() - started_at_ < kLength && !has_ended_) {
      Sleep(0.02);
      if (const auto how = entry_.Ended()) {
        has_ended_ = true;
        record_.Line("the entry process ended by itself: " + *how);
        record_.Line(entry_.LastOutput());
      }
    }
    if (!has_ended_) is_over_ = true;
    for (auto& it : clients) it.join();
    return Judge();
  }

 private:
  void StartServers() {
    const auto add = [this](const std::string& service, int n, int slots,
                            double work) {
      for (int i = 1; i <= n; ++i) {
        const std::string id = "i-" + service + std::to_string(i);
        servers_.push_back(std::make_unique<Server>(
            Server::Options{ip_, id, service, "uio-a", slots},
            [this, work, id](const Message& request, Socket& socket) {
              return Execute(request, socket, work, id);
            }));
        store_.Put("servers/" + id, servers_.back()->Entry());
      }
    };
    add("galeria", 4, 4, kReadWork);
    add("archivo", 4, 8, kWriteWork);
  }

  bool Execute(const Message& request, Socket& socket, double work,
               const std::string& server) {
    const std::string id = request.headers.at("x-request-id");
    {
      const std::lock_guard lock(mutex_);
      passed_on_.insert(id);
    }
    record_.Line("run " + id + " at " + server);
    // Drops the request when its connection closes.
    if (socket.HasInput(work)) return false;
    return socket.Write(FormatAnswer(
        200, {{"X-Request-Id", id}, {"X-Response-Signature", "s." + id}},
        "body of " + id));
  }

  std::string Request(const std::string& method, const std::string& path,
                      const std::string& id, double deadline,
                      const std::string& body) {
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n" +
           "X-Request-Id: " + id + "\r\nX-Deadline-Ms: " +
           std::to_string(static_cast<int>(deadline * 1000)) +
           (body.empty()
                ? ""
                : "\r\nContent-Length: " + std::to_string(body.size())) +
           "\r\n\r\n" + body;
  }

  bool IsLeaveTime() const {
    return HasTrouble() &&
           std::fmod(Now() - started_at_, kPeriod) >= kPeriod - kLeaveTime;
  }

  void Read(int client) {
    std::mt19937 random(std::random_device{}());
    std::uniform_real_distribution<double> uniform(0, 1);
    for (int round = 0; !has_ended_ && !is_over_; ++round) {
      Sleep(started_at_ + kInterval * (round + uniform(random)) - Now());
      const int fd = Connect(ip_, entry_.front());
      if (fd < 0) continue;
      Socket socket(fd);
      const double begin = Now();
      const bool leaves = IsLeaveTime() && uniform(random) < kLeaveShare;
      const double leaves_at =
          begin + (leaves ? kLeaveAfter + kLeaveSpread * uniform(random) : 1e9);
      std::vector<std::string> ids;
      std::string requests;
      for (int i = 0; i < kPipelined; ++i) {
        ids.push_back("read-" + std::to_string(round) + "-" +
                      std::to_string(client) + "-" + std::to_string(i));
        requests += Request("GET", "/library/" + std::to_string(i), ids.back(),
                            kReadDeadline, "");
        record_.Line("sent " + ids.back());
      }
      socket.Write(requests);
      for (const auto& it : ids) {
        const double left =
            std::min(leaves_at, begin + kReadDeadline + 0.5) - Now();
        const auto answer = socket.Read(left, true);
        if (!answer) {
          record_.Line((Now() >= leaves_at ? "left " : "no answer to ") + it);
          break;
        }
        record_.Line("answer " + std::to_string(StatusOf(*answer)) + " to " +
                     it);
      }
    }
  }

  void Browse(int client) {
    int number = 0;
    while (!has_ended_ && !is_over_) {
      const int fd = Connect(ip_, entry_.front());
      if (fd < 0) {
        Sleep(0.1);
        continue;
      }
      Socket socket(fd);
      for (int on_connection = 0; !is_over_; ++on_connection) {
        const std::string id =
            "browse-" + std::to_string(client) + "-" + std::to_string(++number);
        record_.Line("sent " + id);
        if (!socket.Write(
                Request("GET", "/library/1", id, kBrowseDeadline, "")))
          break;
        const auto answer = socket.Read(kBrowseDeadline + 1, true);
        if (!answer) {
          Lose(id, on_connection > 0);
          break;
        }
        record_.Line("answer " + std::to_string(StatusOf(*answer)) + " to " +
                     id);
        if (StatusOf(*answer) == 503) Sleep(0.5);
      }
    }
  }

  /// A connection was closed without an answer.
  void Lose(const std::string& id, bool is_kept_connection) {
    record_.Line("connection closed without an answer to " + id);
    const std::lock_guard lock(mutex_);
    if (is_kept_connection && passed_on_.contains(id)) lost_.push_back(id);
  }

  void Write(int client) {
    int number = 0;
    while (!has_ended_ && !is_over_) {
      const int fd = Connect(ip_, entry_.front());
      if (fd < 0) {
        Sleep(0.1);
        continue;
      }
      Socket socket(fd);
      for (int on_connection = 0; !is_over_; ++on_connection) {
        const std::string id =
            "write-" + std::to_string(client) + "-" + std::to_string(++number);
        record_.Line("sent " + id);
        if (!socket.Write(Request("POST", "/upload/" + std::to_string(number),
                                  id, 5, "clip"))) {
          break;
        }
        const auto answer = socket.Read(6, true);
        if (!answer) {
          Lose(id, on_connection > 0);
          break;
        }
        record_.Line("answer " + std::to_string(StatusOf(*answer)) + " to " +
                     id);
        const auto it = answer->headers.find("connection");
        if (it != answer->headers.end() && it->second == "close") break;
      }
    }
  }

  int Judge() {
    entry_.Signal(SIGKILL);
    record_.Line(
        "requests on kept connections that were passed on to a sound "
        "server, and whose connection was closed without an answer: " +
        std::to_string(lost_.size()) + " (" + std::to_string(kAllowedLosses) +
        " are allowed)");
    const bool is_broken = lost_.size() > kAllowedLosses;
    record_.Line(is_broken ? "BROKEN" : "held");
    return is_broken ? kBroken : kHeld;
  }

  const std::string ip_ = RandomLoopback();
  Record record_;
  Store store_{ip_};
  std::vector<std::unique_ptr<Server>> servers_;
  Entry entry_{ip_, "edge-uio-a-1", store_.port(), MakeDirectory()};
  double started_at_ = 0;
  std::atomic<bool> has_ended_{false};
  std::atomic<bool> is_over_{false};
  std::mutex mutex_;
  std::set<std::string> passed_on_;
  std::vector<std::string> lost_;
};

}  // namespace
}  // namespace review

int main() {
  static review::Case it;
  const int status = it.Run();
  // Threads of the stand-ins may still wait on connections; the entry's process
  // ends with this one.
  std::fflush(nullptr);
  std::_Exit(status);
}
