#ifndef LIBS_INSTANCE_INSTANCE_H_
#define LIBS_INSTANCE_INSTANCE_H_

#include <optional>
#include <variant>
#include <vector>

#include "libs/callerpath/caller_path.h"
#include "libs/controlplane/control_plane.h"

/// The complete logic of one instance as a single step function, for tests and
/// benchmarks in virtual time.
///
/// Messages between the caller path and the control plane are passed on
/// internally; the daemon does the same with messages between its tasks. All
/// other events and actions are exchanged with the outside: callers, backend
/// servers, peers, the platform and operators.
namespace ibisladder::instance {

struct InstanceSettings {
  callerpath::CallerPathSettings path;
  controlplane::ControlPlaneSettings control;
};

// Events for both parts.

/// To be fed at least every 10 ms.
struct Tick {};
struct StopRequested {};
struct DrainChanged {
  bool drained = false;
};

/// An event for one part or for both. The events that the parts exchange
/// (configuration, fleet, peer evidence, servers that leave, eras) need not be
/// fed.
using Event = std::variant<callerpath::Event, controlplane::Event, Tick,
                           StopRequested, DrainChanged>;
/// Never an action that is only meant for the other part.
using Action = std::variant<callerpath::Action, controlplane::Action>;
using Actions = std::vector<Action>;

struct Instance {
  callerpath::CallerPathPtr path;
  controlplane::ControlPlanePtr control;
  /// Last era announced to the control plane.
  std::optional<Era> announced_era;
};

Instance MakeInstance(const InstanceSettings& settings, TimePoint now);

/// Processes one event and returns the resulting actions.
Actions Step(Instance& instance, const Event& event, TimePoint now,
             Random& random);

}  // namespace ibisladder::instance

#endif  // LIBS_INSTANCE_INSTANCE_H_
