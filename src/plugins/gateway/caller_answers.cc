// Writes answers to callers, whole or in parts, in the order of the requests.
#include <algorithm>
#include <utility>

#include "plugins/gateway/caller_connection.h"
#include "plugins/gateway/caller_connections.h"

namespace ibisladder::gateway {

using Internal::AnswerStream;
using Internal::CallerConnection;
using Internal::PendingAnswer;

namespace {

/// The request is no longer in memory.
void ForgetRequest(CallerConnection& connection, PendingAnswer& pending) {
  connection.waiting_bytes -= std::exchange(pending.request_bytes, 0);
}

}  // namespace

void CallerConnections::Answer(CallId call, const http1::Response& response,
                               bool close) {
  const auto it = connection_of_call_.find(call);
  if (it == connection_of_call_.end()) return;
  CallerConnection& connection = *connections_.at(it->second);
  connection_of_call_.erase(it);
  const auto pending =
      std::ranges::find(connection.pending_answers, call, &PendingAnswer::call);
  pending->close = close;
  connection.discards_input |= close;
  pending->response = response;
  ForgetRequest(connection, *pending);
  connection.ready_bytes += response.body.size();
  WriteReadyAnswers(connection);
}

CallerConnection* CallerConnections::FindConnection(CallId call) const {
  const auto it = connection_of_call_.find(call);
  return it == connection_of_call_.end() ? nullptr
                                         : connections_.at(it->second).get();
}

AnswerStream* CallerConnections::FindStream(CallerConnection& connection,
                                            CallId call) {
  const auto it =
      std::ranges::find(connection.pending_answers, call, &PendingAnswer::call);
  const bool is_started =
      it != connection.pending_answers.end() && it->stream.has_value();
  return is_started ? &*it->stream : nullptr;
}

bool CallerConnections::CanStream(CallId call, bool has_length) const {
  const CallerConnection* connection = FindConnection(call);
  if (connection == nullptr || has_length) return true;
  const auto it = std::ranges::find(connection->pending_answers, call,
                                    &PendingAnswer::call);
  return it->accepts_chunks;
}

void CallerConnections::StartAnswer(CallId call, const http1::Response& head) {
  CallerConnection* connection = FindConnection(call);
  if (connection == nullptr) return;
  const auto it = std::ranges::find(connection->pending_answers, call,
                                    &PendingAnswer::call);
  it->stream = AnswerStream{head, !http1::HasLength(head)};
  WriteReadyAnswers(*connection);
}

void CallerConnections::AppendToAnswer(CallId call, const std::string& part) {
  CallerConnection* connection = FindConnection(call);
  if (connection == nullptr) return;
  AnswerStream* stream = FindStream(*connection, call);
  if (stream == nullptr) return;
  const std::size_t before = stream->waiting.size();
  stream->waiting += stream->is_chunked ? http1::FormatChunk(part) : part;
  connection->ready_bytes += stream->waiting.size() - before;
  WriteReadyAnswers(*connection);
}

void CallerConnections::EndAnswer(CallId call) {
  CallerConnection* connection = FindConnection(call);
  if (connection == nullptr) return;
  AnswerStream* stream = FindStream(*connection, call);
  if (stream == nullptr) return;
  if (stream->is_chunked) {
    stream->waiting += http1::kLastChunk;
    connection->ready_bytes += http1::kLastChunk.size();
  }
  stream->is_ended = true;
  connection_of_call_.erase(call);
  WriteReadyAnswers(*connection);
}

void CallerConnections::BreakAnswer(CallId call) {
  const CallerConnection* connection = FindConnection(call);
  if (connection == nullptr) return;
  connection_of_call_.erase(call);
  Close(connection->id);
}

std::size_t CallerConnections::BacklogOf(CallId call) const {
  CallerConnection* connection = FindConnection(call);
  if (connection == nullptr) return 0;
  const AnswerStream* stream = FindStream(*connection, call);
  return UnsentBytes(*connection) +
         (stream == nullptr ? 0 : stream->waiting.size());
}

bool CallerConnections::IsLastAnswer(CallerConnection& connection) const {
  if (connection.pending_answers.front().close || closes_after_answers_) {
    connection.discards_input = true;
  }
  // Callers take requests behind a closing answer for unread and send them
  // again, so that those that were passed on are answered first.
  return connection.discards_input && connection.pending_answers.size() == 1;
}

bool CallerConnections::WriteFirstAnswer(CallerConnection& connection) {
  PendingAnswer& first = connection.pending_answers.front();
  const auto write = [&connection](const std::string& bytes) {
    bufferevent_write(connection.bev, bytes.data(), bytes.size());
    connection.unsent_bytes += bytes.size();
  };
  if (first.response) {
    const bool is_last = IsLastAnswer(connection);
    write(http1::FormatResponse(*first.response, is_last, first.is_head));
    connection.ready_bytes -= first.response->body.size();
    connection.closes_when_written = is_last;
    return true;
  }
  if (!first.stream) return false;
  AnswerStream& stream = *first.stream;
  if (!std::exchange(stream.is_head_written, true)) {
    stream.closes = IsLastAnswer(connection);
    write(http1::FormatHead(stream.head, stream.closes));
  }
  connection.ready_bytes -= stream.waiting.size();
  write(std::exchange(stream.waiting, {}));
  connection.closes_when_written = stream.is_ended && stream.closes;
  return stream.is_ended;
}

void CallerConnections::WriteReadyAnswers(CallerConnection& connection) {
  while (!connection.pending_answers.empty() && WriteFirstAnswer(connection)) {
    PendingAnswer& first = connection.pending_answers.front();
    ForgetRequest(connection, first);
    connection.pending_answers.pop_front();
  }
  connection.last_activity_at = net::MonotonicNow();
  ResumeReading(connection);
  UpdateHoldings(connection);
}

}  // namespace ibisladder::gateway
