#ifndef LIBS_CONTROLPLANE_STORE_WATCH_H_
#define LIBS_CONTROLPLANE_STORE_WATCH_H_

#include "libs/controlplane/messages.h"

/// Reading from the platform: a few instances of each availability zone watch
/// the head's key and read the list often; the others hear of it from peers.
namespace ibisladder::controlplane {

struct Context;

struct StoreWatchState {
  bool is_reader = false;
  bool is_watching = false;
  TimePoint next_watch;
  /// Revision of the head that was last seen.
  Revision revision;
  /// An instance that is no reader reads the store itself when it has been
  /// behind for so long.
  Duration store_read_delay{};
  bool is_listing = false;
  TimePoint list_deadline;
  TimePoint next_list;
  bool has_list = false;
  /// Whether the last read of the list succeeded.
  bool list_ok = false;
};

/// Chooses whether this instance is a reader now: a rendezvous over the live
/// members of its availability zone.
void UpdateReader(Context& context);
/// Starts a watch and a read of the list when they are due.
void ReadPlatform(Context& context);
void ReceiveHead(Context& context, const StoreReplied& reply);
void ReceiveList(Context& context, const ListReplied& reply);

/// Whether this instance may read configuration from the store now.
bool MayReadStore(const Context& context);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_STORE_WATCH_H_
