#ifndef REVIEW_STANDINS_2_RECORD_H_
#define REVIEW_STANDINS_2_RECORD_H_

#include <fstream>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

/// The file with what was sent, answered and run, a line for each event with
/// the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}

  void Write(const std::string& line);
  /// Writes the line to the standard output, too.
  void Report(const std::string& line);
  Clock::time_point started_at() const { return started_at_; }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  Clock::time_point started_at_ = Clock::now();
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_RECORD_H_
