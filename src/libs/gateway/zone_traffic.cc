#include "libs/gateway/zone_traffic.h"

#include <string>

namespace ibisladder::gateway {

const char* CargoName(Cargo cargo) {
  switch (cargo) {
    case Cargo::kRequests:
      return "requests";
    case Cargo::kAnswers:
      return "answers";
    case Cargo::kEvidence:
      return "evidence";
    case Cargo::kLimits:
      return "limits";
    case Cargo::kOther:
      return "other";
  }
  return "unknown";
}

void CountBytes(ZoneTraffic& traffic, Cargo cargo, std::size_t n) {
  traffic.bytes[static_cast<std::size_t>(cargo)] += n;
}

ZoneTraffic Sum(const ZoneTraffic& a, const ZoneTraffic& b) {
  ZoneTraffic sum = a;
  for (std::size_t i = 0; i < kCargoKinds; ++i) sum.bytes[i] += b.bytes[i];
  return sum;
}

LogLine DescribeSince(const ZoneTraffic& traffic, const ZoneTraffic& before) {
  LogLine line{LogEvent::kZoneTraffic, {}};
  for (std::size_t i = 0; i < kCargoKinds; ++i) {
    line.fields.push_back({CargoName(static_cast<Cargo>(i)),
                           std::to_string(traffic.bytes[i] - before.bytes[i])});
  }
  return line;
}

}  // namespace ibisladder::gateway
