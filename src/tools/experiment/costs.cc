#include "tools/experiment/costs.h"

#include <chrono>
#include <cstdio>
#include <vector>

#include "libs/detection/detector_state.h"

namespace ibisladder::experiment {
namespace {

using detection::AttemptEnd;

constexpr int kAttempts = 100000;

double NanosSince(std::chrono::steady_clock::time_point start, int count) {
  const std::chrono::duration<double, std::nano> passed =
      std::chrono::steady_clock::now() - start;
  return passed.count() / count;
}

detection::DetectorPtr MakePool(int servers, TimePoint now) {
  auto detector = detection::MakeDetector({}, true, now);
  std::vector<detection::Member> members;
  for (int i = 0; i < servers; ++i) {
    members.push_back({BackendServerId(static_cast<std::uint64_t>(i) + 1)});
  }
  detection::SetMembers(*detector, members, now);
  return detector;
}

/// Time of one attempt with an evaluation at its end. Attempts do not overlap.
double AttemptNanos(detection::Detector& detector, int servers, TimePoint& now,
                    Random& random) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kAttempts; ++i) {
    const BackendServerId server(
        UniformBelow(random, static_cast<std::uint64_t>(servers)) + 1);
    const AttemptId attempt(static_cast<std::uint64_t>(i) + 1);
    detection::AttemptStarted(detector, server, attempt, now);
    now += Millis(static_cast<std::int64_t>(5 + UniformBelow(random, 10)));
    detection::AttemptEnded(detector, attempt, AttemptEnd::kOk, now);
    detection::Evaluate(detector, now, random);
  }
  return NanosSince(start, kAttempts);
}

double IdleNanos(detection::Detector& detector, TimePoint now, Random& random) {
  now += Seconds(600);
  detection::Evaluate(detector, now, random);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kAttempts; ++i) {
    detection::Evaluate(detector, now, random);
  }
  return NanosSince(start, kAttempts);
}

}  // namespace

std::string FormatCosts() {
  std::string out =
      "| servers | ns an attempt | ns an idle evaluation |\n|---|---|---|\n";
  for (const int servers : {6, 24, 100, 800, 8200}) {
    TimePoint now{Seconds(1)};
    Random random(1);
    const auto detector = MakePool(servers, now);
    const double attempt = AttemptNanos(*detector, servers, now, random);
    const double idle = IdleNanos(*detector, now, random);
    constexpr std::size_t kSize = 96;
    char buf[kSize];
    std::snprintf(buf, sizeof(buf), "| %d | %.0f | %.0f |\n", servers, attempt,
                  idle);
    out += buf;
  }
  out += "\nBytes a server: " +
         std::to_string(sizeof(detection::Internal::Server)) +
         "; bytes a peer's word on a suspected server: " +
         std::to_string(sizeof(detection::Internal::PeerEvidence)) +
         "; bytes a service: " + std::to_string(sizeof(detection::Detector)) +
         "\n";
  return out;
}

}  // namespace ibisladder::experiment
