#include "sapphirebank/core/hash.h"

#include <xxhash.h>

#include <cstddef>

namespace sapphirebank {

std::uint64_t StableHash(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

int RendezvousWinner(std::string_view key,
                     std::span<const std::string_view> candidates) {
  int winner = -1;
  std::uint64_t best = 0;
  const std::uint64_t seed = StableHash(key);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::uint64_t score = StableHash(candidates[i], seed);
    if (winner < 0 || score > best) {
      winner = static_cast<int>(i);
      best = score;
    }
  }
  return winner;
}

}  // namespace sapphirebank
