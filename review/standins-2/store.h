#ifndef REVIEW_STANDINS_2_STORE_H_
#define REVIEW_STANDINS_2_STORE_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace review {

/// Stand-in for the platform's store, with a thread per connection.
class Store {
 public:
  explicit Store(const Address& address);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// While it is silent, calls are not executed and get no answer, and waiting
  /// watches are cut off.
  void SetSilent(bool is_silent) { is_silent_ = is_silent; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
  };
  struct Reply {
    int status = 200;
    std::string body;
  };

  void Accept();
  void Serve(Socket socket);
  Reply Handle(const Message& request);
  Reply HandleRange(const std::string& target);
  Reply HandleKey(const std::string& target);
  Reply HandleWatch(const std::string& target);
  Reply HandleTransaction(const std::string& body);
  Reply HandleLease(const Message& request);
  void PutLocked(const std::string& key, const std::string& value,
                 std::uint64_t lease);
  void RemoveLocked(const std::string& key);
  void EndLeaseLocked(std::uint64_t lease);
  void ExpireLeasesLocked();

  int fd_ = -1;
  std::atomic<bool> ends_ = false;
  std::atomic<bool> is_silent_ = false;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 10;
  std::uint64_t last_lease_ = 100;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  struct Lease {
    Clock::time_point until;
    Clock::duration time{};
  };
  std::map<std::uint64_t, Lease> leases_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_STORE_H_
