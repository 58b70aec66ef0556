#include "sapphirebank/telemetry/process_memory.h"

#include <catch2/catch.hpp>
#include <string>

namespace sapphirebank {
namespace {

TEST_CASE("the memory of a process is read from the system's page counts",
          "[telemetry]") {
  const auto memory = ParseProcessMemory("2000 900 150 30 0 800 0", 4096);
  REQUIRE(memory);
  CHECK(memory->resident == 900 * 4096);
  CHECK(memory->anonymous == 750 * 4096);
  for (const char* malformed : {"", "2000", "2000 900", "a b c", "9 900 1"}) {
    CHECK_FALSE(ParseProcessMemory(malformed, 4096));
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
