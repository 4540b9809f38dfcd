#ifndef LIBS_ADMISSION_PRESSURE_H_
#define LIBS_ADMISSION_PRESSURE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/declarations/declarations.h"
#include "libs/routing/router.h"

/// What instances tell each other of a service that lacks room, and what
/// follows from it for all of them.
namespace ibisladder::admission {

using routing::kPriorities;

/// Requests of one priority within the interval of a message.
struct PriorityCounts {
  std::uint32_t arrived = 0;
  std::uint32_t served = 0;
  std::uint32_t declined = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(arrived, served, declined);
  }
  bool operator==(const PriorityCounts&) const = default;
};

/// One instance's view of one service.
struct ServicePressure {
  ServiceId service;
  /// Whether the sender itself sees that room is lacking; otherwise it only
  /// answers others, so that all of them know the demand.
  bool is_pressed = false;
  /// Time over which the requests were counted.
  std::uint32_t interval_ms = 0;
  /// By priority, the highest first.
  std::vector<PriorityCounts> counts;
  /// Running and waiting requests per slot as servers reported them, in
  /// percent.
  std::uint32_t load_percent = 0;
  std::vector<routing::DecliningServer> declining;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, is_pressed, interval_ms, counts, load_percent, declining);
  }
  bool operator==(const ServicePressure&) const = default;
};

struct PressureMessage {
  static constexpr std::uint32_t kFormat = 1;

  std::uint32_t format = kFormat;
  /// Name of the instance.
  std::string sender;
  std::vector<ServicePressure> services;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(format, sender, services);
  }
};

/// What the other instances have told of one service.
struct PeerPressure {
  struct Entry {
    double arrivals_per_second = 0;
    double load_per_slot = 0;
    bool is_pressed = false;
    TimePoint received_at;
  };
  /// By name of the instance; at most kMaxPeers.
  std::map<std::string, Entry> peers;
};

/// Values beyond what an instance can have seen are clamped.
void MergePressure(PeerPressure& pressure, const std::string& sender,
                   const ServicePressure& message, TimePoint now);

/// The instances that have sent a message lately.
struct PeerView {
  /// Whether one of them sees that room is lacking.
  bool is_pressed = false;
  std::size_t instances = 0;
  double arrivals_per_second = 0;
  /// Mean, weighted by arrivals.
  double load_per_slot = 0;
};
PeerView ViewOf(const PeerPressure& pressure, TimePoint now);

}  // namespace ibisladder::admission

#endif  // LIBS_ADMISSION_PRESSURE_H_
