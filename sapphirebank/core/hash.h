#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace sapphirebank {

// Returns the 64-bit xxHash of `data`. It is the same on every host and in
// every release, but it is no defence against a chosen input.
std::uint64_t StableHash(std::string_view data, std::uint64_t seed = 0);

// Returns the index of the candidate with the highest score for `key` by
// rendezvous hashing (Thaler and Ravishankar, 1998), or -1 when there is none.
int RendezvousWinner(std::string_view key,
                     std::span<const std::string_view> candidates);

}  // namespace sapphirebank
