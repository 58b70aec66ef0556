#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sapphirebank {

// Memory of a process in bytes.
struct ProcessMemory {
  std::uint64_t resident = 0;
  std::uint64_t anonymous = 0;  // The part that no file backs.
};

// Parses the content of /proc/self/statm, whose figures are pages of
// `page_bytes`; nothing when it is malformed.
std::optional<ProcessMemory> ParseProcessMemory(std::string_view statm,
                                                std::uint64_t page_bytes);

// Returns the memory of this process; nothing where the system does not tell.
std::optional<ProcessMemory> ReadProcessMemory();

}  // namespace sapphirebank
