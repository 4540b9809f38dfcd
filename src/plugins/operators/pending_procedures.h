#ifndef PLUGINS_OPERATORS_PENDING_PROCEDURES_H_
#define PLUGINS_OPERATORS_PENDING_PROCEDURES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "libs/base/time.h"
#include "libs/rpc/procedures.h"
#include "libs/tasks/task_messages.h"

/// Operator requests that wait for the other tasks.
namespace ibisladder::operators {

/// GET /metrics and GET /readyz.
struct MetricsQuery {};
struct ReadinessQuery {};

using OperatorQuery =
    std::variant<MetricsQuery, ReadinessQuery, rpc::ProcedureCall>;

struct PendingProcedure {
  /// Request id of the HTTP server.
  std::uint64_t request = 0;
  rpc::ContentType type = rpc::ContentType::kProtobuf;
  OperatorQuery query;
  TimePoint since;
  std::optional<callerpath::PathStatus> path;
  std::optional<controlplane::ControlStatus> control;
  declarations::ConfigurationPtr configuration;
};

/// Pending requests by procedure number.
class PendingProcedures {
 public:
  std::uint64_t Add(PendingProcedure procedure);
  /// Returns null if the procedure is not pending.
  PendingProcedure* Find(std::uint64_t procedure);
  /// Removes and returns the procedure; nothing if it is not pending.
  std::optional<PendingProcedure> Take(std::uint64_t procedure);
  /// Returns the procedures that have been pending for too long.
  std::vector<std::uint64_t> Expired(TimePoint now) const;

 private:
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, PendingProcedure> pending_;
};

}  // namespace ibisladder::operators

#endif  // PLUGINS_OPERATORS_PENDING_PROCEDURES_H_
