#ifndef TOOLS_IBISLADDER_ENVIRONMENT_H_
#define TOOLS_IBISLADDER_ENVIRONMENT_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "tools/ibisladder/channel.h"
#include "tools/ibisladder/options.h"

namespace ibisladder::tool {

/// Dependencies of the commands on the process. Tests pass fakes.
struct Environment {
  FileReader read_file;
  Channel channel;
  std::function<void(Duration)> sleep;
  /// Returns a new change id with each call.
  std::function<std::string()> make_change_id;
  std::ostream& out;
  std::ostream& err;
  Fetcher fetch = nullptr;
};

/// Options and operands of a command, such as the FILE of `apply`.
struct Invocation {
  Options options;
  std::vector<std::string> operands;
};

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_ENVIRONMENT_H_
