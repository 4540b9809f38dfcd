#include "libs/memory/memory_budget.h"

#include <algorithm>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace ibisladder::memory {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
constexpr std::size_t kDefaultMachineBytes = 160 * kMegabyte;
/// What the process needs itself: code, configuration, lists, connections.
constexpr std::size_t kOwnBytes = 40 * kMegabyte;
/// A body is in memory up to three more times while a request is encoded and
/// sent, and strings grow by doubling.
constexpr std::size_t kCopyFactor = 2;
constexpr std::size_t kMinCapacity = 8 * kMegabyte;
/// Below this rate, bytes per second, a client makes no progress.
constexpr double kMinRate = 1024;
constexpr Duration kPeriod = Seconds(1);

}  // namespace

const char* UseName(Use use) {
  switch (use) {
    case Use::kReceiving:
      return "receiving";
    case Use::kWaiting:
      return "waiting";
    case Use::kAnswers:
      return "answers";
    case Use::kServers:
      return "servers";
  }
  return "";
}

MemoryBudget MakeBudget(std::size_t machine_bytes) {
  if (machine_bytes == 0) machine_bytes = kDefaultMachineBytes;
  MemoryBudget result;
  const std::size_t rest =
      machine_bytes > kOwnBytes ? machine_bytes - kOwnBytes : 0;
  result.capacity = std::max(rest / kCopyFactor, kMinCapacity);
  return result;
}

void Report(MemoryBudget& budget, Holdings& before, const Holdings& after) {
  for (std::size_t i = 0; i < kUses; ++i) {
    budget.by_use[i] += after[i] - before[i];
    budget.used += after[i] - before[i];
  }
  budget.peak = std::max(budget.peak, budget.used);
  before = after;
}

bool IsExceeded(const MemoryBudget& budget) {
  return budget.used > budget.capacity;
}

bool MayStoreBody(const MemoryBudget& budget) {
  return budget.used <= budget.capacity;
}

bool MayAccept(const MemoryBudget& budget) {
  return budget.used < budget.capacity / 8 * 9;
}

bool MayReadAhead(const MemoryBudget& budget) {
  return budget.used < budget.capacity / 2;
}

std::size_t Excess(const MemoryBudget& budget) {
  const std::size_t target = budget.capacity / 4 * 3;
  return budget.used > target ? budget.used - target : 0;
}

void Advance(Progress& progress, std::size_t n, TimePoint now) {
  if (now - progress.since >= kPeriod) {
    progress.last_rate = RateAt(progress, now);
    progress.since = now;
    progress.bytes = 0;
  }
  progress.bytes += n;
}

double RateAt(const Progress& progress, TimePoint now) {
  const auto bytes = static_cast<double>(progress.bytes);
  const Duration age = now - progress.since;
  if (age >= kPeriod) return bytes / ToSeconds(age);
  return std::max(progress.last_rate, bytes / ToSeconds(kPeriod));
}

std::vector<std::size_t> ChooseToClose(const std::vector<Holder>& holders,
                                       std::size_t excess) {
  std::unordered_map<std::string_view, std::size_t> by_address;
  std::size_t total = 0;
  for (const Holder& it : holders) {
    by_address[it.address] += it.bytes;
    total += it.bytes;
  }
  std::vector<std::size_t> order(holders.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, [&](std::size_t left, std::size_t right) {
    const Holder& a = holders[left];
    const Holder& b = holders[right];
    const double slow_a = std::min(a.rate, kMinRate);
    const double slow_b = std::min(b.rate, kMinRate);
    if (slow_a != slow_b) return slow_a < slow_b;
    const bool over_a = by_address.at(a.address) > total / 2;
    const bool over_b = by_address.at(b.address) > total / 2;
    if (over_a != over_b) return over_a;
    if (a.bytes != b.bytes) return a.bytes > b.bytes;
    return left < right;
  });
  std::size_t given = 0;
  std::size_t n = 0;
  while (n < order.size() && given < excess) given += holders[order[n++]].bytes;
  order.resize(n);
  return order;
}

}  // namespace ibisladder::memory
