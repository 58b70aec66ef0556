#pragma once

#include <cstdint>
#include <string>

#include "sapphirebank/backend/backend_types.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

// State that a backend server reports to the owner of its key. The server
// repeats the announcement well within BackendPolicy::announcement_ttl.
struct Announcement {
  BackendId backend;
  // Number of this start of the server; larger for each later start, or 0 if
  // the server cannot count its starts.
  Incarnation incarnation = 0;
  // Differs between two starts of the server, also when `incarnation` does not.
  std::string process_id;
  BackendKey key;
  BackendAddress address;
  // Number of requests that the server can run concurrently.
  std::uint32_t slots = 1;
  // Number of connections that the server can hold open.
  std::uint32_t max_connections = 1;
  // Number of requests that the server is running now.
  std::uint32_t running = 0;
  // Whether the server accepts no new requests.
  bool draining = false;

  friend bool operator==(const Announcement&, const Announcement&) = default;
};

// Checks the lengths of the names, the address and the numeric ranges. Fails
// with kMalformedRequest, naming the field and the expected value.
Result<void> CheckAnnouncement(const Announcement& announcement);

// How the owner processed an announcement.
enum class AnnounceDecision {
  kAdded,       // The server was unknown to this owner; it starts cold.
  kRenewed,     // Only the time of the last announcement changed.
  kChanged,     // Slots, connections or address of a known process changed.
  kNewProcess,  // The server restarted; it is cold again.
  kDraining,    // The server gets no new requests.
  kResumed,     // The server accepts requests again, starting cold.
  kStale,       // From an earlier incarnation; ignored.
  kConflict,    // Another live server has this id; ignored.
  kNotOwned,    // Another entry host owns the server's key.
};

// Returns the decision's name in logs and responses.
const char* AnnounceDecisionName(AnnounceDecision decision);

}  // namespace sapphirebank
