#ifndef REVIEW_STANDINS_3_STANDINS_H_
#define REVIEW_STANDINS_3_STANDINS_H_

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

/// Stand-ins for the platform, backend servers and callers on loopback, and
/// `ibisladder-entry` as a process. One thread serves one connection, with
/// blocking sockets.
namespace ibisladder::review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// A request or an answer.
struct Message {
  std::string start_line;
  Headers headers;
  std::string body;
};

/// Returns the value of a field; nullopt without it.
std::optional<std::string> FieldOf(const Message& message,
                                   const std::string& name);
/// Returns 0 without a status line.
int StatusOf(const Message& answer);
/// Returns the bytes of a message, with a Content-Length.
std::string Format(const Message& message);

/// One TCP connection.
class Connection {
 public:
  /// Connects to a port of 127.0.0.1. Calls end after `timeout`.
  explicit Connection(int port, Millis timeout = Millis(10000));
  static std::unique_ptr<Connection> OfSocket(int fd);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool is_open() const { return fd_ >= 0; }
  bool Send(const std::string& bytes) const;
  /// Returns nullopt at the end of the connection, and after the timeout.
  std::optional<Message> Receive();
  /// Whether the other side has closed the connection. Does not wait.
  bool HasEnded() const;

 private:
  Connection() = default;
  bool Fill();

  int fd_ = -1;
  std::string input_;
};

Message MakeAnswer(int status, Headers headers, std::string body);
/// Sends a request and returns its answer; one without a status line if there
/// is none.
Message Ask(Connection& connection, const Message& request);

/// Listens on a free port of 127.0.0.1, and serves until the process ends.
class Listener {
 public:
  /// Returns false to close the connection.
  using Handler = std::function<bool(Connection&, const Message&)>;

  explicit Listener(Handler handler);
  int port() const { return port_; }

 private:
  void Accept(int fd);

  Handler handler_;
  int port_ = 0;
};

/// The platform's store.
class Store {
 public:
  Store();
  int port() const { return listener_.port(); }
  /// Returns when the change is acknowledged.
  Clock::time_point Put(const std::string& key, const std::string& value);

  // A drill: the store is away and comes back from an older copy.

  void MakeCopy();
  /// Closes connections instead of replying.
  void Leave();
  /// Comes back with the copy, and begins a new era.
  void Restore();

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    /// nullopt: removed.
    std::optional<std::string> value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Clock::time_point ends_at;
    double seconds = 0;
  };

  bool Handle(Connection& connection, const Message& request);
  std::string List(const std::map<std::string, std::string>& query);
  std::string Watch(const std::map<std::string, std::string>& query);
  std::string Grant(const std::string& body);
  /// Returns an empty text if there is no such lease.
  std::string Renew(std::uint64_t lease);
  std::string Write(const std::string& body);
  void EndLease(std::uint64_t lease);
  void EndLapsedLeases();
  void Set(const std::string& key, const std::string& value,
           std::uint64_t lease);

  struct Contents {
    std::map<std::string, Item> items;
    std::vector<Event> events;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t revision = 10;
    std::uint64_t last_lease = 100;
  };

  std::mutex mutex_;
  std::condition_variable changed_;
  Contents contents_;
  Contents copy_;
  std::atomic<bool> is_away_ = false;
  std::atomic<int> era_ = 1;
  Listener listener_;
};

/// One request that a backend server ran.
struct Run {
  std::string server;
  Message request;
};

/// The requests that all servers ran.
class Runs {
 public:
  void Add(Run run);
  std::vector<Run> Of(const std::string& request_id);

 private:
  std::mutex mutex_;
  std::vector<Run> runs_;
};

/// Returns the value of a server's entry in the store.
std::string ServerValue(int port, const std::string& service);
constexpr int kSlots = 4;

/// A sound backend server, which registers itself.
class BackendServer {
 public:
  BackendServer(Store& store, Runs& runs, std::string id,
                const std::string& service);

 private:
  bool Handle(Connection& connection, const Message& request);

  Runs& runs_;
  std::string id_;
  Listener listener_;
};

/// A configuration of one version, as the operator writes it.
struct Configuration {
  int version = 1;
  std::size_t body_bytes = std::size_t{64} << 20U;
  /// Name and keys of the only organisation; none if empty.
  std::string organisation;
  std::vector<std::string> keys;
};
/// The at-most-once route /charge/ and the idempotent route /browse/ of
/// `kHost`, both to the service "shop".
std::string Format(const Configuration& configuration);
constexpr char kHost[] = "shop.example";

/// A process of the deploy file's role, in the current directory, which must be
/// the repository's root.
class Entry {
 public:
  /// Waits until the instance is ready. Throws std::runtime_error otherwise.
  Entry(const Store& store, const std::string& directory,
        const std::string& name, int memory_limit_mb);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  int callers() const { return callers_; }
  bool IsRunning();
  /// Returns the largest resident memory so far, kilobytes.
  std::int64_t PeakMemoryKb() const;
  /// Ends the process at once and starts it again.
  void Restart();
  void AwaitReady();

 private:
  void Start();
  void Stop();

  std::string directory_;
  std::string name_;
  int callers_ = 0;
  int ready_ = 0;
  int metrics_ = 0;
  std::atomic<pid_t> pid_ = -1;
};

/// Returns a temporary folder of this run, which is removed at its end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// What was sent, answered and run; a line for each.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}
  void Write(const std::string& line);

 private:
  std::ofstream out_;
  Clock::time_point started_at_ = Clock::now();
};

/// Whether the case runs with its disruption: unless TROUBLE is 0.
bool HasTrouble();

/// Returns a request of `kHost` with an id of its own and a deadline.
Message MakeRequest(const std::string& method, const std::string& target,
                    const std::string& body);
std::string IdOf(const Message& request);

/// Exit statuses of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Plays a case, whose only argument is the file of the record, and ends the
/// process with its exit status, kCouldNotRun if it throws. Stand-ins must be
/// static, since their threads run until the process ends.
int RunCase(int argc, char** argv,
            const std::function<int(Record&, const std::string&)>& run);

}  // namespace ibisladder::review

#endif  // REVIEW_STANDINS_3_STANDINS_H_
