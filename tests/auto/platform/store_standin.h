#ifndef TESTS_AUTO_PLATFORM_STORE_STANDIN_H_
#define TESTS_AUTO_PLATFORM_STORE_STANDIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libs/net/http_server.h"

/// Stand-in for the platform's store on loopback, according to the store's
/// published protocol.
namespace ibisladder::platform {

class StoreStandin {
 public:
  enum class Mode { kServing, kBusy, kOverQuota, kHistoryLost };

  StoreStandin(net::EventLoop& loop, const Endpoint& endpoint);

  void Put(const std::string& key, const std::string& value,
           std::uint64_t lease = 0);
  void Remove(const std::string& key);
  std::uint64_t GrantLease();
  /// Also removes the lease's keys.
  void EndLease(std::uint64_t lease);
  /// Keeps a copy of the contents for Restore.
  void MakeCopy();
  /// Goes back to the copy and begins a new era. Open watches get no reply any
  /// more.
  void Restore();
  void set_mode(Mode mode) { mode_ = mode; }
  bool Has(const std::string& key) const {
    return contents_.items.contains(key);
  }
  std::size_t calls() const { return calls_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
  };
  struct Watch {
    std::uint64_t request = 0;
    std::string prefix;
    std::uint64_t after = 0;
    TimePoint until;
  };

  struct Contents {
    std::uint64_t revision = 10;
    std::uint64_t last_lease = 100;
    std::map<std::string, Item> items;
    std::map<std::uint64_t, bool> leases;
    std::vector<Event> events;
  };

  void Handle(const net::HttpRequest& request);
  void HandleRange(const net::HttpRequest& request);
  void HandleTransaction(const net::HttpRequest& request);
  void HandleLease(const net::HttpRequest& request);
  void AnswerWatches(bool is_tick);
  void Reply(std::uint64_t request, int status, const std::string& body);

  std::unique_ptr<net::HttpServer> server_;
  net::Timer tick_;
  Mode mode_ = Mode::kServing;
  std::size_t calls_ = 0;
  std::uint64_t era_ = 1;
  Contents contents_;
  Contents copy_;
  std::vector<Watch> watches_;
};

}  // namespace ibisladder::platform

#endif  // TESTS_AUTO_PLATFORM_STORE_STANDIN_H_
