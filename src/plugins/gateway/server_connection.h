#ifndef PLUGINS_GATEWAY_SERVER_CONNECTION_H_
#define PLUGINS_GATEWAY_SERVER_CONNECTION_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "libs/http1/message_parser.h"
#include "plugins/gateway/server_connections.h"

/// State of one connection to a server; internal to ServerConnections.
namespace ibisladder::gateway {

namespace Internal {

struct ServerConnection {
  ServerConnection(ServerConnections* owner, std::uint64_t number,
                   bufferevent* socket, const http1::Limits& limits)
      : connections(owner),
        id(number),
        bev(socket),
        parser(http1::ResponseParser::Create(limits)) {}
  ~ServerConnection() { bufferevent_free(bev); }
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  ServerConnections* connections;
  std::uint64_t id;
  bufferevent* bev;
  http1::ResponseParser parser;
  BackendServerId server;
  bool is_connected = false;
  /// Being opened without a request.
  bool is_spare = false;
  TimePoint opened_at;
  /// Empty while the connection is idle.
  std::optional<AttemptId> attempt;
  std::string request_id;
  bool is_instance = false;
  /// Hashes of the IDs of earlier requests on this connection, latest last.
  std::deque<std::size_t> earlier_ids;
  std::size_t request_bytes = 0;
  /// Read since the request was sent.
  std::size_t answer_bytes = 0;
  /// How the answer is received: not decided, as a whole, or in parts.
  enum class Mode : std::uint8_t { kUndecided, kWhole, kParts };
  Mode mode = Mode::kUndecided;
  TimePoint idle_since;
  Duration idle_timeout{};
};

inline std::size_t HashOf(const std::string& request_id) {
  return std::hash<std::string>()(request_id);
}

inline std::size_t UnsentBytes(const ServerConnection& connection) {
  return evbuffer_get_length(bufferevent_get_output(connection.bev));
}

}  // namespace Internal

}  // namespace ibisladder::gateway

#endif  // PLUGINS_GATEWAY_SERVER_CONNECTION_H_
