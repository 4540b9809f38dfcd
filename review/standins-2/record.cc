#include "record.h"

#include <iomanip>
#include <iostream>

namespace review {

void Record::Write(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  const std::chrono::duration<double, std::milli> at =
      Clock::now() - started_at_;
  out_ << std::fixed << std::setprecision(1) << at.count() << " " << line
       << std::endl;
}

void Record::Report(const std::string& line) {
  Write(line);
  std::cout << line << std::endl;
}

}  // namespace review
