#include "sapphirebank/config/calendar_time.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdlib>

namespace sapphirebank {
namespace {

using std::chrono::days;
using std::chrono::sys_days;
using std::chrono::year_month_day;

constexpr std::int64_t kSecondsPerMinute = 60;
constexpr std::int64_t kSecondsPerHour = 3600;
constexpr std::int64_t kSecondsPerDay = 86400;
constexpr int kMaxOffsetHours = 14;

// Takes fixed-width parts off the front of a text.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : rest_(text) {}

  // Takes `width` digits, which must stand for a number of `low` to `high`.
  std::optional<int> Number(std::size_t width, int low, int high) {
    if (rest_.size() < width) return std::nullopt;
    int number = 0;
    for (const char c : rest_.substr(0, width)) {
      if (c < '0' || c > '9') return std::nullopt;
      number = number * 10 + (c - '0');
    }
    rest_.remove_prefix(width);
    if (number < low || number > high) return std::nullopt;
    return number;
  }

  bool Skip(char expected) {
    if (rest_.empty() || rest_.front() != expected) return false;
    rest_.remove_prefix(1);
    return true;
  }

  bool empty() const { return rest_.empty(); }

 private:
  std::string_view rest_;
};

std::optional<std::int64_t> ScanDate(Scanner& scanner) {
  const auto year = scanner.Number(4, 1970, 9999);
  if (!year || !scanner.Skip('-')) return std::nullopt;
  const auto month = scanner.Number(2, 1, 12);
  if (!month || !scanner.Skip('-')) return std::nullopt;
  const auto day = scanner.Number(2, 1, 31);
  if (!day) return std::nullopt;
  const year_month_day date(std::chrono::year(*year),
                            std::chrono::month(static_cast<unsigned>(*month)),
                            std::chrono::day(static_cast<unsigned>(*day)));
  if (!date.ok()) return std::nullopt;
  const sys_days day_count = date;
  return day_count.time_since_epoch().count() * kSecondsPerDay;
}

std::optional<std::int64_t> ScanTime(Scanner& scanner) {
  const auto hour = scanner.Number(2, 0, 23);
  if (!hour || !scanner.Skip(':')) return std::nullopt;
  const auto minute = scanner.Number(2, 0, 59);
  if (!minute) return std::nullopt;
  std::int64_t seconds = *hour * kSecondsPerHour + *minute * kSecondsPerMinute;
  if (scanner.Skip(':')) {
    const auto second = scanner.Number(2, 0, 59);
    if (!second) return std::nullopt;
    seconds += *second;
  }
  return seconds;
}

// Returns the offset from UTC in seconds.
std::optional<std::int64_t> ScanOffset(Scanner& scanner) {
  if (scanner.Skip('Z')) return 0;
  const bool east = scanner.Skip('+');
  if (!east && !scanner.Skip('-')) return std::nullopt;
  const auto hours = scanner.Number(2, 0, kMaxOffsetHours);
  if (!hours || !scanner.Skip(':')) return std::nullopt;
  const auto minutes = scanner.Number(2, 0, 59);
  if (!minutes) return std::nullopt;
  const std::int64_t offset =
      *hours * kSecondsPerHour + *minutes * kSecondsPerMinute;
  return east ? offset : -offset;
}

std::string FormatOffset(std::int32_t utc_offset) {
  if (utc_offset == 0) return "Z";
  const std::int64_t size = std::abs(utc_offset);
  return fmt::format("{}{:02}:{:02}", utc_offset < 0 ? '-' : '+',
                     size / kSecondsPerHour,
                     size % kSecondsPerHour / kSecondsPerMinute);
}

sys_days DayOf(std::int64_t unix_seconds) {
  return std::chrono::floor<days>(
      std::chrono::sys_seconds(std::chrono::seconds(unix_seconds)));
}

std::string FormatDate(sys_days day) {
  const year_month_day date(day);
  return fmt::format("{:04}-{:02}-{:02}", static_cast<int>(date.year()),
                     static_cast<unsigned>(date.month()),
                     static_cast<unsigned>(date.day()));
}

}  // namespace

std::optional<std::int64_t> ParseCalendarTime(std::string_view text) {
  Scanner scanner(text);
  const auto date = ScanDate(scanner);
  if (!date || !scanner.Skip('T')) return std::nullopt;
  const auto time = ScanTime(scanner);
  if (!time) return std::nullopt;
  const auto offset = ScanOffset(scanner);
  if (!offset || !scanner.empty()) return std::nullopt;
  return *date + *time - *offset;
}

std::string FormatCalendarTime(std::int64_t unix_seconds,
                               std::int32_t utc_offset) {
  const std::int64_t local = unix_seconds + utc_offset;
  const sys_days day = DayOf(local);
  const std::int64_t in_day =
      local - day.time_since_epoch().count() * kSecondsPerDay;
  return fmt::format("{}T{:02}:{:02}:{:02}{}", FormatDate(day),
                     in_day / kSecondsPerHour,
                     in_day % kSecondsPerHour / kSecondsPerMinute,
                     in_day % kSecondsPerMinute, FormatOffset(utc_offset));
}

std::optional<std::int32_t> ParseUtcOffset(std::string_view text) {
  Scanner scanner(text);
  const auto offset = ScanOffset(scanner);
  if (!offset || !scanner.empty()) return std::nullopt;
  return static_cast<std::int32_t>(*offset);
}

std::string FormatDay(std::int64_t unix_seconds, std::int32_t utc_offset) {
  return FormatDate(DayOf(unix_seconds + utc_offset));
}

}  // namespace sapphirebank
