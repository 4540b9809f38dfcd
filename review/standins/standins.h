#ifndef REVIEW_STANDINS_STANDINS_H_
#define REVIEW_STANDINS_STANDINS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins for the platform, the servers and the clients of a small
/// deployment, and real `ibisladder-entry` processes, for the cases of the
/// review. Everything uses blocking sockets on one loopback address a run.
namespace review {

using Headers = std::map<std::string, std::string>;

/// Seconds since the start of this program.
double Now();
void Sleep(double seconds);

/// Writes lines with the time to the case's record.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// A message of HTTP/1.1. Names of header fields are in lower case.
struct Message {
  std::string first_line;
  Headers headers;
  std::string body;
  /// The body has arrived completely.
  bool is_complete = false;
};

/// One end of a connection.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Write(const std::string& bytes);
  /// Reads one message; none if the connection ends before its head is
  /// complete, or nothing arrives for `timeout` seconds.
  std::optional<Message> Read(double timeout, bool is_answer);
  /// Whether the other side has closed the connection, or sent something.
  bool HasInput(double timeout) const;
  /// Ends the connection with a reset, like a crash of the peer.
  void Reset();
  void Shutdown() const;

 private:
  bool Fill(double deadline);

  int fd_;
  std::string buffer_;
};

/// Returns the status of an answer; 0 if it is none.
int StatusOf(const Message& answer);

std::string FormatAnswer(int status, const Headers& headers,
                         const std::string& body);

/// Calls `serve` in a thread of its own for each connection.
class Listener {
 public:
  Listener(const std::string& ip, std::function<void(Socket&)> serve);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  std::uint16_t port() const { return port_; }
  /// Accepts no further connections; the port stays closed.
  void Close();

 private:
  void Accept();

  std::function<void(Socket&)> serve_;
  std::atomic<int> fd_{-1};
  std::uint16_t port_ = 0;
  std::thread thread_;
};

/// The platform's store, as PROTOCOL.md describes it.
class Store {
 public:
  explicit Store(const std::string& ip);
  ~Store();
  std::uint16_t port() const { return listener_->port(); }
  void Put(const std::string& key, const std::string& value,
           std::uint64_t lease = 0);
  void Remove(const std::string& key);
  /// Makes the copy from which the store comes back in a drill.
  void MakeCopy();
  /// The store is away for a while and comes back from the copy.
  void Drill(double away);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    bool is_removal = false;
    Item item;
  };
  struct Lease {
    double time_to_live = 0;
    double ends_at = 0;
  };

  void Serve(Socket& socket);
  std::string Answer(const Message& request);
  std::string Range(const std::string& target);
  std::string Watch(const std::string& target);
  std::string Transact(const std::string& body);
  void PutLocked(const std::string& key, const std::string& value,
                 std::uint64_t lease);
  void RemoveLocked(const std::string& key);
  void EndLeaseLocked(std::uint64_t lease);
  void EndLeases();
  std::string Respond(int status, const std::string& body) const;

  /// What a copy contains.
  struct State {
    std::map<std::string, Item> items;
    std::vector<Event> events;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t revision = 100;
  };

  std::mutex mutex_;
  std::condition_variable changed_;
  State state_;
  State copy_;
  std::uint64_t last_lease_ = 1000;
  std::atomic<int> era_{1};
  std::atomic<bool> is_away_{false};
  std::atomic<bool> is_ending_{false};
  std::thread expiry_;
  std::unique_ptr<Listener> listener_;
};

/// A backend server. Rejects requests for other servers with 421, and those
/// beyond its slots and its queue with 503 and X-Not-Executed.
class Server {
 public:
  struct Options {
    std::string ip;
    std::string id;
    std::string service;
    std::string zone;
    int slots = 4;
  };
  /// Runs a request: writes the answer, and returns whether the connection
  /// stays open.
  using Run = std::function<bool(const Message&, Socket&)>;

  Server(const Options& options, Run run);
  ~Server();
  /// Value of the server's entry in the store.
  std::string Entry() const;
  /// Accepts no further connections, like a server that has crashed.
  void Stop() { listener_->Close(); }

 private:
  void Serve(Socket& socket);

  Options options_;
  Run run_;
  std::atomic<int> in_use_{0};
  std::unique_ptr<Listener> listener_;
};

/// A real `ibisladder-entry` process, started like the deploy file says.
class Entry {
 public:
  Entry(const std::string& ip, const std::string& name, std::uint16_t store,
        const std::string& directory, int grace = 6, int memory = 260);
  ~Entry();
  void Start();
  void Signal(int number) const;
  /// Returns how the process ended; none while it runs.
  std::optional<std::string> Ended();
  /// Waits until the ready address answers 200.
  bool AwaitReady(double timeout) const;
  std::uint16_t front() const { return front_; }
  std::string LastOutput() const;
  /// Largest resident memory of the process so far, MB; 0 if it has ended.
  double PeakMemory() const;

 private:
  std::string ip_;
  std::string settings_;
  std::string output_;
  std::uint16_t front_ = 0;
  std::uint16_t ready_ = 0;
  pid_t pid_ = -1;
};

/// Returns a random address of 127.0.0.0/8, so that runs share no ports.
std::string RandomLoopback();
std::uint16_t FreePort(const std::string& ip);
/// Returns -1 if the connection can't be opened.
int Connect(const std::string& ip, std::uint16_t port);
std::string MakeDirectory();
bool HasTrouble();

/// One route of the configuration.
struct Route {
  std::string prefix;
  std::string kind;
  std::string service;
  double timeout = 4;
  double target_latency = 1.2;
  int priority = 1;
};
/// Value of op/config for the host "shop.example".
std::string Configuration(int version, const std::vector<Route>& routes);

/// Exit statuses of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

}  // namespace review

#endif  // REVIEW_STANDINS_STANDINS_H_
