#include "sapphirebank/telemetry/log_writer.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace sapphirebank {
namespace {

constexpr WallTime kTime(std::chrono::microseconds(1'764'831'712'000'123));

LogWriter::Clock FixedClock() {
  return [] { return kTime; };
}

// A sink that records lines. While it is blocked, the writer's thread waits in
// it, as with a reader of standard error that has stopped reading.
class BlockingSink {
 public:
  LogWriter::Sink AsSink() {
    return [this](std::string_view line) {
      std::unique_lock lock(mutex_);
      lines_.emplace_back(line);
      entered_ = true;
      changed_.notify_all();
      changed_.wait(lock, [this] { return !blocked_; });
    };
  }

  void WaitForLine() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return entered_; });
  }

  void Block() {
    const std::lock_guard lock(mutex_);
    blocked_ = true;
  }

  void Unblock() {
    const std::lock_guard lock(mutex_);
    blocked_ = false;
    changed_.notify_all();
  }

  const std::vector<std::string>& lines() const { return lines_; }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool blocked_ = false;
  bool entered_ = false;
  std::vector<std::string> lines_;
};

TEST_CASE("a log line is one JSON object with fixed leading fields",
          "[telemetry]") {
  struct Row {
    const char* event;
    nlohmann::json fields;
    const char* line;
  };
  const Row rows[] = {
      {"start", nlohmann::json::object(),
       R"({"time":"2025-12-04T07:01:52.000123Z","level":"info",)"
       R"("host":"h\"1","event":"start"})"},
      {"route",
       {{"service", "desk"}, {"revision", 7}},
       R"({"time":"2025-12-04T07:01:52.000123Z","level":"info",)"
       R"("host":"h\"1","event":"route","revision":7,"service":"desk"})"},
      {"clash",
       {{"time", 3}},
       R"({"time":"2025-12-04T07:01:52.000123Z","level":"info",)"
       R"("host":"h\"1","event":"clash","time_":3})"},
      {"bad",
       {{"text", "a\xff\nb"}},
       R"({"time":"2025-12-04T07:01:52.000123Z","level":"info",)"
       "\"host\":\"h\\\"1\",\"event\":\"bad\",\"text\":\"a\xef\xbf\xbd\\nb\"}"},
  };
  BlockingSink sink;
  {
    const auto log =
        LogWriter::Create({.host = "h\"1"}, FixedClock(), sink.AsSink());
    REQUIRE(log);
    for (const Row& row : rows) {
      (*log)->Write(LogLevel::kInfo, row.event, row.fields);
    }
  }
  REQUIRE(sink.lines().size() == std::size(rows));
  for (std::size_t i = 0; i < std::size(rows); ++i) {
    CHECK(sink.lines()[i] == rows[i].line);
    CHECK(nlohmann::json::accept(sink.lines()[i]));
  }
}

TEST_CASE("lines are dropped, counted and reported while the sink blocks",
          "[telemetry]") {
  BlockingSink sink;
  sink.Block();
  {
    const auto log = LogWriter::Create({.host = "a", .queue_limit = 3},
                                       FixedClock(), sink.AsSink());
    REQUIRE(log);
    (*log)->Write(LogLevel::kInfo, "first");
    sink.WaitForLine();
    for (int i = 0; i < 10; ++i) (*log)->Write(LogLevel::kInfo, "more");
    CHECK((*log)->dropped() == 7);
    sink.Unblock();
  }
  REQUIRE(sink.lines().size() == 5);
  const auto report = nlohmann::json::parse(sink.lines()[1]);
  CHECK(report["event"] == "log_lines_dropped");
  CHECK(report["level"] == "warning");
  CHECK(report["lines"] == 7);
}

TEST_CASE("closing waits no longer than its timeout for a blocked sink",
          "[telemetry]") {
  const auto sink = std::make_shared<BlockingSink>();
  sink->Block();
  {
    const auto log = LogWriter::Create(
        {.host = "a", .close_timeout = std::chrono::milliseconds(1)},
        FixedClock(), [sink](std::string_view line) { sink->AsSink()(line); });
    REQUIRE(log);
    (*log)->Write(LogLevel::kError, "last");
    sink->WaitForLine();
  }
  sink->Unblock();
}

TEST_CASE("lines below the level are not written", "[telemetry]") {
  BlockingSink sink;
  {
    const auto log =
        LogWriter::Create({.host = "a", .level = LogLevel::kWarning},
                          FixedClock(), sink.AsSink());
    REQUIRE(log);
    (*log)->Write(LogLevel::kInfo, "quiet");
    (*log)->Write(LogLevel::kError, "loud");
    (*log)->SetLevel(LogLevel::kDebug);
    (*log)->Write(LogLevel::kDebug, "chatty");
  }
  REQUIRE(sink.lines().size() == 2);
  CHECK(nlohmann::json::parse(sink.lines()[0])["event"] == "loud");
  CHECK(nlohmann::json::parse(sink.lines()[1])["event"] == "chatty");
}

TEST_CASE("creating a log writer fails with invalid settings", "[telemetry]") {
  CHECK_FALSE(LogWriter::Create({.host = ""}, FixedClock()));
  CHECK_FALSE(LogWriter::Create({.host = "a", .queue_limit = 0}, FixedClock()));
  CHECK(LogLevelFromName("warning") == LogLevel::kWarning);
  CHECK_FALSE(LogLevelFromName("loud"));
}

}  // namespace
}  // namespace sapphirebank
