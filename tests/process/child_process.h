#ifndef TESTS_PROCESS_CHILD_PROCESS_H_
#define TESTS_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Programs started by tests.
namespace ibisladder::process {

/// Polls until `condition` holds; false when it does not within `limit`.
bool Await(std::chrono::milliseconds timeout,
           const std::function<bool()>& condition);

/// A child process, killed when it goes out of scope.
class ChildProcess {
 public:
  /// Standard output and error go to the files. Throws std::runtime_error when
  /// it cannot be started.
  ChildProcess(const std::vector<std::string>& command,
               const std::string& out_file, const std::string& error_file);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int number) const;
  /// Exit status, or -1 with a signal; nothing when it still runs after
  /// `limit`.
  std::optional<int> Wait(std::chrono::milliseconds timeout);

 private:
  pid_t pid_ = -1;
};

std::string ReadFile(const std::string& path);

}  // namespace ibisladder::process

#endif  // TESTS_PROCESS_CHILD_PROCESS_H_
