#ifndef PLUGINS_GATEWAY_SERVER_CONNECTIONS_H_
#define PLUGINS_GATEWAY_SERVER_CONNECTIONS_H_

#include <event2/bufferevent.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/gateway/messages.h"
#include "libs/http1/message.h"
#include "libs/memory/memory_budget.h"
#include "libs/net/event_loop.h"

/// Persistent connections to backend servers, one request at a time on each.
namespace ibisladder::gateway {

/// An encoded request to one server.
struct ServerExchange {
  AttemptId attempt;
  BackendServerId server;
  Endpoint endpoint;
  std::string bytes;
  bool is_head = false;
  /// ID of the request; answers to other requests are dropped.
  std::string request_id;
  /// The endpoint is another instance, which names the request only in answers
  /// of servers, and answers once.
  bool is_instance = false;
};

/// Whether an answer belongs to a request.
enum class AnswerMatch : std::uint8_t {
  kOther,    ///< It names another request.
  kUnnamed,  ///< It names none.
  kMatches,
};

/// An exchange that ended without an answer.
struct ExchangeFailure {
  AttemptId attempt;
  AttemptFailure failure = AttemptFailure::kConnectionLost;
  std::string request_id;
  /// Whether the connect timeout ended the exchange, not the socket.
  bool is_connect_timeout = false;
  /// Age of the connection.
  Duration connection_age{};
  /// Bytes of the request that the kernel took, and those that it did not.
  std::size_t written = 0;
  std::size_t unwritten = 0;
};

namespace Internal {
struct ServerConnection;
}

class ServerConnections {
 public:
  /// Returns whether an answer belongs to the request with the given ID.
  using RequestMatcher = AnswerMatch (*)(const http1::Response&,
                                         const std::string&);

  ServerConnections(net::EventLoop& loop, const http1::Limits& limits,
                    RequestMatcher matches_request);
  ~ServerConnections();
  ServerConnections(const ServerConnections&) = delete;
  ServerConnections& operator=(const ServerConnections&) = delete;

  /// Reports the bytes that are held to the budget, which must outlive the
  /// connections, and bounds those of incomplete answers by all of it.
  void SetBudget(memory::MemoryBudget* budget);
  /// Sends a request. Exactly one of the two signals follows, unless the
  /// attempt is cancelled before; none is emitted from within Send.
  void Send(ServerExchange exchange);
  /// Opens a connection to find out whether the server is reached, and closes
  /// it again, since servers bound the number of their connections.
  /// `signal_spare_ended` follows, never from within this function.
  void OpenSpare(BackendServerId server, const Endpoint& endpoint);
  /// Closes the server's connections without a request.
  void CloseIdle(BackendServerId server);
  /// Closes the attempt's connection; no signal follows.
  void Cancel(AttemptId attempt);
  /// Lets answers be streamed: at `threshold` bytes of a body,
  /// `signal_answer_started` is emitted once.
  void EnableStreaming(std::size_t threshold) { stream_threshold_ = threshold; }
  /// Call from a handler of `signal_answer_started` to get the body in parts.
  /// The attempt's last signal then brings the rest of the body, or a failure.
  void Stream(AttemptId attempt);
  /// While paused, nothing is read of the attempt's answer.
  void SetPaused(AttemptId attempt, bool is_paused);
  /// Closes connections that are idle for too long, and fails attempts whose
  /// connection is not opened in time. Call at least twice a second.
  void Sweep(TimePoint now);

  sigc::signal<void(AttemptId, http1::Response&)>& signal_answer() {
    return answer_;
  }
  /// An answer, as far as received without its body.
  sigc::signal<void(AttemptId, http1::Response&)>& signal_answer_started() {
    return answer_started_;
  }
  sigc::signal<void(AttemptId, const std::string&)>& signal_answer_part() {
    return answer_part_;
  }
  sigc::signal<void(const ExchangeFailure&)>& signal_failure() {
    return failure_;
  }

  /// A spare connection was opened, or could not be.
  sigc::signal<void(BackendServerId, bool)>& signal_spare_ended() {
    return spare_ended_;
  }

  std::size_t open_connections() const { return connections_.size(); }
  /// Bytes that were read of answers that are not complete.
  std::size_t received_bytes() const { return received_bytes_; }
  /// Connections opened since the start.
  std::uint64_t opened() const { return last_connection_id_; }

 private:
  static void OnReadable(bufferevent* bev, void* connection);
  static void OnEvent(bufferevent* bev, short what,  // NOLINT
                      void* connection);

  Internal::ServerConnection* TakeIdle(const ServerExchange& exchange);
  Internal::ServerConnection& Open(BackendServerId server,
                                   const Endpoint& endpoint);
  void HandleConnected(Internal::ServerConnection& connection);
  /// Keeps a connection without a request for the next one, or closes it.
  void KeepOrClose(Internal::ServerConnection& connection,
                   Duration idle_timeout);
  void Read(Internal::ServerConnection& connection);
  /// `is_intact`: the input consists of valid answers, and the connection is
  /// open.
  void HandleAnswer(Internal::ServerConnection& connection,
                    std::vector<http1::Response>& responses, bool is_intact);
  /// Whether the answer belongs to the connection's request.
  AnswerMatch Match(const Internal::ServerConnection& connection,
                    const http1::Response& response) const;
  void StreamAnswer(Internal::ServerConnection& connection);
  void OfferStream(Internal::ServerConnection& connection);
  Internal::ServerConnection* FindByAttempt(AttemptId attempt);
  /// `is_regular`: the server closed the connection, and no error occurred.
  void HandleDisconnect(Internal::ServerConnection& connection,
                        bool is_regular);
  void Fail(Internal::ServerConnection& connection, AttemptFailure failure,
            bool is_connect_timeout = false);
  void Close(std::uint64_t id);

  void ReportMemory();

  /// Maximum size of all answers together that are not complete. They must fit
  /// an instance of 260 MB while strings grow by doubling.
  static constexpr std::size_t kMaxReceivedBytes = 64U << 20U;

  net::EventLoop& loop_;
  memory::MemoryBudget* budget_ = nullptr;
  memory::Holdings reported_{};
  std::size_t max_received_bytes_ = kMaxReceivedBytes;
  /// Of requests, counted in Sweep; those sent since are counted whole.
  std::size_t unsent_bytes_ = 0;
  http1::Limits limits_;
  RequestMatcher matches_request_;
  /// 0: answers are not streamed.
  std::size_t stream_threshold_ = 0;
  std::size_t received_bytes_ = 0;
  std::uint64_t last_connection_id_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Internal::ServerConnection>>
      connections_;
  std::unordered_map<AttemptId, std::uint64_t> connection_of_attempt_;
  /// Most recently used last.
  std::unordered_map<BackendServerId, std::vector<std::uint64_t>> idle_;
  sigc::signal<void(AttemptId, http1::Response&)> answer_;
  sigc::signal<void(AttemptId, http1::Response&)> answer_started_;
  sigc::signal<void(AttemptId, const std::string&)> answer_part_;
  sigc::signal<void(const ExchangeFailure&)> failure_;
  sigc::signal<void(BackendServerId, bool)> spare_ended_;
};

}  // namespace ibisladder::gateway

#endif  // PLUGINS_GATEWAY_SERVER_CONNECTIONS_H_
