// SIGTERM with a grace_s of ten seconds. Writes that come more than three
// seconds later are still passed on, and are cut off when the process ends.
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/standins.h"

namespace review {
namespace {

constexpr int kGrace = 10;
constexpr int kClients = 10;
/// When the clients send after SIGTERM: later than three seconds, after which
/// work in the last sixth of grace_s is no excuse.
constexpr double kSendAfter = 3.05;
constexpr double kSendWithin = 0.2;
/// Below deadline and timeout.
constexpr double kWork = 7.0;
constexpr double kDeadline = 10;

class Case {
 public:
  Case() : record_("review/5/record.txt") {}

  int Run() {
    for (int i = 1; i <= 4; ++i) {
      const std::string id = "i-archivo" + std::to_string(i);
      servers_.push_back(std::make_unique<Server>(
          Server::Options{ip_, id, "archivo", "uio-a", 4},
          [this, id](const Message& request, Socket& socket) {
            return Execute(request, socket, id);
          }));
      store_.Put("servers/" + id, servers_.back()->Entry());
    }
    store_.Put("op/config", Configuration(7, {{"/upload/", "non_idempotent",
                                               "archivo", kDeadline, 2.5, 1}}));
    entry_.Start();
    if (!entry_.AwaitReady(15)) return kNotRun;
    // Longer than stable_s.
    Sleep(4);
    record_.Line("the entry is ready; trouble=" +
                 std::to_string(static_cast<int>(HasTrouble())));
    const double begin = Now();
    if (HasTrouble()) {
      entry_.Signal(SIGTERM);
      record_.Line("SIGTERM");
    }
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.emplace_back([this, i, begin] {
        Sleep(begin + kSendAfter + kSendWithin * i / kClients - Now());
        Upload(i, begin);
      });
    }
    // SIGKILL follows after grace_s.
    for (bool has_ended = false; Now() < begin + kGrace + 1; Sleep(0.01)) {
      if (has_ended) continue;
      if (const auto how = entry_.Ended()) {
        has_ended = true;
        record_.Line("the process ended: " + *how);
      } else if (HasTrouble() && Now() > begin + kGrace) {
        entry_.Signal(SIGKILL);
      }
    }
    for (auto& it : clients) it.join();
    return Judge();
  }

 private:
  bool Execute(const Message& request, Socket& socket,
               const std::string& server) {
    const std::string id = request.headers.at("x-request-id");
    record_.Line("run " + id + " at " + server);
    {
      const std::lock_guard lock(mutex_);
      passed_on_.insert(id);
    }
    if (socket.HasInput(kWork)) {
      record_.Line("the connection of " + id + " was closed at " + server);
      return false;
    }
    return socket.Write(FormatAnswer(
        200, {{"X-Request-Id", id}, {"X-Response-Signature", "s." + id}},
        "done"));
  }

  void Upload(int client, double begin) {
    const std::string id = "upload-" + std::to_string(client);
    const int fd = Connect(ip_, entry_.front());
    if (fd < 0) {
      record_.Line("no connection for " + id);
      return;
    }
    Socket socket(fd);
    socket.Write(
        "POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\n"
        "X-Request-Id: " +
        id + "\r\nX-Deadline-Ms: " +
        std::to_string(static_cast<int>(kDeadline * 1000)) +
        "\r\nContent-Length: 4\r\n\r\nclip");
    const double sent = Now() - begin;
    record_.Line("sent " + id);
    const auto answer = socket.Read(kDeadline + 1, true);
    record_.Line("answer " + std::to_string(answer ? StatusOf(*answer) : 0) +
                 " to " + id);
    const std::lock_guard lock(mutex_);
    const bool is_passed_on = passed_on_.contains(id);
    if (!answer && is_passed_on && sent > 3) lost_.push_back(id);
  }

  int Judge() {
    entry_.Signal(SIGKILL);
    record_.Line(
        "requests that were sent more than 3 s after SIGTERM, passed "
        "on, and whose connection ended without an answer: " +
        std::to_string(lost_.size()) + " (none is allowed)");
    const bool is_broken = !lost_.empty();
    record_.Line(is_broken ? "BROKEN" : "held");
    return is_broken ? kBroken : kHeld;
  }

  const std::string ip_ = RandomLoopback();
  Record record_;
  Store store_{ip_};
  std::vector<std::unique_ptr<Server>> servers_;
  Entry entry_{ip_, "edge-uio-a-1", store_.port(), MakeDirectory(), kGrace};
  std::mutex mutex_;
  std::set<std::string> passed_on_;
  std::vector<std::string> lost_;
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
