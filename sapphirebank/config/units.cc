#include "sapphirebank/config/units.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <span>

namespace sapphirebank {
namespace {

struct Unit {
  std::string_view name;
  std::uint64_t factor;
};

// Largest first, so that formatting finds the shortest text.
constexpr auto kDurationUnits = std::to_array<Unit>({
    {"h", 3'600'000'000},
    {"min", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
});

constexpr auto kSizeUnits = std::to_array<Unit>({
    {"GiB", 1U << 30U},
    {"MiB", 1U << 20U},
    {"KiB", 1U << 10U},
    {"B", 1},
});

// In order of preference for formatting; the factor is the unit in seconds.
constexpr auto kRateUnits = std::to_array<Unit>({
    {"s", 1},
    {"min", 60},
    {"h", 3600},
});

constexpr auto kMaxQuantity =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

const Unit* FindUnit(std::span<const Unit> units, std::string_view name) {
  const auto found =
      std::find_if(units.begin(), units.end(),
                   [&](const Unit& u) { return u.name == name; });
  return found == units.end() ? nullptr : &*found;
}

std::optional<std::uint64_t> ParseWhole(std::string_view text,
                                        std::span<const Unit> units) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc()) return std::nullopt;
  const Unit* unit = FindUnit(
      units, text.substr(static_cast<std::size_t>(rest - text.data())));
  if (unit == nullptr) return std::nullopt;
  if (number > kMaxQuantity / unit->factor) return std::nullopt;
  return number * unit->factor;
}

std::string FormatWhole(std::uint64_t number, std::span<const Unit> units) {
  for (const Unit& unit : units) {
    if (number > 0 && number % unit.factor == 0) {
      return fmt::format("{}{}", number / unit.factor, unit.name);
    }
  }
  return fmt::format("0{}", units.back().name);
}

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  const auto microseconds = ParseWhole(text, kDurationUnits);
  if (!microseconds) return std::nullopt;
  return Duration(static_cast<Duration::rep>(*microseconds));
}

std::string FormatDuration(Duration duration) {
  return FormatWhole(static_cast<std::uint64_t>(duration.count()),
                     kDurationUnits);
}

std::optional<double> ParseDecimal(std::string_view text) {
  if (text.empty() || !IsDigit(text.front()) || !IsDigit(text.back())) {
    return std::nullopt;
  }
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (error != std::errc() || rest != end) return std::nullopt;
  return number;
}

std::optional<double> ParseRate(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto number = ParseDecimal(text.substr(0, slash));
  const Unit* unit = FindUnit(kRateUnits, text.substr(slash + 1));
  if (!number || unit == nullptr) return std::nullopt;
  return *number / static_cast<double>(unit->factor);
}

std::string FormatRate(double per_second) {
  for (const Unit& unit : kRateUnits) {
    const double whole =
        std::round(per_second * static_cast<double>(unit.factor));
    std::string text = fmt::format("{:.0f}/{}", whole, unit.name);
    if (ParseRate(text) == per_second) return text;
  }
  // Enough digits for any double; trailing zeros are cut off.
  std::string digits = fmt::format("{:.24f}", per_second);
  std::string shortest = fmt::format("{}", per_second);
  if (shortest.find('e') == std::string::npos) digits = shortest;
  return digits + "/s";
}

std::optional<std::uint64_t> ParseSize(std::string_view text) {
  return ParseWhole(text, kSizeUnits);
}

std::string FormatSize(std::uint64_t bytes) {
  return FormatWhole(bytes, kSizeUnits);
}

}  // namespace sapphirebank
