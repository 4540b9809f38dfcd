#include "libs/admission/pressure.h"

#include <algorithm>

namespace ibisladder::admission {
namespace {

constexpr std::size_t kMaxPeers = 64;
/// Three intervals, so that two datagrams may be lost.
constexpr Duration kMessageHolds = Millis(1500);
constexpr double kMaxArrivalsPerSecond = 1e5;
constexpr double kMaxLoadPerSlot = 50;
constexpr double kPercent = 100;
constexpr double kMillisPerSecond = 1000;
constexpr std::uint32_t kMinIntervalMs = 100;

}  // namespace

void MergePressure(PeerPressure& pressure, const std::string& sender,
                   const ServicePressure& message, TimePoint now) {
  std::erase_if(pressure.peers, [&](const auto& it) {
    return now - it.second.received_at > kMessageHolds;
  });
  if (!pressure.peers.contains(sender) && pressure.peers.size() >= kMaxPeers) {
    return;
  }
  double arrived = 0;
  for (std::size_t i = 0; i < std::min(message.counts.size(), kPriorities);
       ++i) {
    arrived += message.counts[i].arrived;
  }
  const double seconds =
      std::max(message.interval_ms, kMinIntervalMs) / kMillisPerSecond;
  PeerPressure::Entry& entry = pressure.peers[sender];
  entry.arrivals_per_second =
      std::min(arrived / seconds, kMaxArrivalsPerSecond);
  entry.load_per_slot =
      std::min(message.load_percent / kPercent, kMaxLoadPerSlot);
  entry.is_pressed = message.is_pressed;
  entry.received_at = now;
}

PeerView ViewOf(const PeerPressure& pressure, TimePoint now) {
  PeerView view;
  for (const auto& [name, it] : pressure.peers) {
    if (now - it.received_at > kMessageHolds) continue;
    ++view.instances;
    view.is_pressed = view.is_pressed || it.is_pressed;
    view.arrivals_per_second += it.arrivals_per_second;
    view.load_per_slot += it.load_per_slot * it.arrivals_per_second;
  }
  if (view.arrivals_per_second > 0) {
    view.load_per_slot /= view.arrivals_per_second;
  }
  return view;
}

}  // namespace ibisladder::admission
