#ifndef PLUGINS_GATEWAY_CALLER_CONNECTION_H_
#define PLUGINS_GATEWAY_CALLER_CONNECTION_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "libs/base/strong_types.h"
#include "libs/http1/message.h"
#include "libs/http1/message_parser.h"
#include "libs/memory/memory_budget.h"
#include "libs/net/event_loop.h"
#include "libs/net/socket_address.h"

/// State of one connection of a caller; internal to CallerConnections.
namespace ibisladder::gateway {

class CallerConnections;

namespace Internal {

/// Reading pauses at this many unanswered requests of a connection.
constexpr std::size_t kMaxPipelinedRequests = 32;
/// Reading pauses at this many unsent bytes of answers.
constexpr std::size_t kMaxUnsentBytes = 256U << 10U;

/// An answer whose body arrives in parts.
struct AnswerStream {
  http1::Response head;
  bool is_chunked = false;
  /// Bytes of the body that follow the earlier answers' bytes.
  std::string waiting;
  bool is_head_written = false;
  /// The answer closes the connection.
  bool closes = false;
  bool is_ended = false;
};

/// The answer to one request, in the order of the requests.
struct PendingAnswer {
  CallId call;
  bool is_head = false;
  bool accepts_chunks = true;
  /// One of them, once the answer is there.
  std::optional<http1::Response> response;
  std::optional<AnswerStream> stream;
  bool close = false;
  /// Memory of the request; 0 once it is answered.
  std::size_t request_bytes = 0;
};

struct CallerConnection {
  CallerConnection(CallerConnections* owner, std::uint64_t number,
                   bufferevent* socket, http1::RequestParser request_parser)
      : connections(owner),
        id(number),
        bev(socket),
        parser(std::move(request_parser)) {}
  ~CallerConnection() { bufferevent_free(bev); }
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  CallerConnections* connections;
  std::uint64_t id;
  bufferevent* bev;
  /// IP address of the caller.
  std::string address;
  http1::RequestParser parser;
  std::deque<PendingAnswer> pending_answers;
  /// Set after the last request that is read; further input is dropped, and the
  /// last pending answer closes the connection.
  bool discards_input = false;
  /// Shuts down once all output is written.
  bool closes_when_written = false;
  /// Shut down for writing; waits for the caller to close.
  bool is_lingering = false;
  /// A long body is being read, after the input of others.
  bool has_low_priority = false;
  /// When a byte last arrived or left, or a request was answered.
  TimePoint last_activity_at;
  TimePoint message_started_at;
  TimePoint linger_started_at;
  /// Bytes that the caller sent, and that it took.
  memory::Progress received;
  memory::Progress taken;
  /// Since when there have been bytes that the caller has not taken.
  std::optional<TimePoint> unsent_since;
  std::size_t unsent_bytes = 0;
  /// Memory of unanswered requests, and of answers that are not written yet.
  std::size_t waiting_bytes = 0;
  std::size_t ready_bytes = 0;
  /// As reported to the budget.
  memory::Holdings reported{};
};

inline std::size_t UnsentBytes(const CallerConnection& connection) {
  return evbuffer_get_length(bufferevent_get_output(connection.bev));
}

inline std::size_t UnreadBytes(const CallerConnection& connection) {
  return evbuffer_get_length(bufferevent_get_input(connection.bev));
}

inline bool IsReading(const CallerConnection& connection) {
  return (bufferevent_get_enabled(connection.bev) & EV_READ) != 0;
}

/// Whether the kernel holds input that is about to be read. After a stall, the
/// timers are due before a request that arrived in the meantime is read.
inline bool HasUnreadInput(const CallerConnection& connection) {
  return IsReading(connection) &&
         net::HasUnreadInput(bufferevent_getfd(connection.bev));
}

/// Whether the caller has closed a connection that is not read. Otherwise the
/// end of the input tells.
inline bool HasLeftUnnoticed(const CallerConnection& connection) {
  return !IsReading(connection) &&
         net::IsClosedByPeer(bufferevent_getfd(connection.bev));
}

/// Reads long bodies after other input, so that crowds of them do not delay
/// other callers.
inline void AdaptPriority(CallerConnection& connection) {
  constexpr std::size_t kLongBodyBytes = 64U << 10U;
  const bool is_low = connection.parser.held_bytes() > kLongBodyBytes;
  if (std::exchange(connection.has_low_priority, is_low) == is_low) return;
  bufferevent_priority_set(connection.bev,
                           is_low ? net::kLowPriority : net::kUsualPriority);
}

/// Whether no request of the connection is in progress.
inline bool IsIdle(const CallerConnection& connection) {
  return connection.pending_answers.empty() &&
         !connection.parser.in_message() && !connection.is_lingering &&
         UnsentBytes(connection) == 0 && !HasUnreadInput(connection);
}

}  // namespace Internal
}  // namespace ibisladder::gateway

#endif  // PLUGINS_GATEWAY_CALLER_CONNECTION_H_
