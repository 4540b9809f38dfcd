#ifndef TESTS_AUTO_CONTROLPLANE_FLEET_H_
#define TESTS_AUTO_CONTROLPLANE_FLEET_H_

#include <array>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/controlplane/control_plane.h"
#include "tests/auto/controlplane/fake_store.h"

/// Simulates the control planes of several instances in virtual time: one event
/// queue, one clock, and faults of the links and the platform.
namespace ibisladder::controlplane {

/// Faults to inject, and how often each occurred. Rates are probabilities for
/// each datagram or call.
struct Faults {
  double loss = 0;
  double duplicate = 0;
  /// A write takes effect, its reply is lost.
  double lost_reply = 0;
  /// A reply of the store is invalid.
  double invalid_reply = 0;
  /// A write takes effect after its writer's timeout.
  double slow_write = 0;
  bool store_down = false;
  bool list_down = false;
  /// One-directional cuts: from, to.
  std::set<std::pair<std::uint32_t, std::uint32_t>> cuts;

  int lost = 0;
  int duplicated = 0;
  int lost_replies = 0;
  int slow_writes = 0;
  int invalid_replies = 0;
  int calls_in_outages = 0;
  int cut = 0;
};

/// The answer to an operator's change.
struct OperatorReply {
  std::string change_id;
  ResultCode code = ResultCode::kInternal;
  ConfigVersion version;
  std::string message;
  TimePoint at;
};

struct Node {
  ControlPlaneSettings settings;
  ControlPlanePtr plane;
  bool runs = false;
  TimePoint started_at;
  std::uint32_t era = 0;
  /// Members handed out to callers, without leaving ones.
  std::set<std::uint32_t> handed_out;
  std::set<std::uint64_t> leaving_servers;
  std::vector<ConfigVersion> installed;
  TimePoint installed_at;
  int evidence_received = 0;
};

class Fleet {
 public:
  Fleet(std::uint32_t size, unsigned seed, std::uint32_t zones = 3);

  void Start(std::uint32_t i);
  /// Stops the instance at once, without a planned stop.
  void Kill(std::uint32_t i);
  void Run(Duration duration);
  /// Runs until `done` returns true or the limit is reached. Returns the time
  /// that passed.
  Duration RunUntil(Duration limit, const std::function<bool()>& done);
  void Feed(std::uint32_t i, const Event& event);
  void Apply(std::uint32_t i, const std::string& change_id,
             ConfigVersion based_on, const declarations::Declarations& items);

  Node& node(std::uint32_t i) { return nodes_[i]; }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(nodes_.size());
  }
  TimePoint now() const { return now_; }
  FakeStore& store() { return store_; }
  Faults& faults() { return faults_; }
  std::vector<OperatorReply>& operator_replies() { return operator_replies_; }
  std::vector<LogLine>& logs() { return logs_; }
  /// Appends replies to operators, reads and writes of the head, and log lines
  /// about the configuration to `lines` from now on.
  void Transcribe(std::vector<std::string>* lines) { transcript_ = lines; }
  void WriteTranscript(const std::string& line);
  std::vector<ListedServer>& listed_servers() { return listed_servers_; }
  std::set<std::uint32_t>& listed() { return listed_; }

  ConfigVersion version(std::uint32_t i) const;
  std::string StateSeen(std::uint32_t by, std::uint32_t of) const;
  /// Number of running instances for which `test` returns true.
  std::size_t Count(const std::function<bool(Node&)>& test);
  std::size_t Running();
  /// Number of installations of a version that is not newer than the one that
  /// the incarnation had.
  int regressions() const { return regressions_; }
  std::uint64_t platform_calls() const { return platform_calls_; }
  std::uint64_t head_calls() const { return head_calls_; }
  /// When the store accepted the newest head.
  TimePoint newest_head_at() const { return newest_head_at_; }
  /// Datagram bytes of all instances, without UDP and IP headers.
  std::uint64_t datagram_bytes() const { return datagram_bytes_; }
  std::uint64_t fetched_bytes() const { return fetched_bytes_; }

 private:
  struct Scheduled {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Scheduled& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  void Post(Duration delay, std::function<void()> run);
  void Step(std::uint32_t i, const Event& event);
  /// Delivers the event if the instance is still the same incarnation.
  void PostEvent(std::uint32_t i, Duration delay, Event event);
  void RunTicks(std::uint32_t i, Incarnation incarnation);
  bool Passes(std::uint32_t from, std::uint32_t to);
  Duration LinkDelay();

  void Perform(std::uint32_t i, const SendDatagram& action);
  void Perform(std::uint32_t i, const AnswerFetch& action);
  void Perform(std::uint32_t i, const FetchFromPeer& action);
  void Perform(std::uint32_t i, const StoreRead& action);
  void Perform(std::uint32_t i, const StoreWatch& action);
  void Perform(std::uint32_t i, const StoreWrite& action);
  void Perform(std::uint32_t i, const StoreDelete& action);
  void Perform(std::uint32_t i, const ReadList& action);
  void Perform(std::uint32_t i, const InstallConfiguration& action);
  void Perform(std::uint32_t i, const ReportFleet& action);
  void Perform(std::uint32_t i, const ReportServersLeaving& action);
  void Perform(std::uint32_t i, const ReportEvidence& action);
  void Perform(std::uint32_t i, const AnswerApply& action);
  void Perform(std::uint32_t i, const WriteLog& action);
  void ReplyFromStore(std::uint32_t i, ExchangeId exchange, StoreReplied reply);
  /// Runs `run` later if instance `i` is still the same incarnation.
  void PostIfSame(std::uint32_t i, Duration delay, std::function<void()> run);
  bool StoreRefuses(std::uint32_t i, ExchangeId exchange);
  void WakeWatchers();
  void WriteTranscript(std::uint32_t i, const std::string& what);

  TimePoint now_;
  std::uint64_t order_ = 0;
  std::priority_queue<Scheduled> queue_;
  Random random_;
  std::vector<Node> nodes_;
  FakeStore store_;
  Faults faults_;
  std::vector<OperatorReply> operator_replies_;
  std::map<std::uint64_t, std::string> procedures_;
  std::vector<LogLine> logs_;
  std::vector<std::string>* transcript_ = nullptr;
  std::set<std::uint32_t> listed_;
  std::vector<ListedServer> listed_servers_;
  struct Watcher {
    std::uint32_t node = 0;
    Incarnation incarnation;
    StoreWatch watch;
  };
  struct Served {
    std::uint32_t asker = 0;
    Incarnation incarnation;
    ExchangeId exchange;
  };
  std::vector<Watcher> watchers_;
  std::map<std::uint64_t, Served> served_;
  TimePoint newest_head_at_;
  int regressions_ = 0;
  std::uint64_t platform_calls_ = 0;
  std::uint64_t head_calls_ = 0;
  std::uint64_t datagram_bytes_ = 0;
  std::uint64_t fetched_bytes_ = 0;
};

/// Returns declarations with `services` services of `servers` backend servers
/// each, and the given numbers of routes and organisations.
declarations::Declarations MakeDeclarations(int services, int servers,
                                            int routes, int organisations);

}  // namespace ibisladder::controlplane

#endif  // TESTS_AUTO_CONTROLPLANE_FLEET_H_
