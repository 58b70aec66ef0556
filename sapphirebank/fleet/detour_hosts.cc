#include "sapphirebank/fleet/detour_hosts.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "sapphirebank/core/hash.h"

namespace sapphirebank {
namespace {

// Hosts without a path for which one host of their zone stands in.
constexpr std::size_t kMaxLostPerHost = 3;

// Callers are not sent to the sound hosts alone when those would get more than
// this many times their usual requests.
constexpr std::size_t kMaxLoadFactor = 4;

// A host that failed is avoided for this time. The hub's list follows within a
// second.
constexpr Duration kFailedHostBackoff = std::chrono::seconds(1);

}  // namespace

std::vector<std::string> ChooseDetourHosts(std::span<const ReadyHost> ready,
                                           const ReadyHost& self,
                                           std::size_t count) {
  std::size_t sound_in_zone = 0;
  std::size_t lost_in_zone = 0;
  for (const ReadyHost& host : ready) {
    if (host.zone != self.zone) continue;
    ++(host.reaches_servers ? sound_in_zone : lost_in_zone);
  }
  const bool prefers_zone = sound_in_zone * kMaxLostPerHost >= lost_in_zone;
  struct Ranked {
    bool is_elsewhere;
    std::uint64_t rank;
    const std::string* address;
  };
  const std::uint64_t seed = StableHash(self.address);
  std::vector<Ranked> ranked;
  for (const ReadyHost& host : ready) {
    if (!host.reaches_servers || host.address == self.address) continue;
    ranked.push_back({prefers_zone && host.zone != self.zone,
                      StableHash(host.address, seed), &host.address});
  }
  const auto end = ranked.begin() +
                   static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
  std::partial_sort(ranked.begin(), end, ranked.end(),
                    [](const Ranked& a, const Ranked& b) {
                      return std::tie(a.is_elsewhere, a.rank) <
                             std::tie(b.is_elsewhere, b.rank);
                    });
  std::vector<std::string> hosts;
  hosts.reserve(count);
  for (auto next = ranked.begin(); next != end; ++next) {
    hosts.push_back(*next->address);
  }
  return hosts;
}

std::vector<ReadyHost> HostsForCallers(std::span<const ReadyHost> ready) {
  std::vector<ReadyHost> sound;
  std::copy_if(ready.begin(), ready.end(), std::back_inserter(sound),
               [](const ReadyHost& host) { return host.reaches_servers; });
  if (sound.size() * kMaxLoadFactor >= ready.size()) return sound;
  return {ready.begin(), ready.end()};
}

bool TakesDetour(const DetourQuery& query) {
  if (query.came_by_detour || query.must_not_run_again) return false;
  if (query.detours_tried >= kMaxDetours) return false;
  return query.path_is_lost ||
         query.unreachable_attempts >= kMaxUnreachableAttempts;
}

bool DetourHosts::IsUsable(Instant now, std::span<const std::string> tried,
                           const std::string& host) const {
  const auto failed = avoid_until_.find(host);
  const bool is_avoided = failed != avoid_until_.end() && now < failed->second;
  return !is_avoided &&
         std::find(tried.begin(), tried.end(), host) == tried.end();
}

bool DetourHosts::HasOne(Instant now,
                         std::span<const std::string> tried) const {
  return std::any_of(
      hosts_.begin(), hosts_.end(),
      [&](const std::string& host) { return IsUsable(now, tried, host); });
}

std::string DetourHosts::Take(Instant now, std::span<const std::string> tried) {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const std::string& host = hosts_[next_++ % hosts_.size()];
    if (IsUsable(now, tried, host)) return host;
  }
  return std::string();
}

void DetourHosts::RecordFailure(Instant now, const std::string& host) {
  std::erase_if(avoid_until_,
                [&](const auto& item) { return item.second <= now; });
  avoid_until_[host] = now + kFailedHostBackoff;
}

}  // namespace sapphirebank
