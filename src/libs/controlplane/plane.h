#ifndef LIBS_CONTROLPLANE_PLANE_H_
#define LIBS_CONTROLPLANE_PLANE_H_

#include <initializer_list>
#include <string>

#include "libs/controlplane/config_apply.h"
#include "libs/controlplane/config_fetch.h"
#include "libs/controlplane/control_plane.h"
#include "libs/controlplane/document.h"
#include "libs/controlplane/exchanges.h"
#include "libs/controlplane/heartbeats.h"
#include "libs/controlplane/leaving_servers.h"
#include "libs/controlplane/membership.h"
#include "libs/controlplane/store_watch.h"

/// The state of the control plane and the context that its handlers get in one
/// step. Internal to the library.
namespace ibisladder::controlplane {

struct ControlPlane {
  ControlPlaneSettings settings;
  /// Hash of the fleet's name.
  std::uint64_t fleet = 0;
  TimePoint started_at;
  TimePoint next_review;
  bool stopping = false;
  bool drained = false;
  Membership membership;
  Heartbeats heartbeats;
  LeavingServers leaving_servers;
  Exchanges exchanges;
  StoreWatchState watch;
  FetchState fetch;
  ApplyState apply;
  /// The installed version; null until there is one.
  DocumentPtr document;
  ControlCounters counters;
};

/// Context of one step: the state, the time, the random generator and the
/// actions so far.
struct Context {
  ControlPlane& plane;
  TimePoint now;
  Random& random;
  Actions& actions;
};

inline ConfigVersion InstalledVersion(const ControlPlane& plane) {
  return plane.document ? plane.document->head.version : ConfigVersion();
}

inline void Log(Context& context, LogEvent event,
                std::initializer_list<LogField> fields) {
  context.actions.push_back(WriteLog{{event, fields}});
}

template <typename Tag, typename Rep>
std::string Text(const Strong<Tag, Rep>& value) {
  return std::to_string(value.value());
}

/// Returns a uniform random value in [duration / 2, duration], so that
/// instances do not act at the same time.
inline Duration Jittered(Duration duration, Random& random) {
  const auto half = static_cast<std::uint64_t>(duration.count() / 2);
  return duration / 2 +
         Duration(static_cast<std::int64_t>(UniformBelow(random, half + 1)));
}

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_PLANE_H_
