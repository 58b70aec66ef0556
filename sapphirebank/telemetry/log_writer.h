#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <thread>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/log_level.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct LogWriterSettings {
  // Written to each line, so that the lines of a fleet can be merged.
  std::string host;
  // Lines below it are left out.
  LogLevel level = LogLevel::kInfo;
  // Lines that may wait for the reader; further ones are dropped and counted.
  std::size_t queue_limit = 4096;
  // Longest time for which the destructor waits for a slow reader.
  Duration close_timeout = std::chrono::seconds(2);
};

// Writes log lines, one JSON object each, from a thread of its own: a reader
// of standard error that stops reading costs lines, never a caller's time.
// All functions may be called from any thread.
class LogWriter {
 public:
  using Clock = std::function<WallTime()>;
  // Takes one line without its end of line. It may block.
  using Sink = std::function<void(std::string_view line)>;

  // Starts the writer. `clock` gives the time of a line. Fails with
  // kInvalidSettings when the host is missing or the queue cannot hold a line.
  static Result<std::unique_ptr<LogWriter>> Create(LogWriterSettings settings,
                                                   Clock clock,
                                                   Sink sink = StandardError());

  // Writes what waits, as far as the reader takes it within the close timeout.
  ~LogWriter();

  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Queues a line with `fields`, a JSON object, behind the leading fields
  // time, level, host and event. A field with the name of a leading one gets
  // an underscore behind its name. Never blocks on the reader.
  void Write(LogLevel level, std::string_view event,
             nlohmann::json fields = nlohmann::json::object());

  // Returns whether lines of `level` are written, so that a caller can save
  // the work of making their fields.
  bool Enabled(LogLevel level) const { return level >= level_.load(); }

  // Changes the lowest level that is written.
  void SetLevel(LogLevel level) { level_ = level; }

  // Returns how many lines were dropped since the start.
  std::uint64_t dropped() const;

  // Returns the sink that prints to this process's standard error.
  static Sink StandardError();

  // Returns the sink that prints to this process's standard output.
  static Sink StandardOutput();

 private:
  struct Queue;

  LogWriter(LogWriterSettings settings, Clock clock, Sink sink);

  // Shared with the thread, which outlives this object when the reader hangs.
  std::shared_ptr<Queue> queue_;
  Clock clock_;
  std::atomic<LogLevel> level_;
  std::thread thread_;
};

}  // namespace sapphirebank
