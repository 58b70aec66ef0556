#include "sapphirebank/telemetry/process_memory.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace sapphirebank {

std::optional<ProcessMemory> ParseProcessMemory(std::string_view statm,
                                                std::uint64_t page_bytes) {
  std::istringstream in{std::string(statm)};
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  std::uint64_t shared = 0;
  if (!(in >> total >> resident >> shared)) return std::nullopt;
  if (shared > resident || resident > total) return std::nullopt;
  return ProcessMemory{resident * page_bytes, (resident - shared) * page_bytes};
}

std::optional<ProcessMemory> ReadProcessMemory() {
  std::ifstream in("/proc/self/statm");
  std::string line;
  if (!std::getline(in, line)) return std::nullopt;
  const long page_bytes = ::sysconf(_SC_PAGESIZE);
  if (page_bytes <= 0) return std::nullopt;
  return ParseProcessMemory(line, static_cast<std::uint64_t>(page_bytes));
}

}  // namespace sapphirebank
