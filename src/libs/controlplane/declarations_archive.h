#ifndef LIBS_CONTROLPLANE_DECLARATIONS_ARCHIVE_H_
#define LIBS_CONTROLPLANE_DECLARATIONS_ARCHIVE_H_

#include "libs/declarations/declarations.h"

/// cereal support for the declared items. cereal finds the functions by
/// argument-dependent lookup.
namespace ibisladder::declarations {

namespace Internal {

template <typename Archive>
void SerializeDuration(Archive& archive, Duration& duration) {
  std::int64_t micros = duration.count();
  archive(micros);
  duration = Duration(micros);
}

}  // namespace Internal

template <typename Archive>
void serialize(Archive& archive, BackendServer& it) {
  archive(it.name, it.endpoint, it.zone, it.slots, it.max_connections,
          it.drained);
}

template <typename Archive>
void serialize(Archive& archive, Service& it) {
  archive(it.name, it.servers, it.floor_percent,
          it.false_ejections_per_server_day);
  Internal::SerializeDuration(archive, it.warm_up);
  archive(it.retry_budget_percent, it.queue_limit);
  Internal::SerializeDuration(archive, it.max_deadline);
  std::uint64_t request_bytes = it.max_request_bytes;
  std::uint64_t answer_bytes = it.max_answer_bytes;
  archive(request_bytes, answer_bytes, it.health_path);
  it.max_request_bytes = request_bytes;
  it.max_answer_bytes = answer_bytes;
}

template <typename Archive>
void serialize(Archive& archive, Route& it) {
  archive(it.prefix, it.methods, it.service, it.repeat, it.priority);
  Internal::SerializeDuration(archive, it.deadline);
}

template <typename Archive>
void serialize(Archive& archive, Organisation& it) {
  archive(it.name, it.requests_per_second, it.max_in_flight);
}

}  // namespace ibisladder::declarations

#endif  // LIBS_CONTROLPLANE_DECLARATIONS_ARCHIVE_H_
