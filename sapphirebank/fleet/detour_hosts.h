#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_messages.h"

namespace sapphirebank {

// Entry hosts that another one may send requests to when it reaches no backend
// server itself: an overlay detour of one hop (Andersen et al., "Resilient
// Overlay Networks", SOSP 2001).

// Number of hosts that each entry host is told.
inline constexpr std::size_t kDetourHosts = 3;

// Hosts that a request is sent to before it is refused.
inline constexpr int kMaxDetours = 2;

// Requests of other hosts that a host has in progress at most. A small host
// spends about a millisecond of processor time on each.
inline constexpr std::size_t kMaxDetoursInProgress = 32;

// Attempts without a connection after which a request takes a detour, also when
// the path is not known to be lost: some servers may be out of reach.
inline constexpr int kMaxUnreachableAttempts = 2;

// Returns the addresses of the hosts in `ready` that reach the servers, best
// ones first, at most `count`. Those in the zone of `self` come first, unless
// they are few beside the hosts of the zone that have lost their path. Each
// host gets others, so that the requests spread.
std::vector<std::string> ChooseDetourHosts(std::span<const ReadyHost> ready,
                                           const ReadyHost& self,
                                           std::size_t count);

// Returns the hosts of `ready` that are listed to callers: those that reach the
// servers while they are enough to serve all callers, otherwise all.
std::vector<ReadyHost> HostsForCallers(std::span<const ReadyHost> ready);

// State of a request that decides whether it is sent to another entry host.
struct DetourQuery {
  bool path_is_lost = false;
  // Attempts at servers to which no connection could be made.
  int unreachable_attempts = 0;
  // The request came from another entry host already.
  bool came_by_detour = false;
  // A server may have run the request, and it must not run again.
  bool must_not_run_again = false;
  int detours_tried = 0;
};

// Returns whether the request is to be sent to another entry host.
bool TakesDetour(const DetourQuery& query);

// The hosts that this host may send requests to, as its hub told them.
class DetourHosts {
 public:
  void Set(std::vector<std::string> hosts) { hosts_ = std::move(hosts); }

  const std::vector<std::string>& hosts() const { return hosts_; }

  // Returns whether there is a host that is not among `tried` and has not
  // failed a short while ago.
  bool HasOne(Instant now, std::span<const std::string> tried) const;

  // Returns such a host for the next request, in turn, or an empty string
  // without any.
  std::string Take(Instant now, std::span<const std::string> tried);

  // Records that a host could not be reached or could not help.
  void RecordFailure(Instant now, const std::string& host);

 private:
  bool IsUsable(Instant now, std::span<const std::string> tried,
                const std::string& host) const;

  std::vector<std::string> hosts_;
  std::size_t next_ = 0;
  std::map<std::string, Instant> avoid_until_;
};

}  // namespace sapphirebank
