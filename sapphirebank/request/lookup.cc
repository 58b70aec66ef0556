#include "sapphirebank/request/lookup.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace sapphirebank {
namespace {

enum class Rank { kFreeOwner, kBusyOwner, kOther };

struct Candidate {
  const LookupHost* host = nullptr;
  Rank rank = Rank::kOther;
  std::uint64_t shuffle_key = 0;
  std::size_t rank_in_zone = 0;  // Number of better candidates in its zone.
};

Rank RankOf(const LookupHost& host, std::span<const OwnerLoad> owners) {
  Rank rank = Rank::kOther;
  for (const OwnerLoad& owner : owners) {
    if (owner.host != host.host) continue;
    if (owner.free_slots > 0) return Rank::kFreeOwner;
    rank = Rank::kBusyOwner;
  }
  return rank;
}

}  // namespace

std::vector<Endpoint> ChooseAddresses(std::span<const LookupHost> hosts,
                                      std::span<const OwnerLoad> owners,
                                      std::size_t count, Random& random) {
  std::vector<Candidate> candidates;
  for (const LookupHost& host : hosts) {
    candidates.push_back(
        {&host, RankOf(host, owners), random.Below(UINT64_MAX), 0});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.rank, a.shuffle_key) <
                     std::tie(b.rank, b.shuffle_key);
            });
  std::map<ZoneId, std::size_t> hosts_per_zone;
  for (Candidate& candidate : candidates) {
    candidate.rank_in_zone = hosts_per_zone[candidate.host->zone]++;
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.rank_in_zone < b.rank_in_zone;
                   });
  std::vector<Endpoint> addresses;
  for (const Candidate& candidate : candidates) {
    if (addresses.size() == count) break;
    addresses.push_back(candidate.host->callers);
  }
  return addresses;
}

}  // namespace sapphirebank
