#ifndef REVIEW_STANDINS_2_BACKEND_H_
#define REVIEW_STANDINS_2_BACKEND_H_

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

/// How a backend answers a request that it has run.
struct Answer {
  int status = 200;
  std::string body = "done";
  /// Time that the work takes.
  Millis work{0};
  /// One byte of the head is wrong: a blank in a field's name.
  bool is_spoilt = false;
  /// The answer breaks off after so many bytes, with a reset; 0: it doesn't.
  std::size_t breaks_after = 0;
};

/// One request that a backend has read completely and begun to work on.
struct Run {
  std::string id;
  std::string backend;
  std::string method;
  std::string target;
  std::size_t body_bytes = 0;
  Clock::time_point at;
  /// When the work ended, also because the connection did.
  Clock::time_point ended_at;
  bool was_dropped = false;
  /// X-Deadline-Ms as it was received; -1 without it.
  std::int64_t deadline_ms = -1;
};

/// Stand-in for a backend server, with a thread per connection and slots for
/// the requests that run at once.
class Backend {
 public:
  using Work = std::function<Answer(const Message&)>;

  Backend(std::string name, const Address& address, int slots, Work work,
          Record& record);
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  /// From now on, all answers say that the server leaves.
  void SetLeaving() { is_leaving_ = true; }
  std::vector<Run> Runs() const;
  const std::string& name() const { return name_; }
  const Address& address() const { return address_; }
  /// Value of the server's entry in the store.
  std::string Entry(const std::string& service, const std::string& zone,
                    const std::string& state) const;

 private:
  void Accept();
  void Serve(Socket socket);
  bool Respond(const Socket& socket, const Message& request);
  /// Waits until `time` has passed; returns false if the connection ended.
  bool Wait(const Socket& socket, Clock::time_point until) const;
  bool TakeSlot(const Socket& socket, Clock::time_point until);
  Headers FieldsFor(const Message& request) const;

  std::string name_;
  Address address_;
  int slots_;
  Work work_;
  Record& record_;
  int fd_ = -1;
  std::atomic<bool> ends_ = false;
  std::atomic<bool> is_leaving_ = false;
  std::atomic<int> running_ = 0;
  std::atomic<int> waiting_ = 0;
  mutable std::mutex mutex_;
  std::list<Run> runs_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_BACKEND_H_
