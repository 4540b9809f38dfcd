#ifndef LIBS_INSTANCE_INSTANCE_H_
#define LIBS_INSTANCE_INSTANCE_H_

#include <optional>
#include <variant>
#include <vector>

#include "libs/callerpath/caller_path.h"
#include "libs/controlplane/control_plane.h"

/// All decisions of one instance in one step function, for tests and benches
/// in virtual time.
///
/// What the caller path and the control plane tell each other is passed on
/// inside; the daemon does the same with messages between its tasks. Everything
/// else comes from and goes to the outside: callers, backend servers, peers,
/// the platform and operators.
namespace ibisladder::instance {

struct InstanceSettings {
  callerpath::CallerPathSettings path;
  controlplane::ControlPlaneSettings control;
};

// Events that concern both parts.

/// At least every 10 ms.
struct Tick {};
struct StopRequested {};
struct DrainChanged {
  bool drained = false;
};

/// An event of one part is fed as it is. Those that the parts exchange
/// (configuration, fleet, news, evidence, eras) need not be.
using Event = std::variant<callerpath::Event, controlplane::Event, Tick,
                           StopRequested, DrainChanged>;
/// Never one that only tells the other part something.
using Action = std::variant<callerpath::Action, controlplane::Action>;
using Actions = std::vector<Action>;

struct Instance {
  callerpath::CallerPathPtr path;
  controlplane::ControlPlanePtr control;
  /// Era that the control plane was told last.
  std::optional<Era> announced_era;
};

Instance MakeInstance(const InstanceSettings& settings, TimePoint now);

/// The one command: feeds an event, returns what to do.
Actions Step(Instance& instance, const Event& event, TimePoint now,
             Random& random);

}  // namespace ibisladder::instance

#endif  // LIBS_INSTANCE_INSTANCE_H_
