#ifndef LIBS_GATEWAY_ENDED_ENTRIES_H_
#define LIBS_GATEWAY_ENDED_ENTRIES_H_

#include <map>
#include <optional>
#include <span>
#include <string>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/gateway/configuration.h"
#include "libs/gateway/directory.h"

/// Remembers servers and instances that have left. A store that is restored
/// from an older copy lists them as they were, until the leaving is written
/// again.
namespace ibisladder::gateway {

struct EndedServer {
  /// Start of the incarnation that has left.
  std::int64_t started_ms = 0;
  /// It has announced that it leaves; otherwise its entry was just removed.
  bool was_draining = false;
  TimePoint ended_at;
};

struct EndedMember {
  Incarnation incarnation;
  TimePoint ended_at;
};

struct EndedEntries {
  /// By name.
  std::map<std::string, EndedServer> servers;
  std::map<std::string, EndedMember> members;
  /// Until then, the store's lists may be outdated; none if they are not.
  std::optional<TimePoint> doubted_until;
};

/// Record which servers and instances have left between two lists. Those of
/// servers are in the order of the names.
void RecordServerEnds(EndedEntries& ended, std::span<const ServerEntry> before,
                      std::span<const ServerEntry> after, TimePoint now);
void RecordMemberEnds(EndedEntries& ended, std::span<const Member> before,
                      std::span<const Member> after, TimePoint now);

/// The store was restored from an older copy.
void BeginDoubt(EndedEntries& ended, TimePoint now);
/// Returns whether the store's lists count as they are from now on; true only
/// once after BeginDoubt.
bool TakeDoubtEnd(EndedEntries& ended, TimePoint now);
bool IsDoubted(const EndedEntries& ended, TimePoint now);

/// Record that an entry was written since the store was restored. A server that
/// has announced its leaving stays ended.
void RecordWritten(EndedEntries& ended, const ServerEntry& entry);
void RecordWritten(EndedEntries& ended, const Member& member);

/// Keep what has ended from coming back while the lists are doubted: replace
/// such entries in `listed` by those in `known`, or remove them.
void KeepServerEnds(const EndedEntries& ended,
                    const std::map<std::string, ServerEntry>& known,
                    std::map<std::string, ServerEntry>& listed, TimePoint now);
void KeepMemberEnds(const EndedEntries& ended,
                    const std::map<std::string, Member>& known,
                    std::map<std::string, Member>& listed, TimePoint now);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_ENDED_ENTRIES_H_
