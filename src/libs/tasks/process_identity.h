#ifndef LIBS_TASKS_PROCESS_IDENTITY_H_
#define LIBS_TASKS_PROCESS_IDENTITY_H_

#include <cstdint>

#include "libs/base/strong_types.h"

namespace ibisladder::tasks {

/// Identity of one run of an instance.
struct ProcessIdentity {
  Incarnation incarnation;
  /// Hash of the fleet's name.
  std::uint64_t fleet = 0;
  std::uint64_t random_seed = 0;
};

}  // namespace ibisladder::tasks

#endif  // LIBS_TASKS_PROCESS_IDENTITY_H_
