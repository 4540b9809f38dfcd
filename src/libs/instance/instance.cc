#include "libs/instance/instance.h"

#include <utility>

namespace ibisladder::instance {
namespace {

/// Feeds events to the parts, passes messages between them and collects the
/// actions for the outside.
class Stepper {
 public:
  Stepper(Instance& instance, TimePoint now, Random& random)
      : instance_(instance), now_(now), random_(random) {}

  void Feed(const callerpath::Event& event) {
    auto actions = callerpath::Step(*instance_.path, event, now_, random_);
    for (auto& it : actions) HandleAction(std::move(it));
  }

  void Feed(const controlplane::Event& event) {
    auto actions = controlplane::Step(*instance_.control, event, now_, random_);
    for (auto& it : actions) HandleAction(std::move(it));
  }

  void Feed(const Tick& /*event*/) {
    Feed(callerpath::Event(callerpath::Tick{}));
    Feed(controlplane::Event(controlplane::Tick{}));
  }

  void Feed(const StopRequested& /*event*/) {
    Feed(callerpath::Event(callerpath::StopRequested{}));
    Feed(controlplane::Event(controlplane::StopRequested{}));
  }

  void Feed(const DrainChanged& event) {
    Feed(callerpath::Event(callerpath::DrainChanged{event.drained}));
    Feed(controlplane::Event(controlplane::DrainChanged{event.drained}));
  }

  void AnnounceEra() {
    const Era era = callerpath::CurrentEra(*instance_.path, now_);
    if (instance_.announced_era == era) return;
    instance_.announced_era = era;
    Feed(controlplane::Event(controlplane::EraAdvanced{era}));
  }

  Actions TakeActions() { return std::move(actions_); }

 private:
  void HandleAction(callerpath::Action action) {
    if (auto* it = std::get_if<callerpath::PublishServerUpdate>(&action)) {
      Feed(controlplane::Event(controlplane::ServerUpdateReady{
          std::move(it->digests), std::move(it->leaving)}));
      return;
    }
    actions_.emplace_back(std::move(action));
  }

  void HandleAction(controlplane::Action action) {
    if (auto* it = std::get_if<controlplane::InstallConfiguration>(&action)) {
      Feed(callerpath::Event(
          callerpath::ConfigurationInstalled{it->configuration}));
      return;
    }
    if (auto* it = std::get_if<controlplane::ReportFleet>(&action)) {
      Feed(callerpath::Event(std::move(it->fleet)));
      return;
    }
    if (auto* it = std::get_if<controlplane::ReportServersLeaving>(&action)) {
      Feed(callerpath::Event(
          callerpath::ServersLeaving{std::move(it->servers)}));
      return;
    }
    if (auto* it = std::get_if<controlplane::ReportEvidence>(&action)) {
      Feed(callerpath::Event(std::move(it->evidence)));
      return;
    }
    actions_.emplace_back(std::move(action));
  }

  Instance& instance_;
  TimePoint now_;
  Random& random_;
  Actions actions_;
};

}  // namespace

Instance MakeInstance(const InstanceSettings& settings, TimePoint now) {
  Instance instance;
  instance.path = callerpath::MakeCallerPath(settings.path, now);
  instance.control = controlplane::MakeControlPlane(settings.control, now);
  return instance;
}

Actions Step(Instance& instance, const Event& event, TimePoint now,
             Random& random) {
  Stepper stepper(instance, now, random);
  // The control plane must know a new era before this step sends anything to
  // peers.
  stepper.AnnounceEra();
  std::visit([&](const auto& it) { stepper.Feed(it); }, event);
  return stepper.TakeActions();
}

}  // namespace ibisladder::instance
