// Reads the answers of backend servers, whole or in parts.
#include <algorithm>
#include <charconv>
#include <utility>

#include "plugins/gateway/server_connection.h"

namespace ibisladder::gateway {

using Internal::HashOf;
using Internal::ServerConnection;

namespace {

/// Shorter than the time after which servers close idle connections.
constexpr Duration kIdleTimeout = Seconds(6);
/// Subtracted from the idle timeout that a server advertises.
constexpr Duration kIdleMargin = Seconds(1);
constexpr std::size_t kMaxIdleConnections = 4;
/// Number of earlier requests of a connection whose answers may come once more;
/// a request is repeated within seconds.
constexpr std::size_t kMaxEarlierIds = 64;
constexpr std::size_t kReadBufferBytes = 16384;

/// Returns the timeout in seconds of a field like
/// "Keep-Alive: timeout=5, max=100".
std::optional<Duration> AdvertisedIdleTimeout(const http1::Headers& headers) {
  constexpr std::string_view kName = "timeout=";
  const std::string* value = http1::FindHeader(headers, "Keep-Alive");
  if (value == nullptr) return std::nullopt;
  const std::size_t at = value->find(kName);
  if (at == std::string::npos) return std::nullopt;
  int seconds = 0;
  const char* begin = value->data() + at + kName.size();
  const auto [end, ec] =
      std::from_chars(begin, value->data() + value->size(), seconds);
  if (ec != std::errc() || seconds < 0) return std::nullopt;
  return Seconds(seconds);
}

Duration IdleTimeoutOf(const http1::Response& response) {
  const auto advertised = AdvertisedIdleTimeout(response.headers);
  if (!advertised) return kIdleTimeout;
  return std::max(*advertised - kIdleMargin, *advertised / 2);
}

}  // namespace

void ServerConnections::KeepOrClose(ServerConnection& connection,
                                    Duration idle_timeout) {
  auto& idle = idle_[connection.server];
  if (idle.size() >= kMaxIdleConnections) {
    Close(connection.id);
    return;
  }
  connection.idle_since = net::MonotonicNow();
  connection.idle_timeout = idle_timeout;
  idle.push_back(connection.id);
}

void ServerConnections::Read(ServerConnection& connection) {
  // Without an open request, the bytes are a late or second answer.
  if (!connection.attempt) {
    Close(connection.id);
    return;
  }
  evbuffer* input = bufferevent_get_input(connection.bev);
  std::vector<http1::Response> responses;
  char buf[kReadBufferBytes];
  std::optional<http1::ParseFailure> failure;
  while (!failure && evbuffer_get_length(input) > 0) {
    const int n = evbuffer_remove(input, buf, sizeof(buf));
    if (n <= 0) break;
    connection.answer_bytes += static_cast<std::size_t>(n);
    received_bytes_ += static_cast<std::size_t>(n);
    failure = connection.parser.Feed(
        std::string_view(buf, static_cast<std::size_t>(n)), responses);
    if (responses.empty() && received_bytes_ > max_received_bytes_) {
      failure = http1::ParseFailure::kBodyTooLarge;
    }
  }
  const std::uint64_t id = connection.id;
  if (!responses.empty()) {
    HandleAnswer(connection, responses, !failure);
  } else if (!failure) {
    StreamAnswer(connection);
  }
  if (!failure || !connections_.contains(id)) return;
  if (connection.attempt) {
    Fail(connection, AttemptFailure::kTruncated);
  } else {
    Close(id);
  }
}

/// Emits what was received of the body, if it is received in parts.
void ServerConnections::StreamAnswer(ServerConnection& connection) {
  const std::uint64_t id = connection.id;
  const bool is_offered =
      stream_threshold_ > 0 &&
      connection.mode == ServerConnection::Mode::kUndecided &&
      connection.parser.body_bytes() >= stream_threshold_;
  if (is_offered) OfferStream(connection);
  if (!connections_.contains(id) || !connection.attempt ||
      connection.mode != ServerConnection::Mode::kParts) {
    return;
  }
  received_bytes_ -= std::exchange(connection.answer_bytes, 0);
  const std::string part = connection.parser.TakeBody();
  if (!part.empty()) answer_part_.emit(*connection.attempt, part);
}

void ServerConnections::OfferStream(ServerConnection& connection) {
  connection.mode = ServerConnection::Mode::kWhole;
  http1::Response head = connection.parser.PartialHead();
  if (Match(connection, head) == AnswerMatch::kMatches) {
    answer_started_.emit(*connection.attempt, head);
  }
}

ServerConnection* ServerConnections::FindByAttempt(AttemptId attempt) {
  const auto it = connection_of_attempt_.find(attempt);
  return it == connection_of_attempt_.end() ? nullptr
                                            : connections_.at(it->second).get();
}

void ServerConnections::Stream(AttemptId attempt) {
  if (auto* it = FindByAttempt(attempt)) {
    it->mode = ServerConnection::Mode::kParts;
  }
}

void ServerConnections::SetPaused(AttemptId attempt, bool is_paused) {
  const auto* it = FindByAttempt(attempt);
  if (it == nullptr) return;
  if (is_paused) {
    bufferevent_disable(it->bev, EV_READ);
  } else {
    bufferevent_enable(it->bev, EV_READ);
  }
}

AnswerMatch ServerConnections::Match(const ServerConnection& connection,
                                     const http1::Response& response) const {
  const AnswerMatch match = matches_request_(response, connection.request_id);
  // On a new connection, no other request can be meant.
  const bool is_certain = connection.is_instance ||
                          connection.request_id.empty() ||
                          connection.earlier_ids.empty();
  return match == AnswerMatch::kUnnamed && is_certain ? AnswerMatch::kMatches
                                                      : match;
}

void ServerConnections::HandleAnswer(ServerConnection& connection,
                                     std::vector<http1::Response>& responses,
                                     bool is_intact) {
  const auto it = std::ranges::find_if(responses, [&](const auto& response) {
    return Match(connection, response) != AnswerMatch::kOther;
  });
  if (it == responses.end()) return;
  if (Match(connection, *it) == AnswerMatch::kUnnamed) {
    Fail(connection, AttemptFailure::kTruncated);
    return;
  }
  http1::Response response = std::move(*it);
  connection.earlier_ids.push_back(HashOf(connection.request_id));
  if (connection.earlier_ids.size() > kMaxEarlierIds) {
    connection.earlier_ids.pop_front();
  }
  const AttemptId attempt = *std::exchange(connection.attempt, std::nullopt);
  connection_of_attempt_.erase(attempt);
  received_bytes_ -= std::exchange(connection.answer_bytes, 0);
  // If the answer came early, the rest of the request is still being sent.
  const bool is_reusable =
      is_intact && responses.size() == 1 && response.keep_alive &&
      !connection.parser.in_message() && UnsentBytes(connection) == 0;
  if (is_reusable) {
    // The end of an idle connection must be noticed, also after a pause.
    bufferevent_enable(connection.bev, EV_READ);
    KeepOrClose(connection, IdleTimeoutOf(response));
  } else {
    Close(connection.id);
  }
  answer_.emit(attempt, response);
}

}  // namespace ibisladder::gateway
