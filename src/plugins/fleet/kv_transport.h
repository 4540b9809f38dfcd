#ifndef PLUGINS_FLEET_KV_TRANSPORT_H_
#define PLUGINS_FLEET_KV_TRANSPORT_H_

#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <optional>

#include "libs/storesync/kv_messages.h"

namespace ibisladder::fleet {

/// Sends calls to the store. Each call gets exactly one reply unless it is
/// cancelled. Replies are never emitted from within Send.
class KvTransport {
 public:
  virtual ~KvTransport() = default;

  virtual void Send(std::uint64_t id, const storesync::Call& call) = 0;
  /// Drops an open call, so that its reply uses the link no longer.
  virtual void Cancel(std::uint64_t id) = 0;
  /// Returns how many bytes of the reply to an open call have arrived.
  virtual std::size_t ReceivedBytes(std::uint64_t id) const = 0;

  /// The last argument is the store's era when it replied; none if there was no
  /// reply or the store names none.
  sigc::signal<void(std::uint64_t, const storesync::Reply&,
                    std::optional<storesync::StoreEra>)>&
  signal_reply() {
    return reply_;
  }

 private:
  sigc::signal<void(std::uint64_t, const storesync::Reply&,
                    std::optional<storesync::StoreEra>)>
      reply_;
};

}  // namespace ibisladder::fleet

#endif  // PLUGINS_FLEET_KV_TRANSPORT_H_
