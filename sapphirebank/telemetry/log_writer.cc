#include "sapphirebank/telemetry/log_writer.h"

#include <fmt/format.h>

#include <array>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace sapphirebank {
namespace {

constexpr std::array<std::string_view, 4> kLeadingFields = {"time", "level",
                                                            "host", "event"};
constexpr std::string_view kDroppedEvent = "log_lines_dropped";

struct Line {
  WallTime time;
  LogLevel level = LogLevel::kInfo;
  std::string event;
  nlohmann::json fields;
};

// Replaces invalid UTF-8, which can come from the network, so that the line is
// still written.
std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string FormatTime(WallTime time) {
  const auto since_epoch = time.time_since_epoch();
  const auto epoch_seconds =
      std::chrono::floor<std::chrono::seconds>(since_epoch);
  const std::time_t seconds = epoch_seconds.count();
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:06}Z",
                     utc.tm_year + 1900, utc.tm_mon + 1, utc.tm_mday,
                     utc.tm_hour, utc.tm_min, utc.tm_sec,
                     (since_epoch - epoch_seconds).count());
}

void RenameLeadingFields(nlohmann::json& fields) {
  for (const std::string_view name : kLeadingFields) {
    const auto found = fields.find(name);
    if (found == fields.end()) continue;
    nlohmann::json value = std::move(*found);
    fields.erase(found);
    fields[std::string(name) + "_"] = std::move(value);
  }
}

std::string FormatLine(std::string_view host, Line line) {
  std::string text =
      fmt::format(R"({{"time":"{}","level":"{}","host":{},"event":{})",
                  FormatTime(line.time), LogLevelName(line.level),
                  Dump(nlohmann::json(host)), Dump(nlohmann::json(line.event)));
  if (!line.fields.is_object()) {
    line.fields = nlohmann::json{{"value", std::move(line.fields)}};
  }
  RenameLeadingFields(line.fields);
  if (line.fields.empty()) return text + '}';
  const std::string fields = Dump(line.fields);
  text += ',';
  text.append(fields, 1);
  return text;
}

}  // namespace

struct LogWriter::Queue {
  LogWriterSettings settings;
  Sink sink;

  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Line> lines;
  std::uint64_t dropped = 0;
  // Dropped lines that no log_lines_dropped line has reported yet.
  std::uint64_t unreported = 0;
  bool closing = false;
  bool finished = false;

  // Waits for the next line to write. Returns nothing once the writer is
  // closing and the queue is empty.
  std::optional<Line> Next() {
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return closing || !lines.empty(); });
    if (lines.empty()) return std::nullopt;
    Line line;
    if (unreported > 0) {
      line.time = lines.front().time;
      line.level = LogLevel::kWarning;
      line.event = kDroppedEvent;
      line.fields["lines"] = unreported;
      unreported = 0;
      return line;
    }
    line = std::move(lines.front());
    lines.pop_front();
    return line;
  }

  void Run() {
    while (auto line = Next()) {
      sink(FormatLine(settings.host, *std::move(line)));
    }
    const std::lock_guard lock(mutex);
    finished = true;
    changed.notify_all();
  }
};

Result<std::unique_ptr<LogWriter>> LogWriter::Create(LogWriterSettings settings,
                                                     Clock clock, Sink sink) {
  if (settings.host.empty()) {
    return Fail(ErrorKind::kInvalidSettings, "log: the host name is missing");
  }
  if (settings.queue_limit == 0) {
    return Fail(ErrorKind::kInvalidSettings,
                "log: the queue limit is 0, expected at least 1");
  }
  return std::unique_ptr<LogWriter>(
      new LogWriter(std::move(settings), std::move(clock), std::move(sink)));
}

LogWriter::LogWriter(LogWriterSettings settings, Clock clock, Sink sink)
    : queue_(std::make_shared<Queue>()),
      clock_(std::move(clock)),
      level_(settings.level) {
  queue_->settings = std::move(settings);
  queue_->sink = std::move(sink);
  thread_ = std::thread([queue = queue_] { queue->Run(); });
}

LogWriter::~LogWriter() {
  bool finished = false;
  {
    std::unique_lock lock(queue_->mutex);
    queue_->closing = true;
    queue_->changed.notify_all();
    finished = queue_->changed.wait_for(lock, queue_->settings.close_timeout,
                                        [&] { return queue_->finished; });
  }
  if (finished) {
    thread_.join();
  } else {
    thread_.detach();
  }
}

void LogWriter::Write(LogLevel level, std::string_view event,
                      nlohmann::json fields) {
  if (!Enabled(level)) return;
  Line line{clock_(), level, std::string(event), std::move(fields)};
  const std::lock_guard lock(queue_->mutex);
  if (queue_->lines.size() >= queue_->settings.queue_limit) {
    ++queue_->dropped;
    ++queue_->unreported;
    return;
  }
  queue_->lines.push_back(std::move(line));
  queue_->changed.notify_one();
}

std::uint64_t LogWriter::dropped() const {
  const std::lock_guard lock(queue_->mutex);
  return queue_->dropped;
}

LogWriter::Sink LogWriter::StandardError() {
  return [](std::string_view line) { fmt::print(stderr, "{}\n", line); };
}

LogWriter::Sink LogWriter::StandardOutput() {
  return [](std::string_view line) {
    fmt::print("{}\n", line);
    std::fflush(stdout);
  };
}

}  // namespace sapphirebank
