// Clients send groups of idempotent requests on their connections, to a service
// with room for all of them. Meanwhile many users come at once to another
// service, whose requests then wait for servers.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

#include "../standins-2/backend.h"
#include "../standins-2/entry.h"
#include "../standins-2/record.h"
#include "../standins-2/store.h"

namespace review {
namespace {

constexpr char kReads[] = "jobboard";
constexpr char kCharges[] = "ledger";
constexpr int kReadBackends = 14;
constexpr int kChargeBackends = 6;
constexpr int kSlots = 3;
constexpr Millis kReadWork(320);
constexpr Millis kChargeWork(160);
/// Connections with groups of requests, and the requests of a group.
constexpr int kReaders = 24;
constexpr int kGroup = 4;
constexpr Millis kThinkTime(800);
constexpr double kChargesPerSecond = 90;
constexpr double kBurst = 1.7;
constexpr Millis kUsual(4000);
constexpr Millis kBurstTime(3000);
constexpr Millis kAfter(6000);
/// Of the route of the reads, and the time that an answer may take beyond it.
constexpr Millis kRouteTimeout(1500);
constexpr Millis kGrace(500);
constexpr Millis kDeadline(3000);
/// A client gives up a request that the node has not read after this time.
constexpr Millis kReadPatience(1000);
constexpr int kMinOverdue = 8;

struct Outcome {
  std::string id;
  Clock::time_point sent_at;
  /// Empty if the client gave up.
  std::optional<Clock::time_point> answered_at;
  int status = 0;
  /// The node had not read it when its client lost patience.
  bool is_unread = false;
};

/// Returns the bytes that the kernel holds for the node's side of a connection,
/// and that the node has not read.
std::size_t UnreadBytes(const Address& front, std::uint16_t client_port) {
  std::array<unsigned, 4> ip{};
  std::sscanf(front.ip.c_str(), "%u.%u.%u.%u", ip.data(), ip.data() + 1,
              ip.data() + 2, ip.data() + 3);
  std::array<char, 32> local{};
  std::snprintf(local.data(), local.size(), "%02X%02X%02X%02X:%04X", ip[3],
                ip[2], ip[1], ip[0], unsigned{front.port});
  std::array<char, 8> port{};
  std::snprintf(port.data(), port.size(), ":%04X", unsigned{client_port});
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    std::istringstream words(line);
    std::string number;
    std::string at;
    std::string peer;
    std::string state;
    std::string queues;
    words >> number >> at >> peer >> state >> queues;
    if (at != local.data() || !peer.ends_with(port.data())) continue;
    return std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return 0;
}

class Readers {
 public:
  Readers(const Address& front, Record& record)
      : front_(front), record_(record) {}

  void Run(int number, const std::atomic<bool>& ends) {
    std::this_thread::sleep_for(kThinkTime * number / kReaders);
    int group = 0;
    while (!ends) {
      SendGroup("read-" + std::to_string(number) + "-" +
                std::to_string(++group));
      std::this_thread::sleep_for(kThinkTime);
    }
  }
  const std::vector<Outcome>& outcomes() const { return outcomes_; }

 private:
  void SendGroup(const std::string& name) {
    const Socket socket = Socket::Connect(front_, Millis(1000));
    if (!socket.is_open()) return;
    std::vector<Outcome> sent(kGroup);
    std::string bytes;
    for (int i = 0; i < kGroup; ++i) {
      sent[i].id = name + "-" + std::to_string(i);
      bytes += "GET /lepu270/2f HTTP/1.1\r\nHost: " + std::string(kHost) +
               "\r\nX-Request-Id: " + sent[i].id +
               "\r\nX-Deadline-Ms: " + std::to_string(kDeadline.count()) +
               "\r\n\r\n";
    }
    const auto sent_at = Clock::now();
    for (Outcome& it : sent) it.sent_at = sent_at;
    record_.Write("client sends " + name + "-0 to -" +
                  std::to_string(kGroup - 1));
    if (!socket.Send(bytes)) return;
    Reader reader(socket);
    bool has_checked = false;
    for (std::size_t i = 0; i < sent.size();) {
      const auto until = sent_at + (has_checked ? kDeadline : kReadPatience);
      Message answer;
      const auto left =
          std::chrono::duration_cast<Millis>(until - Clock::now());
      const auto end = reader.Read(answer, std::max(left, Millis(0)), true);
      if (end == Reader::End::kTimeout && !has_checked) {
        has_checked = true;
        const std::size_t unread = UnreadBytes(front_, socket.LocalPort());
        if (unread == 0) continue;
        for (Outcome& it : sent) it.is_unread = !it.answered_at;
        break;
      }
      if (end != Reader::End::kComplete) break;
      sent[i].answered_at = Clock::now();
      sent[i].status = answer.Status();
      record_.Write("client gets " + sent[i].id + " " +
                    std::to_string(sent[i].status));
      ++i;
    }
    for (const Outcome& it : sent) {
      if (!it.answered_at) {
        record_.Write("client gives up " + it.id +
                      (it.is_unread ? ", not read" : ", read"));
      }
    }
    const std::scoped_lock lock(mutex_);
    outcomes_.insert(outcomes_.end(), sent.begin(), sent.end());
  }

  Address front_;
  Record& record_;
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
};

/// Sends one request on a connection of its own.
void Charge(const Address& front, int number, std::atomic<int>& served,
            Record& record) {
  const std::string id = "charge-" + std::to_string(number);
  const Socket socket = Socket::Connect(front, Millis(1000));
  if (!socket.is_open()) return;
  socket.Send(
      Format("PUT /xapu221/rent HTTP/1.1",
             {{"Host", kHost}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}},
             std::string(4000, 'x')));
  Reader reader(socket);
  Message answer;
  const auto end = reader.Read(answer, Millis(2000), true);
  if (end == Reader::End::kComplete && answer.Status() == 200) ++served;
  record.Write("client gets " + id + " " + EndName(end) + " " +
               std::to_string(answer.Status()));
}

void SendCharges(const Address& front, double per_second, Millis time,
                 int& number, std::atomic<int>& served, Record& record) {
  const auto until = Clock::now() + time;
  const auto interval = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(1 / per_second));
  for (auto next = Clock::now(); next < until; next += interval) {
    std::this_thread::sleep_until(next);
    std::thread([&front, n = ++number, &served, &record] {
      Charge(front, n, served, record);
    }).detach();
  }
}

class Deployment {
 public:
  Deployment(const CaseOptions& options, Record& record)
      : subnet_(FreeSubnet(2)), store_({subnet_ + "2", kStorePort}) {
    Add(kReads, kReadBackends, kReadWork, record);
    Add(kCharges, kChargeBackends, kChargeWork, record);
    RouteSpec reads;
    reads.prefix = "/lepu270/";
    reads.is_idempotent = true;
    reads.timeout_s = std::chrono::duration<double>(kRouteTimeout).count();
    reads.priority = 2;
    reads.service = kReads;
    RouteSpec charges;
    charges.prefix = "/xapu221/";
    charges.target_latency_s = 0.5;
    charges.priority = 0;
    charges.service = kCharges;
    store_.Put("op/config",
               Configuration(7, {reads, charges}, {kReads, kCharges}));
    Machine machine;
    machine.ip = subnet_ + "1";
    machine.store = {subnet_ + "2", kStorePort};
    entry_ = std::make_unique<Entry>(machine, options.root, options.temporary,
                                     record);
    entry_->Start();
  }
  Entry& entry() { return *entry_; }
  std::size_t ReadsRun() const {
    std::size_t n = 0;
    for (const auto& it : backends_) {
      for (const Run& run : it->Runs()) n += run.target == "/lepu270/2f";
    }
    return n;
  }

 private:
  void Add(const std::string& service, int n, Millis work, Record& record) {
    for (int i = 0; i < n; ++i) {
      const Address address{
          subnet_ + "2", static_cast<std::uint16_t>(8080 + backends_.size())};
      backends_.push_back(std::make_unique<Backend>(
          "i-" + service + std::to_string(i), address, kSlots,
          [work](const Message&) {
            Answer answer;
            answer.work = work;
            return answer;
          },
          record));
      store_.Put("servers/" + backends_.back()->name(),
                 backends_.back()->Entry(service, "a", "ready"));
    }
  }

  std::string subnet_;
  Store store_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::unique_ptr<Entry> entry_;
};

int Judge(const std::vector<Outcome>& outcomes, Record& record) {
  int overdue = 0;
  int unanswered = 0;
  int unread = 0;
  int served = 0;
  for (const Outcome& it : outcomes) {
    if (it.is_unread) {
      ++unread;
      continue;
    }
    const auto has_answer_at = [&it](Millis age) {
      return it.answered_at && *it.answered_at - it.sent_at <= age;
    };
    if (it.status == 200) ++served;
    if (has_answer_at(kRouteTimeout)) continue;
    ++overdue;
    if (!has_answer_at(kRouteTimeout + kGrace)) ++unanswered;
  }
  record.Report(
      std::to_string(outcomes.size()) + " reads, " + std::to_string(served) +
      " served, " + std::to_string(unread) +
      " given up because they were not read, " + std::to_string(overdue) +
      " read and unanswered at the route's timeout, of which " +
      std::to_string(unanswered) + " have no answer half a second later");
  if (served == 0) return kNotRun;
  return unanswered >= kMinOverdue && 2 * unanswered > overdue ? kBroken
                                                               : kHeld;
}

int RunCase(const CaseOptions& options) {
  Record record(options.folder + "/record.txt");
  Deployment deployment(options, record);
  if (!deployment.entry().AwaitReady(Millis(10000))) return kNotRun;
  const Address front = deployment.entry().front();
  std::atomic<bool> ends = false;
  std::atomic<int> charged = 0;
  Readers readers(front, record);
  std::vector<std::thread> threads;
  for (int i = 0; i < kReaders; ++i)
    threads.emplace_back([&, i] { readers.Run(i, ends); });
  int number = 0;
  SendCharges(front, kChargesPerSecond, kUsual, number, charged, record);
  if (options.has_trouble) record.Report("many users come at once");
  SendCharges(front, kChargesPerSecond * (options.has_trouble ? kBurst : 1),
              kBurstTime, number, charged, record);
  record.Report("usual traffic again");
  SendCharges(front, kChargesPerSecond, kAfter, number, charged, record);
  ends = true;
  for (auto& it : threads) it.join();
  record.Report(std::to_string(number) + " charges, " +
                std::to_string(charged) + " served; " +
                std::to_string(deployment.ReadsRun()) + " reads run");
  if (!deployment.entry().IsRunning()) return kNotRun;
  return Judge(readers.outcomes(), record);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const review::CaseOptions options = review::ReadOptions(argc, argv);
  int status = review::kNotRun;
  try {
    status = review::RunCase(options);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
  }
  review::FinishCase(options, status);
}
