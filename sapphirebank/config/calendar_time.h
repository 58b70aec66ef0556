#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirebank {

// What a calendar time looks like, for use in messages.
inline constexpr std::string_view kCalendarTimeForm =
    "an ISO 8601 time with its offset, such as \"2026-12-05T06:00:00+05:30\"";

// Reads an ISO 8601 time "YYYY-MM-DDThh:mm[:ss]" with "Z" or an offset
// "+hh:mm" as seconds since 1970-01-01T00:00:00Z. Returns nothing when the
// text has another form, has no offset or names a day that does not exist.
std::optional<std::int64_t> ParseCalendarTime(std::string_view text);

// Returns `unix_seconds` as "YYYY-MM-DDThh:mm:ss" and "Z", or the offset when
// `utc_offset`, in seconds and a whole number of minutes, is not 0.
std::string FormatCalendarTime(std::int64_t unix_seconds,
                               std::int32_t utc_offset = 0);

// Reads an offset from UTC such as "+05:30" or "Z" as seconds.
std::optional<std::int32_t> ParseUtcOffset(std::string_view text);

// Returns the day of `unix_seconds` as "YYYY-MM-DD" at the given offset from
// UTC in seconds.
std::string FormatDay(std::int64_t unix_seconds, std::int32_t utc_offset);

}  // namespace sapphirebank
