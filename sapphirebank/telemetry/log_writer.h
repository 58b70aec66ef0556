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
  // Name of the host, part of each line so that logs of several hosts can be
  // merged.
  std::string host;
  // Lines below this level are not written.
  LogLevel level = LogLevel::kInfo;
  // Maximum number of queued lines; further lines are dropped and counted.
  std::size_t queue_limit = 4096;
  // Longest time that the destructor waits for the queue to be written.
  Duration close_timeout = std::chrono::seconds(2);
};

// Writes log lines, one JSON object each, on a dedicated thread. When the sink
// blocks, for example because the reader of standard error has stopped, lines
// are dropped but callers never block. All functions are thread-safe.
class LogWriter {
 public:
  using Clock = std::function<WallTime()>;
  // Writes one line, passed without its line terminator. It may block.
  using Sink = std::function<void(std::string_view line)>;

  // Starts the writer thread. `clock` provides the time of each line. Fails
  // with kInvalidSettings if the host is empty or the queue limit is zero.
  static Result<std::unique_ptr<LogWriter>> Create(LogWriterSettings settings,
                                                   Clock clock,
                                                   Sink sink = StandardError());

  // Writes the queued lines, but waits no longer than the close timeout.
  ~LogWriter();

  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Queues a line with `fields`, a JSON object, after the leading fields time,
  // level, host and event. An underscore is appended to the name of a field
  // that clashes with a leading one. Never blocks on the sink.
  void Write(LogLevel level, std::string_view event,
             nlohmann::json fields = nlohmann::json::object());

  // Returns whether lines of `level` are written, so that a caller need not
  // build the fields of a line that would be discarded.
  bool Enabled(LogLevel level) const { return level >= level_.load(); }

  // Sets the lowest level that is written.
  void SetLevel(LogLevel level) { level_ = level; }

  // Returns how many lines were dropped since the writer was created.
  std::uint64_t dropped() const;

  // Returns a sink that writes to standard error.
  static Sink StandardError();

  // Returns a sink that writes to standard output and flushes each line.
  static Sink StandardOutput();

 private:
  struct Queue;

  LogWriter(LogWriterSettings settings, Clock clock, Sink sink);

  // Shared with the thread, which outlives this object if the sink blocks for
  // longer than the close timeout.
  std::shared_ptr<Queue> queue_;
  Clock clock_;
  std::atomic<LogLevel> level_;
  std::thread thread_;
};

}  // namespace sapphirebank
