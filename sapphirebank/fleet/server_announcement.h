#pragma once

#include <cstdint>
#include <string_view>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// What a backend server says of itself in one heartbeat.
struct ServerAnnouncement {
  BackendId id;
  ServiceId service;
  Endpoint endpoint;
  ZoneId zone;
  std::uint32_t slots = 1;
  // It takes no new work from now on.
  bool leaving = false;
  // For how long it stays cold.
  Duration warm_up_left{};
  // Grows with each heartbeat of one life.
  std::uint64_t sequence = 0;
  // The start of this life; 0 when the server does not tell.
  Incarnation incarnation = 0;

  friend bool operator==(const ServerAnnouncement&,
                         const ServerAnnouncement&) = default;
};

// How far a backend server is trusted with requests.
enum class ServerHealth : std::uint8_t {
  kUp,
  kProbation,  // It failed lately: only requests that may run twice.
  kDown,       // It fails: no requests.
};

// Returns the standing's name in logs.
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

// One backend server as hosts are told of it.
struct ServerState {
  ServerAnnouncement announcement;
  ServerHealth health = ServerHealth::kUp;
  // Until when it is cold, by the clock of the process that holds this.
  Instant cold_until;
  // Gone or leaving: no requests.
  bool retired = false;
};

}  // namespace sapphirebank
