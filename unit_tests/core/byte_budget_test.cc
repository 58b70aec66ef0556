#include "sapphirebank/core/byte_budget.h"

#include <catch2/catch.hpp>
#include <vector>

namespace sapphirebank {
namespace {

constexpr std::size_t kCapacity = std::size_t{40} << 20U;
constexpr double kShare = 0.25;
constexpr std::size_t kSmallAnswer = std::size_t{8} << 10U;
constexpr std::size_t kStep = std::size_t{4} << 10U;

TEST_CASE("bytes are free again when their holder ends", "[core]") {
  const auto budget = std::make_shared<ByteBudget>(kCapacity, kShare);
  {
    ByteReservation first(budget);
    REQUIRE(first.TryResize(1000));
    ByteReservation second(std::move(first));
    CHECK(budget->held() == 1000);
    REQUIRE(second.TryResize(300));
    CHECK(budget->held() == 300);
  }
  CHECK(budget->held() == 0);
}

// Guards against servers that answer without end and take the memory that the
// answers of sound servers need.
TEST_CASE("small holders get memory beside any number that take all they can",
          "[core]") {
  const std::size_t greedy = GENERATE(1, 10, 100, 500, 1000);
  const auto budget = std::make_shared<ByteBudget>(kCapacity, kShare);
  std::vector<ByteReservation> holders;
  for (std::size_t i = 0; i < greedy; ++i) holders.emplace_back(budget);
  bool has_grown = true;
  while (has_grown) {
    has_grown = false;
    for (ByteReservation& holder : holders) {
      has_grown = holder.TryResize(holder.bytes() + kStep) || has_grown;
    }
  }
  CHECK(budget->held() <= kCapacity);
  ByteReservation small(budget);
  CHECK(small.TryResize(kSmallAnswer));
}

TEST_CASE("a holder never gets more than there is", "[core]") {
  const auto budget = std::make_shared<ByteBudget>(1000, 100.0);
  ByteReservation first(budget);
  ByteReservation second(budget);
  CHECK_FALSE(first.TryResize(1001));
  REQUIRE(first.TryResize(900));
  CHECK_FALSE(second.TryResize(101));
  CHECK(second.TryResize(90));
  CHECK(budget->held() == 990);
}

}  // namespace
}  // namespace sapphirebank
