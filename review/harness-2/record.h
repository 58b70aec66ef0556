#pragma once

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Writes what was sent, answered and run, one line for each event, with the
// milliseconds since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Write(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << fmt::format("{:7} {}\n", Now(), line) << std::flush;
  }

  // Returns the milliseconds since the start of the case.
  std::int64_t Now() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - start_)
        .count();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

}  // namespace review
