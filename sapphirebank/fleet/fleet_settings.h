#pragma once

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

namespace sapphirebank {

// What a process of a fleet does that learns everything from control hosts.
enum class FleetRole { kEntry, kControl };

// The settings of such a process, read from JSON with comments. Addresses are
// "ip:port" texts.
struct FleetSettings {
  FleetRole role = FleetRole::kEntry;
  HostId host;
  std::string ip;
  ZoneId zone;

  // Of an entry host: callers, and the platform's check of readiness.
  Endpoint callers;
  Endpoint readiness;
  // Of a control host: operators and backend servers, and callers that ask for
  // addresses.
  Endpoint control;
  Endpoint directory;
  // Where metrics are served, if anywhere.
  std::optional<Endpoint> metrics;
  // Where the processes of the fleet talk to each other; the same port on all
  // hosts.
  std::uint16_t fleet_port = 0;

  // Control hosts to begin with. Their addresses for operators; only the IP
  // number counts here.
  std::vector<Endpoint> seeds;
  // All data folders of the fleet are empty: the seeds form the group.
  bool found_group = false;
  std::string data_folder;
  std::string fleet_secret;
  LogLevel log_level = LogLevel::kInfo;

  // A withdrawn key stops working this long after its withdrawal was accepted.
  Duration key_withdrawal = std::chrono::seconds(5);
  // From the signal to end until the process is killed.
  Duration grace = std::chrono::seconds(6);
  // Longest time for which callers keep an answer of the directory.
  Duration longest_lookup_life = std::chrono::seconds(5);
  // Retries of the whole fleet in a window beyond those that requests earn.
  double retry_slack = 60;

  // Reads `text`. Fails with kInvalidSettings and names file, place and cause.
  static Result<FleetSettings> Parse(std::string_view text,
                                     std::string_view file_name);

  // Returns the address at which the fleet's processes on the host of `address`
  // are reached.
  Endpoint FleetEndpoint(const Endpoint& address) const {
    return {address.ip, fleet_port};
  }
};

}  // namespace sapphirebank
