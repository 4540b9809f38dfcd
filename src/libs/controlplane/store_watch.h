#ifndef LIBS_CONTROLPLANE_STORE_WATCH_H_
#define LIBS_CONTROLPLANE_STORE_WATCH_H_

#include "libs/controlplane/messages.h"

/// Reads from the platform. A few instances of each availability zone, the
/// readers, watch the head's key and read the instance list often. The others
/// get the configuration from peers and read the list rarely.
namespace ibisladder::controlplane {

struct Context;

struct StoreWatchState {
  bool is_reader = false;
  bool is_watching = false;
  TimePoint next_watch;
  /// Revision of the head as last read; 0 before the first read, when the head
  /// does not exist, and to have it read again.
  Revision revision;
  /// Time for which an instance that is no reader must have been behind before
  /// it reads the store itself.
  Duration store_read_delay{};
  bool is_listing = false;
  TimePoint list_deadline;
  TimePoint next_list;
  bool has_list = false;
  /// Whether the last read of the list succeeded.
  bool list_ok = false;
};

/// Decides whether this instance is a reader: one of the first few live members
/// of its availability zone in the order of a hash, and not leaving. The first
/// call also draws `store_read_delay`.
void UpdateReader(Context& context);
/// Starts a watch of the head and a read of the list when they are due.
void ReadPlatform(Context& context);
/// Handles the reply to a watch.
void ReceiveHead(Context& context, const StoreReplied& reply);
/// Takes over a list that was read, and records the servers that leave.
void ReceiveList(Context& context, const ListReplied& reply);

/// Whether the members may be regarded as complete after the start.
bool HasAllMembers(const Context& context);

/// Whether this instance may watch the head and read chunks in the store now.
/// Operators' changes read the head regardless.
bool MayReadStore(const Context& context);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_STORE_WATCH_H_
