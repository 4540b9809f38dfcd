#ifndef LIBS_GATEWAY_CONFIGURATION_LAG_H_
#define LIBS_GATEWAY_CONFIGURATION_LAG_H_

#include <optional>
#include <string>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// What an instance knows of configurations that are newer than its own, from
/// the versions that other instances announce.
namespace ibisladder::gateway {

struct ConfigurationLag {
  ConfigVersion installed;
  TimePoint installed_at;
  /// Highest version that was announced, if it is above `installed`.
  ConfigVersion announced;
  std::string announced_by;
  TimePoint announced_at;
  /// Since when a higher version than the installed one has been announced.
  std::optional<TimePoint> behind_since;
  TimePoint next_read_at;
  Duration read_interval{};
  /// Version that was announced although the store does not contain it, and
  /// until when its announcements are ignored.
  ConfigVersion disproved;
  TimePoint disproved_until;
};

/// Records that `sender` knows `version`. Returns whether it is higher than all
/// versions known before.
bool RecordAnnouncement(ConfigurationLag& lag, ConfigVersion version,
                        const std::string& sender, TimePoint now);
void RecordInstalled(ConfigurationLag& lag, ConfigVersion version,
                     TimePoint now);
/// Records that the store's configuration was read completely by a call that
/// was sent at `sent_at`, and installed if it was newer. Drops a version that
/// was announced before that call and that the store does not contain; returns
/// whether it did.
bool RecordRead(ConfigurationLag& lag, TimePoint sent_at, TimePoint now);
/// Returns whether the configuration should be read from the store, because the
/// watch has not returned the announced version in time. The next read is due
/// after a longer time.
bool TakeDueRead(ConfigurationLag& lag, TimePoint now);

/// Returns the highest version known, installed or announced.
ConfigVersion HighestKnown(const ConfigurationLag& lag);
/// Returns whether a peer that knows only `version` should be told the
/// installed one. For a short time after it was installed, the peer may still
/// get it by itself.
bool MustTell(const ConfigurationLag& lag, ConfigVersion version,
              TimePoint now);
/// Returns how long a higher version than the installed one has been known;
/// zero if none is.
Duration BehindFor(const ConfigurationLag& lag, TimePoint now);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_CONFIGURATION_LAG_H_
