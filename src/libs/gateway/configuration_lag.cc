#include "libs/gateway/configuration_lag.h"

#include <algorithm>

namespace ibisladder::gateway {
namespace {

/// Time in which the watch usually returns a version that others announce.
constexpr Duration kFirstRead = Millis(350);
/// Limits the doubling of the time between two reads.
constexpr Duration kMaxReadInterval = Seconds(5);
constexpr Duration kDisprovedTime = Seconds(5);

}  // namespace

bool RecordAnnouncement(ConfigurationLag& lag, ConfigVersion version,
                        const std::string& sender, TimePoint now) {
  if (version <= HighestKnown(lag)) return false;
  if (version == lag.disproved && now < lag.disproved_until) return false;
  lag.announced = version;
  lag.announced_by = sender;
  lag.announced_at = now;
  if (lag.behind_since) return true;
  lag.behind_since = now;
  lag.read_interval = kFirstRead;
  lag.next_read_at = now + kFirstRead;
  return true;
}

void RecordInstalled(ConfigurationLag& lag, ConfigVersion version,
                     TimePoint now) {
  if (version <= lag.installed) return;
  lag.installed = version;
  lag.installed_at = now;
  if (lag.announced <= version) lag.behind_since.reset();
}

bool RecordRead(ConfigurationLag& lag, TimePoint sent_at, TimePoint now) {
  if (!lag.behind_since || sent_at < lag.announced_at) return false;
  lag.disproved = lag.announced;
  lag.disproved_until = now + kDisprovedTime;
  lag.announced = lag.installed;
  lag.behind_since.reset();
  return true;
}

bool TakeDueRead(ConfigurationLag& lag, TimePoint now) {
  if (!lag.behind_since || now < lag.next_read_at) return false;
  lag.read_interval = std::min(2 * lag.read_interval, kMaxReadInterval);
  lag.next_read_at = now + lag.read_interval;
  return true;
}

ConfigVersion HighestKnown(const ConfigurationLag& lag) {
  return std::max(lag.installed, lag.announced);
}

bool MustTell(const ConfigurationLag& lag, ConfigVersion version,
              TimePoint now) {
  return version < lag.installed && now - lag.installed_at >= kFirstRead;
}

Duration BehindFor(const ConfigurationLag& lag, TimePoint now) {
  return lag.behind_since ? now - *lag.behind_since : Duration::zero();
}

}  // namespace ibisladder::gateway
