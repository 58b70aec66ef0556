#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sapphirebank {

// Columns of the sheet in the order of an export.
enum class SheetColumn : std::uint8_t {
  kKind,
  kId,
  kRate,
  kBurst,
  kWeight,
  kServices,
  kWorkspace,
  kSha256,
  kAt,
  kState,
};

inline constexpr auto kSheetColumns = std::to_array<std::string_view>(
    {"kind", "id", "rate", "burst", "weight", "services", "workspace", "sha256",
     "at", "state"});

// What a row is about.
inline constexpr std::string_view kWorkspaceRow = "workspace";
inline constexpr std::string_view kKeyRow = "key";
inline constexpr std::string_view kZoneRow = "zone";
inline constexpr std::string_view kPlanRow = "plan";

// Texts of the column "state".
inline constexpr std::string_view kStateIn = "in";
inline constexpr std::string_view kStateOut = "out";

}  // namespace sapphirebank
