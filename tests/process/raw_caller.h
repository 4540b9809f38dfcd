#ifndef TESTS_PROCESS_RAW_CALLER_H_
#define TESTS_PROCESS_RAW_CALLER_H_

#include <event2/bufferevent.h>

#include <memory>
#include <string>

#include "libs/base/strong_types.h"
#include "libs/net/event_loop.h"

/// Callers that show an answer as it came over the wire.
namespace ibisladder::process {

/// Returns the value of a field; empty without it. `head` has no empty line at
/// its end, and the name is written as its sender writes it.
std::string FieldOf(const std::string& head, const std::string& name);
/// Returns the Content-Length; 0 without one.
std::size_t LengthOf(const std::string& head);

/// What a caller received on one connection, read independently of the
/// product's parser.
struct ReceivedAnswer {
  /// 0 without a status line.
  int status = 0;
  std::string head;
  /// Without the framing of chunks.
  std::string body;
  /// By its length or its last chunk.
  bool is_whole = false;
};

/// Reads an answer from all bytes that came on a connection.
ReceivedAnswer ReadAnswer(const std::string& bytes);

/// Sends bytes on a connection of its own and receives until it is closed.
class RawCaller {
 public:
  RawCaller(net::EventLoop& loop, const Endpoint& endpoint,
            const std::string& request);
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  bool has_ended() const { return has_ended_; }
  const std::string& received() const { return received_; }

 private:
  struct BufferDeleter {
    void operator()(bufferevent* it) const { bufferevent_free(it); }
  };

  static void OnReadable(bufferevent* bev, void* self);
  static void OnEvent(bufferevent* bev, short what, void* self);  // NOLINT

  std::string received_;
  bool has_ended_ = false;
  std::unique_ptr<bufferevent, BufferDeleter> bev_;
};

}  // namespace ibisladder::process

#endif  // TESTS_PROCESS_RAW_CALLER_H_
