#include "plugins/operators/pending_procedures.h"

#include <utility>

namespace ibisladder::operators {
namespace {

/// Longer than a change takes if all its calls to the store time out.
constexpr Duration kProcedureLimit = Seconds(20);

}  // namespace

std::uint64_t PendingProcedures::Add(PendingProcedure procedure) {
  pending_[++last_number_] = std::move(procedure);
  return last_number_;
}

PendingProcedure* PendingProcedures::Find(std::uint64_t procedure) {
  const auto it = pending_.find(procedure);
  return it == pending_.end() ? nullptr : &it->second;
}

std::optional<PendingProcedure> PendingProcedures::Take(
    std::uint64_t procedure) {
  auto node = pending_.extract(procedure);
  if (node.empty()) return std::nullopt;
  return std::move(node.mapped());
}

std::vector<std::uint64_t> PendingProcedures::Expired(TimePoint now) const {
  std::vector<std::uint64_t> result;
  for (const auto& [procedure, it] : pending_) {
    if (now - it.since > kProcedureLimit) result.push_back(procedure);
  }
  return result;
}

}  // namespace ibisladder::operators
