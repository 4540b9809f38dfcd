#include "plugins/gateway/connection_guard.h"

#include <algorithm>

#include "plugins/gateway/caller_connections.h"

namespace ibisladder::gateway {
namespace {

constexpr Duration kLogInterval = Seconds(10);
constexpr std::size_t kMaxAddresses = 256;

}  // namespace

const char* ReasonName(GuardReason reason) {
  switch (reason) {
    case GuardReason::kMemory:
      return "memory";
    case GuardReason::kNoBody:
      return "no_body";
    case GuardReason::kSlowRequest:
      return "slow_request";
    case GuardReason::kSlowReader:
      return "slow_reader";
    case GuardReason::kDescriptors:
      return "descriptors";
  }
  return "";
}

void ConnectionGuard::Add(CallerConnections* connections) {
  connections_.push_back(connections);
}

void ConnectionGuard::Remove(CallerConnections* connections) {
  std::erase(connections_, connections);
}

void ConnectionGuard::Count(GuardReason reason, const std::string& address) {
  ++counts_[static_cast<std::size_t>(reason)];
  if (by_address_.size() < kMaxAddresses || by_address_.contains(address)) {
    ++by_address_[address];
  }
}

void ConnectionGuard::Reclaim(TimePoint now) {
  if (!memory::IsExceeded(budget_)) return;
  struct Candidate {
    CallerConnections* connections;
    std::uint64_t id;
  };
  std::vector<Candidate> candidates;
  std::vector<memory::Holder> holders;
  for (CallerConnections* it : connections_) {
    for (auto& [id, holder] : it->Holders(now)) {
      candidates.push_back({it, id});
      holders.push_back(std::move(holder));
    }
  }
  const auto chosen = memory::ChooseToClose(holders, memory::Excess(budget_));
  for (const std::size_t i : chosen) {
    Count(GuardReason::kMemory, holders[i].address);
    candidates[i].connections->Release(candidates[i].id);
  }
}

void ConnectionGuard::Sweep(TimePoint now) {
  if (counts_ == logged_ || now - logged_at_ < kLogInterval) return;
  LogLine line{LogEvent::kClientsLimited, {}};
  for (std::size_t i = 0; i < kGuardReasons; ++i) {
    line.fields.push_back({ReasonName(static_cast<GuardReason>(i)),
                           std::to_string(counts_[i] - logged_[i])});
  }
  const auto most = std::ranges::max_element(
      by_address_, {}, [](const auto& it) { return it.second; });
  if (most != by_address_.end()) {
    line.fields.push_back({"address", most->first});
    line.fields.push_back({"of_address", std::to_string(most->second)});
  }
  line.fields.push_back({"held", std::to_string(budget_.used)});
  line.fields.push_back({"budget", std::to_string(budget_.capacity)});
  logged_ = counts_;
  logged_at_ = now;
  by_address_.clear();
  log_.emit(line);
}

}  // namespace ibisladder::gateway
