// A server crashes in the middle of a long answer. Reads that were sent behind
// it on the same connection are at sound servers.
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

constexpr int kClients = 16;
/// One of these crashes, an eighth of the service.
constexpr int kServers = 8;
/// Reads that each client sends behind the long one.
constexpr int kPipelined = 4;
constexpr std::size_t kClipBytes = 1U << 20U;
constexpr double kClipTime = 2.0;
constexpr double kReadWork = 2.5;
constexpr double kCrashAt = 1.0;
constexpr std::size_t kAllowedLosses = 3;

class Case {
 public:
  Case() : record_("review/3/record.txt") {}

  int Run() {
    for (int i = 1; i <= kServers; ++i) {
      Add("clips", i);
      Add("galeria", i);
    }
    store_.Put(
        "op/config",
        Configuration(7, {{"/clip/", "idempotent", "clips", 4, 1.2, 2},
                          {"/thumb/", "idempotent", "galeria", 4, 1.2, 2}}));
    entry_.Start();
    if (!entry_.AwaitReady(15)) return kNotRun;
    Sleep(1);
    record_.Line("the entry is ready; trouble=" +
                 std::to_string(static_cast<int>(HasTrouble())));
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i)
      clients.emplace_back([this, i] { Browse(i); });
    for (auto& it : clients) it.join();
    return Judge();
  }

 private:
  void Add(const std::string& service, int number) {
    const std::string id = "i-" + service + std::to_string(number);
    const bool crashes = HasTrouble() && service == "clips" && number == 1;
    servers_.push_back(std::make_unique<Server>(
        Server::Options{ip_, id, service, "uio-a", 8},
        [this, id, crashes](const Message& request, Socket& socket) {
          return Execute(request, socket, id, crashes);
        }));
    store_.Put("servers/" + id, servers_.back()->Entry());
  }

  bool Execute(const Message& request, Socket& socket,
               const std::string& server, bool crashes) {
    const std::string id = request.headers.at("x-request-id");
    record_.Line("run " + id + " at " + server);
    {
      const std::lock_guard lock(mutex_);
      passed_on_.insert(id);
    }
    const Headers fields = {{"X-Request-Id", id},
                            {"X-Response-Signature", "s." + id}};
    if (request.first_line.find("/clip/long") == std::string::npos) {
      // One thumbnail shows that the connection is kept.
      const double work = id.find("first") == std::string::npos ? kReadWork : 0;
      if (socket.HasInput(work)) return false;
      return socket.Write(FormatAnswer(200, fields, "thumbnail"));
    }
    const std::string answer =
        FormatAnswer(200, fields, std::string(kClipBytes, 'c'));
    constexpr int kParts = 20;
    const double begin = Now();
    if (crashes && crash_at_ > begin + kCrashAt) crash_at_ = begin + kCrashAt;
    for (int i = 0; i < kParts; ++i) {
      const std::size_t from = answer.size() * i / kParts;
      const std::size_t to = answer.size() * (i + 1) / kParts;
      if (!socket.Write(answer.substr(from, to - from))) return false;
      Sleep(kClipTime / kParts);
      if (crashes && Now() > crash_at_) {
        record_.Line(server + " crashes while it answers " + id);
        socket.Reset();
        servers_.front()->Stop();
        return false;
      }
    }
    return true;
  }

  static std::string Request(const std::string& path, const std::string& id) {
    return "GET " + path +
           " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 4000\r\n\r\n";
  }

  void Browse(int client) {
    const std::string prefix = "c" + std::to_string(client) + "-";
    const int fd = Connect(ip_, entry_.front());
    if (fd < 0) return;
    Socket socket(fd);
    std::vector<std::string> ids = {prefix + "first"};
    socket.Write(Request("/thumb/0", ids[0]));
    if (const auto answer = socket.Read(5, true)) {
      record_.Line("answer " + std::to_string(StatusOf(*answer)) + " to " +
                   ids[0]);
    }
    ids = {prefix + "clip"};
    std::string requests = Request("/clip/long", ids[0]);
    for (int i = 1; i <= kPipelined; ++i) {
      ids.push_back(prefix + "thumb" + std::to_string(i));
      requests += Request("/thumb/" + std::to_string(i), ids.back());
    }
    for (const auto& it : ids) record_.Line("sent " + it);
    socket.Write(requests);
    bool is_open = true;
    for (const auto& it : ids) {
      std::optional<Message> answer;
      if (is_open) answer = socket.Read(9, true);
      is_open = answer && answer->is_complete;
      if (is_open) {
        record_.Line("answer " + std::to_string(StatusOf(*answer)) + " to " +
                     it);
        continue;
      }
      record_.Line("connection closed without a complete answer to " + it);
      const std::lock_guard lock(mutex_);
      const bool is_at_sound_server = it.find("thumb") != std::string::npos;
      if (is_at_sound_server && passed_on_.contains(it)) lost_.push_back(it);
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
  /// When the server crashes, once it has begun to answer.
  std::atomic<double> crash_at_{1e9};
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
