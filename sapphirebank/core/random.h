#pragma once

#include <cstdint>
#include <random>

namespace sapphirebank {

// A seeded source of randomness. The same seed gives the same sequence on
// every machine, so that a failing schedule can be run again.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Returns a number in [0, bound). `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound) { return engine_() % bound; }

  // Returns a number in [0, 1).
  double Unit() {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    return static_cast<double>(engine_() >> 11U) * kScale;
  }

  // Returns true with the given probability.
  bool Chance(double probability) { return Unit() < probability; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace sapphirebank
