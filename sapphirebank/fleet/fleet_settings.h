#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/log_level.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/view_lease_settings.h"

namespace sapphirebank {

// Role of a fleet process.
enum class FleetRole { kEntry, kControl };

// Settings of a fleet process, read from JSON with comments. Addresses have the
// form "ip:port".
struct FleetSettings {
  FleetRole role = FleetRole::kEntry;
  HostId host;
  std::string ip;
  ZoneId zone;

  // Entry host: listeners for callers and for the platform's readiness check.
  Endpoint callers;
  Endpoint readiness;
  // Control host: listeners for operators and backend servers, and for callers
  // that look up entry hosts.
  Endpoint control;
  Endpoint directory;
  // Listener for metrics, if any.
  std::optional<Endpoint> metrics;
  // Port for traffic between fleet processes; the same on all hosts.
  std::uint16_t fleet_port = 0;

  // Initial control hosts, given by their operator addresses, of which only the
  // IP is used.
  std::vector<Endpoint> seeds;
  // Set when all data folders of the fleet are empty: the seeds form a new
  // group.
  bool found_group = false;
  std::string data_folder;
  std::string fleet_secret;
  LogLevel log_level = LogLevel::kInfo;

  // By when changes must be acknowledged and take effect everywhere.
  ChangeLimits change_limits;
  // Bounds on the requests that a bad new version of a service gets: the
  // fraction of the service's requests, the requests beyond it, and the time
  // after which a version that was found to be bad gets none. Without a
  // fraction no rollouts are served.
  double rollout_share = 0;
  double rollout_slack = 0;
  Duration rollback = std::chrono::seconds(5);
  // Time from the termination signal until the process is killed.
  Duration grace = std::chrono::seconds(6);
  // Maximum time for which callers cache an answer of the directory.
  Duration longest_lookup_life = std::chrono::seconds(5);
  // Retries per window of the whole fleet beyond those added by requests.
  double retry_slack = 60;
  // Control host: places requests by the work that servers have to do,
  // otherwise by the number of their requests.
  bool place_by_work = false;
  // Memory that the process may use, in MiB.
  std::uint32_t memory_mb = 256;
  // Rate of the host's own link in megabits per second; 0 if it is not known.
  double link_mbps = 0;

  // Parses `text`. Fails with kInvalidSettings and names file, place and cause.
  static Result<FleetSettings> Parse(std::string_view text,
                                     std::string_view file_name);

  // Entry host: returns the bytes that answers of backend servers may take.
  std::size_t MaxAnswerBytes() const;

  // Control host: returns the bytes of the replicated log that may be kept
  // behind a snapshot.
  std::size_t MaxTrailingLogBytes() const;

  // Control host: returns the size up to which a plan is accepted, in bytes.
  std::size_t MaxPlanBytes() const;

  // Control host: returns the bytes that plans of calls without an answer may
  // take.
  std::size_t MaxPendingPlanBytes() const;

  // Returns the rate of the host's own link in bytes per second, or 0.
  double LinkRate() const;

  // Returns the address of the fleet process on the host of `address`.
  Endpoint FleetEndpoint(const Endpoint& address) const {
    return {address.ip, fleet_port};
  }
};

}  // namespace sapphirebank
