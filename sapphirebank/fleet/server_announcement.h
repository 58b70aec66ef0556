#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// The content of one heartbeat of a backend server.
struct ServerAnnouncement {
  BackendId id;
  ServiceId service;
  // Version of the server's software; empty if it announces none.
  std::string version;
  Endpoint endpoint;
  ZoneId zone;
  std::uint32_t slots = 1;
  // The server accepts no new requests.
  bool leaving = false;
  // Remaining warm-up time.
  Duration warm_up_left{};
  // Increases with each heartbeat of one incarnation.
  std::uint64_t sequence = 0;
  // Start of this incarnation; 0 when the server does not announce one.
  Incarnation incarnation = 0;

  friend bool operator==(const ServerAnnouncement&,
                         const ServerAnnouncement&) = default;
};

// Checks that an announcement names a server that can be used and that all
// hosts of the fleet can read: names without control characters, an IP number
// and a port, and numbers in the ranges of the messages between hosts. Fails
// with kMalformedRequest and names the field.
Result<void> CheckAnnouncement(const ServerAnnouncement& server);

// Health of a backend server as tracked by the leading control host.
enum class ServerHealth : std::uint8_t {
  kUp,
  kProbation,  // Failed recently: first attempts of repeatable requests only.
  kDown,       // Fails: no requests.
};

// Returns the health's name in logs.
constexpr std::string_view ToString(ServerHealth health) {
  switch (health) {
    case ServerHealth::kUp:
      return "up";
    case ServerHealth::kProbation:
      return "probation";
    case ServerHealth::kDown:
      return "down";
  }
  return "unknown";
}

// State of a backend server as distributed to hosts.
struct ServerState {
  ServerAnnouncement announcement;
  ServerHealth health = ServerHealth::kUp;
  // End of the warm-up by the clock of the process that holds this object.
  Instant cold_until;
  // Gone or leaving; gets no requests.
  bool retired = false;
  // Requests per second that the server accepts from all hosts together, for as
  // long as it says so in its answers.
  std::optional<double> rate_limit;
};

}  // namespace sapphirebank
