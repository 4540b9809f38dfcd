#ifndef PLUGINS_CONTROL_PLATFORM_CLIENT_H_
#define PLUGINS_CONTROL_PLATFORM_CLIENT_H_

#include <sigc++/sigc++.h>

#include <string>
#include <unordered_map>

#include "libs/controlplane/messages.h"
#include "libs/net/http_client.h"

namespace ibisladder::control {

/// HTTP client for the platform's store and instance list. docs/PLATFORM.md
/// describes the interface.
class PlatformClient {
 public:
  PlatformClient(net::EventLoop& loop, Endpoint platform, Duration timeout);

  void Send(const controlplane::StoreRead& action);
  void Send(const controlplane::StoreWatch& action);
  void Send(const controlplane::StoreWrite& action);
  void Send(const controlplane::StoreDelete& action);
  void Send(const controlplane::ReadList& action);
  void CloseIdle(TimePoint now) { http_.CloseIdle(now); }

  sigc::signal<void(const controlplane::StoreReplied&)>& signal_store() {
    return store_;
  }
  sigc::signal<void(const controlplane::ListReplied&)>& signal_list() {
    return list_;
  }

 private:
  /// Purpose of an open HTTP call.
  struct OpenCall {
    bool is_list = false;
    controlplane::ExchangeId exchange;
  };

  net::HttpCall MakeCall(const OpenCall& open, std::string method,
                         std::string target);
  void OnAnswer(net::HttpAnswer& answer);
  void OnError(const net::HttpError& error);

  Endpoint platform_;
  Duration timeout_;
  net::HttpClient http_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, OpenCall> open_;
  sigc::signal<void(const controlplane::StoreReplied&)> store_;
  sigc::signal<void(const controlplane::ListReplied&)> list_;
};

/// Parses the JSON of the instance list. Entries that lack a valid required
/// field are left out. `ok` is false when the text is not a list, or when a
/// field has the wrong type.
controlplane::ListReplied ReadInstanceList(const std::string& json);

/// Translates an HTTP answer of the store. kStoreReplyInvalid for a value
/// without a revision, kStoreUnavailable for unexpected statuses.
controlplane::StoreReplied ReadStoreAnswer(controlplane::ExchangeId exchange,
                                           const net::HttpAnswer& answer);

}  // namespace ibisladder::control

#endif  // PLUGINS_CONTROL_PLATFORM_CLIENT_H_
