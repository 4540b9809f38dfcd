#ifndef PLUGINS_GATEWAY_CALLER_CONNECTIONS_H_
#define PLUGINS_GATEWAY_CALLER_CONNECTIONS_H_

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/gateway/configuration.h"
#include "libs/http1/message.h"
#include "libs/http1/message_parser.h"
#include "libs/memory/memory_budget.h"
#include "libs/net/event_loop.h"
#include "plugins/gateway/connection_guard.h"

/// Callers' connections with pipelining: requests are read before earlier ones
/// are answered, and answers are written in the order of the requests.
namespace ibisladder::gateway {

namespace Internal {
struct AnswerStream;
struct CallerConnection;
}  // namespace Internal

using ConnectionGuardPtr = std::shared_ptr<ConnectionGuard>;

class CallerConnections {
 public:
  /// Returns kInternal if the endpoint cannot be bound. The numbers of calls
  /// follow `before_first`. Without a guard, the memory of these connections is
  /// bounded alone.
  static Expected<std::unique_ptr<CallerConnections>> Listen(
      net::EventLoop& loop, const Endpoint& endpoint, CallId before_first = {},
      ConnectionGuardPtr guard = nullptr);
  ~CallerConnections();
  CallerConnections(const CallerConnections&) = delete;
  CallerConnections& operator=(const CallerConnections&) = delete;

  /// Size limits apply to connections accepted from now on, timeouts apply to
  /// all connections immediately.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  /// Closes idle connections, then slow ones, where there would be more.
  void SetMaxConnections(std::size_t n) { max_connections_ = n; }
  /// The body of a request for which this returns false is not stored.
  void SetBodyFilter(http1::BodyFilter needs_body) {
    needs_body_ = std::move(needs_body);
  }
  /// Sets fields of the answers that refuse requests for lack of memory.
  void SetRefusalFields(net::Headers fields) {
    refusal_fields_ = std::move(fields);
  }
  /// Does nothing if the caller has left. With `close` the connection is closed
  /// after the answer; what the caller sent behind it and was not read yet is
  /// dropped.
  void Answer(CallId call, const http1::Response& response, bool close);

  // Answers in parts. All but CanStream do nothing if the caller has left.

  /// Returns whether the caller can take an answer of this length in parts and
  /// notice if it breaks off.
  bool CanStream(CallId call, bool has_length) const;
  /// Starts an answer whose body follows.
  void StartAnswer(CallId call, const http1::Response& head);
  void AppendToAnswer(CallId call, const std::string& part);
  /// Ends a started answer, whose body must be complete.
  void EndAnswer(CallId call);
  /// Closes the connection of a started answer that cannot be completed.
  void BreakAnswer(CallId call);
  /// Returns the bytes of a started answer that the caller has not taken yet,
  /// with those of earlier answers.
  std::size_t BacklogOf(CallId call) const;
  /// Emitted when the caller has taken all bytes of a started answer.
  sigc::signal<void(CallId)>& signal_drained() { return drained_; }

  /// Closes each connection after its next answer.
  void CloseAfterAnswers() { closes_after_answers_ = true; }
  /// Closes connections without a request in progress.
  void CloseIdle();
  /// Closes idle connections, and rejects requests that arrive too slowly. Call
  /// at least twice a second.
  void Sweep(TimePoint now);

  /// Connections whose memory can be had by Release.
  std::vector<std::pair<std::uint64_t, memory::Holder>> Holders(
      TimePoint now) const;
  /// Refuses the incomplete request of a connection, or closes it.
  void Release(std::uint64_t id);

  /// A complete request. The answers may be given in any order.
  sigc::signal<void(CallId, http1::Request&)>& signal_request() {
    return request_;
  }
  /// Emitted with the unanswered requests of a closed connection, of which none
  /// can be answered any more.
  sigc::signal<void(const std::vector<CallId>&)>& signal_callers_left() {
    return callers_left_;
  }

  /// Returns whether the caller sent other requests before the answer to an
  /// earlier one. Call it while the request is reported.
  bool IsPipelined(CallId call) const;
  /// IP address of the caller; empty if it has left.
  std::string AddressOf(CallId call) const;
  std::size_t open_connections() const { return connections_.size(); }

 private:
  using ListenerPtr =
      std::unique_ptr<evconnlistener, void (*)(evconnlistener*)>;

  CallerConnections(net::EventLoop& loop, ConnectionGuardPtr guard);

  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* address, int size, void* self);
  static void OnReadable(bufferevent* bev, void* connection);
  static void OnWritten(bufferevent* bev, void* connection);
  static void OnEvent(bufferevent* bev, short what,  // NOLINT
                      void* connection);

  http1::RequestParser MakeParser(const std::string& address) const;
  /// Closes a connection if there are too many. Returns whether there is room.
  bool MakeRoom();
  void Read(Internal::CallerConnection& connection);
  /// Returns whether more may be taken from the socket.
  bool MayRead(const Internal::CallerConnection& connection) const;
  void ResumeReading(Internal::CallerConnection& connection);
  void HandleRequests(Internal::CallerConnection& connection,
                      std::vector<http1::Request>& requests);
  /// Drops the incomplete request and further input.
  void StopReading(Internal::CallerConnection& connection);
  /// Reports the connection's memory to the budget.
  void UpdateHoldings(Internal::CallerConnection& connection);
  void ForgetHoldings(Internal::CallerConnection& connection);
  void RejectInput(Internal::CallerConnection& connection, int status);
  void WriteReadyAnswers(Internal::CallerConnection& connection);
  /// Writes what is there of the first answer. Returns whether it has ended.
  bool WriteFirstAnswer(Internal::CallerConnection& connection);
  /// Returns whether the first answer is the last one of the connection.
  bool IsLastAnswer(Internal::CallerConnection& connection) const;
  Internal::CallerConnection* FindConnection(CallId call) const;
  /// Returns null if no answer to the call was started.
  static Internal::AnswerStream* FindStream(
      Internal::CallerConnection& connection, CallId call);
  void StartLinger(Internal::CallerConnection& connection);
  void Close(std::uint64_t id);
  bool IsExpired(const Internal::CallerConnection& connection,
                 TimePoint now) const;

  net::EventLoop& loop_;
  ConnectionGuardPtr guard_;
  CallerLimits limits_;
  std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
  http1::BodyFilter needs_body_;
  net::Headers refusal_fields_;
  bool closes_after_answers_ = false;
  std::uint64_t last_connection_id_ = 0;
  std::uint64_t last_call_id_ = 0;
  ListenerPtr listener_{nullptr, &evconnlistener_free};
  std::unordered_map<std::uint64_t, std::unique_ptr<Internal::CallerConnection>>
      connections_;
  std::unordered_map<CallId, std::uint64_t> connection_of_call_;
  sigc::signal<void(CallId, http1::Request&)> request_;
  sigc::signal<void(const std::vector<CallId>&)> callers_left_;
  sigc::signal<void(CallId)> drained_;
};

}  // namespace ibisladder::gateway

#endif  // PLUGINS_GATEWAY_CALLER_CONNECTIONS_H_
