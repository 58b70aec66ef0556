#include "sapphirebank/telemetry/process_memory.h"

#include <catch2/catch.hpp>
#include <string>

namespace sapphirebank {
namespace {

TEST_CASE("the memory of a process is read from the system's page counts",
          "[telemetry]") {
  constexpr std::uint64_t kPageBytes = 4096;
  const auto memory = ParseProcessMemory("2000 900 150 30 0 800 0", kPageBytes);
  REQUIRE(memory);
  CHECK(memory->resident == 900 * kPageBytes);
  CHECK(memory->anonymous == 750 * kPageBytes);
  for (const char* malformed : {"", "2000", "2000 900", "a b c", "9 900 1"}) {
    CHECK_FALSE(ParseProcessMemory(malformed, kPageBytes));
  }
}

TEST_CASE("memory that the process takes shows in its own figures",
          "[telemetry]") {
  const auto before = ReadProcessMemory();
  REQUIRE(before);
  constexpr std::size_t kBytes = std::size_t{64} << 20U;
  const std::string taken(kBytes, 'x');
  const auto after = ReadProcessMemory();
  REQUIRE(after);
  CHECK(taken[kBytes / 2] == 'x');
  CHECK(after->anonymous > before->anonymous + kBytes / 2);
}

}  // namespace
}  // namespace sapphirebank
