#include "libs/gateway/configuration.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace ibisladder::gateway {

const char* EffectName(ProblemEffect effect) {
  switch (effect) {
    case ProblemEffect::kAtMostOnce:
      return "at_most_once";
    case ProblemEffect::kRouteRefused:
      return "route_refused";
    case ProblemEffect::kLeftOut:
      return "left_out";
    case ProblemEffect::kDefaultUsed:
      return "default_used";
  }
  return "unknown";
}

void AddProblem(ConfigurationProblems& problems, ConfigurationProblem problem) {
  ++problems.counts[static_cast<std::size_t>(problem.effect)];
  if (problems.first.size() < ConfigurationProblems::kMaxKept) {
    problems.first.push_back(std::move(problem));
  }
}

void AddProblems(ConfigurationProblems& problems,
                 const ConfigurationProblems& part) {
  for (std::size_t i = 0; i < kProblemEffects; ++i) {
    problems.counts[i] += part.counts[i];
  }
  for (const auto& it : part.first) {
    if (problems.first.size() >= ConfigurationProblems::kMaxKept) return;
    problems.first.push_back(it);
  }
}

std::size_t CountOf(const ConfigurationProblems& problems,
                    ProblemEffect effect) {
  return problems.counts[static_cast<std::size_t>(effect)];
}

std::size_t CountAll(const ConfigurationProblems& problems) {
  return std::accumulate(problems.counts.begin(), problems.counts.end(),
                         std::size_t{0});
}

BackendServerId IdOf(const ServerEntry& entry) {
  return MakeBackendServerId(
      entry.service, entry.name + "@" + std::to_string(entry.started_ms));
}

bool EqualExceptWarmUp(const ServerEntry& a, const ServerEntry& b) {
  ServerEntry same = b;
  same.warm_up_left = a.warm_up_left;
  return a == same;
}

}  // namespace ibisladder::gateway
