#ifndef LIBS_GATEWAY_LIST_UPDATES_H_
#define LIBS_GATEWAY_LIST_UPDATES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "libs/gateway/configuration.h"
#include "libs/gateway/directory.h"

/// Synchronizes the lists of servers and instances: one instance of a zone
/// reads them from the store and sends the changes to the others.
namespace ibisladder::gateway {

struct SharedLists {
  /// By name.
  std::map<std::string, ServerEntry> servers;
  std::map<std::string, Member> members;
};

/// Returns a hash that is equal for equal lists. Of servers it leaves out zone
/// and warm-up time, of members all but name and incarnation.
std::uint64_t HashOf(const SharedLists& lists);

/// Content of one datagram: the recent changes, and the hash of the lists
/// that result from them.
struct ListUpdate {
  std::string sender;
  std::vector<ServerEntry> servers;
  std::vector<std::string> removed_servers;
  std::vector<Member> members;
  std::vector<std::string> removed_members;
  std::uint64_t lists_hash = 0;
  /// Highest version that the sender knows of.
  ConfigVersion configuration;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, servers, removed_servers, members, removed_members,
            lists_hash, configuration);
  }
};

/// The lists as last announced, and the times of recent changes. Changes are
/// repeated for a while, since datagrams may get lost.
struct UpdateLog {
  SharedLists announced;
  std::map<std::string, TimePoint> server_changes;
  std::map<std::string, TimePoint> member_changes;
  TimePoint announced_at;
};

/// Returns a log for an instance that starts to send updates. `before`: what it
/// knew from others, or announced last. Of the differences, those servers are
/// announced that leave or are gone. Others are not: if this instance was away,
/// they may contain entries that were removed meanwhile, and receivers would
/// add them again.
UpdateLog StartUpdateLog(const SharedLists& before, const SharedLists& lists);
/// Returns whether an update should be sent now: the lists' hash has changed,
/// or a heartbeat is due. A heartbeat repeats recent changes.
bool IsUpdateDue(const UpdateLog& log, const SharedLists& lists, TimePoint now);
/// Returns the update to send now, and records it in `log`. The caller sets the
/// sender and the configuration's version.
ListUpdate MakeUpdate(UpdateLog& log, const SharedLists& lists, TimePoint now);
/// Applies an update. Returns false if the lists' hash still differs from the
/// sender's.
bool ApplyUpdate(SharedLists& lists, const ListUpdate& update);

/// State for deciding which instances watch the store's lists. In each zone
/// the first instance by a hash of the names watches at all times after its
/// startup. The others watch while no updates of earlier ones arrive, later
/// ones after a longer wait.
struct WatchDuty {
  std::string self;
  ZoneName zone;
  TimePoint started_at;
  /// When the last update of each instance arrived. Updates are sent only
  /// within a zone.
  std::map<std::string, TimePoint> last_updates;
};

/// Returns the members of `zone` that watch before all others of it, at most
/// `n`, in their order.
std::vector<Member> FirstWatchers(const SharedLists& lists,
                                  const ZoneName& zone, std::size_t n);

/// Records that an update of `sender` has arrived.
void RecordUpdate(WatchDuty& duty, const std::string& sender, TimePoint now);
/// Returns whether this instance must watch the store's lists. No instance
/// watches just after its start.
bool MustWatch(const WatchDuty& duty, const SharedLists& lists, TimePoint now);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_LIST_UPDATES_H_
