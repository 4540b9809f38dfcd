#ifndef LIBS_GATEWAY_LIST_UPDATES_H_
#define LIBS_GATEWAY_LIST_UPDATES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "libs/gateway/configuration.h"
#include "libs/gateway/directory.h"

/// Lists of servers and instances, as one instance reads them from the store
/// and tells the others.
namespace ibisladder::gateway {

struct SharedLists {
  /// By name.
  std::map<std::string, ServerEntry> servers;
  std::map<std::string, Member> members;
};

/// Equal for lists that say the same.
std::uint64_t DigestOf(const SharedLists& lists);

/// What one datagram tells: recent changes, and what comes of them.
struct ListUpdate {
  std::string sender;
  std::vector<ServerEntry> servers;
  std::vector<std::string> removed_servers;
  std::vector<Member> members;
  std::vector<std::string> removed_members;
  std::uint64_t digest = 0;
  /// In force at the sender.
  ConfigVersion configuration;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, servers, removed_servers, members, removed_members, digest,
            configuration);
  }
};

/// What was told when: changes are repeated for a while, since datagrams get
/// lost.
struct UpdateLog {
  SharedLists announced;
  std::map<std::string, TimePoint> server_changes;
  std::map<std::string, TimePoint> member_changes;
  TimePoint announced_at;
};

/// Begins to tell: what is known by then is no change. A list from before an
/// absence would bring back what has left meanwhile.
UpdateLog StartUpdateLog(const SharedLists& lists);
/// Whether news should be sent now: something has changed, or it is time to
/// say that nothing has.
bool IsUpdateDue(const UpdateLog& log, const SharedLists& lists, TimePoint now);
ListUpdate MakeUpdate(UpdateLog& log, const SharedLists& lists, TimePoint now);
/// Takes news over; false when the lists then differ from the sender's.
bool ApplyUpdate(SharedLists& lists, const ListUpdate& update);

/// Who reads the lists from the store: in each zone the first instance, by a
/// hash of the names, that still tells news; the others follow in turn when it
/// is silent.
struct WatchDuty {
  std::string self;
  ZoneName zone;
  TimePoint started_at;
  /// When the news of each instance of the zone last came.
  std::map<std::string, TimePoint> last_updates;
};

void RecordUpdate(WatchDuty& duty, const std::string& sender, TimePoint now);
bool MustWatch(const WatchDuty& duty, const SharedLists& lists, TimePoint now);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_LIST_UPDATES_H_
