#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// What the texts with units look like, for use in messages.
inline constexpr std::string_view kDurationForm =
    "a whole number with us, ms, s, min or h, such as \"250ms\"";
inline constexpr std::string_view kRateForm =
    "a number with /s, /min or /h, such as \"120/s\"";
inline constexpr std::string_view kSizeForm =
    "a whole number with B, KiB, MiB or GiB, such as \"1MiB\"";

// Reads a duration such as "250ms", "10s" or "5min". Returns nothing when the
// text has another form or does not fit.
std::optional<Duration> ParseDuration(std::string_view text);

// Returns `duration` in the largest unit that keeps it exact. It must not be
// negative.
std::string FormatDuration(Duration duration);

// Reads a rate such as "120/s" or "3600/h" as requests a second. Returns
// nothing when the text has another form.
std::optional<double> ParseRate(std::string_view text);

// Returns `per_second` as a text that ParseRate reads back as the same number.
std::string FormatRate(double per_second);

// Reads a size such as "1MiB" as bytes. Returns nothing when the text has
// another form or does not fit.
std::optional<std::uint64_t> ParseSize(std::string_view text);

// Returns `bytes` in the largest unit that keeps it exact.
std::string FormatSize(std::uint64_t bytes);

// Reads a decimal number such as "12" or "0.5": digits, and perhaps a point
// and further digits; no sign, exponent or spaces.
std::optional<double> ParseDecimal(std::string_view text);

}  // namespace sapphirebank
