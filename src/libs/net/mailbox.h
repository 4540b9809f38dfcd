#ifndef LIBS_NET_MAILBOX_H_
#define LIBS_NET_MAILBOX_H_

#include <event2/event.h>
#include <sigc++/sigc++.h>

#include <mutex>
#include <utility>
#include <vector>

#include "libs/net/event_loop.h"

namespace ibisladder::net {

/// Message queue of one task. Any thread may send; the task's own thread
/// receives the messages in order.
template <typename Message>
class Mailbox {
 public:
  explicit Mailbox(EventLoop& loop)
      : event_(event_new(loop.base(), -1, EV_PERSIST, &Mailbox::OnWake, this)) {
    event_add(event_.get(), nullptr);
  }

  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// May be called from any thread.
  void Send(Message message) {
    bool was_empty = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      was_empty = queue_.empty();
      queue_.push_back(std::move(message));
    }
    if (was_empty) event_active(event_.get(), EV_READ, 0);
  }

  /// Emitted for each message, in the task's thread.
  sigc::signal<void(Message&)>& signal_received() { return received_; }

 private:
  static void OnWake(evutil_socket_t /*fd*/, short /*what*/,  // NOLINT
                     void* self) {
    static_cast<Mailbox*>(self)->Deliver();
  }

  void Deliver() {
    std::vector<Message> batch;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      batch.swap(queue_);
    }
    for (auto& it : batch) received_.emit(it);
  }

  std::mutex mutex_;
  std::vector<Message> queue_;
  sigc::signal<void(Message&)> received_;
  EventPtr event_;
};

}  // namespace ibisladder::net

#endif  // LIBS_NET_MAILBOX_H_
