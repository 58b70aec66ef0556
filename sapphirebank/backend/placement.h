#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirebank/backend/backend_types.h"

namespace sapphirebank {

// Asks for a slot of a backend server for one try of a request. The request
// should be complete at the entry host, so that a slow caller holds no slot.
struct PlaceRequest {
  RequestId request;
  ServiceId service;
  WorkspaceId workspace;
  Fingerprint fingerprint = 0;
  // Servers that this request was already tried on.
  std::vector<BackendId> excluded;
  // Whether the request may run twice, so that it may try a doubtful server.
  bool idempotent = false;
};

// Why a backend server was not chosen.
enum class PlacementReason {
  kChosen,        // It was.
  kLessFree,      // Another had a larger share of its slots free.
  kSuspect,       // Its last requests failed or do not end.
  kBusy,          // No slot is free.
  kColdLimit,     // No slot is free that its cold start has opened.
  kNoConnection,  // Its maximum of connections is reached.
  kExcluded,      // The request was already tried on it.
  kEjected,
  kZoneOut,
  kDraining,
  kSilent,
};

// Returns the reason's name in logs.
const char* PlacementReasonName(PlacementReason reason);

struct PlacementCandidate {
  BackendId backend;
  PlacementReason reason = PlacementReason::kLessFree;
};

enum class PlacementStatus {
  kPlaced,
  // Servers take work, but none has a free slot: the request may wait.
  kAllBusy,
};

struct Placement {
  PlacementStatus status = PlacementStatus::kAllBusy;
  // The rest is set when `status` is kPlaced.
  AttemptId attempt = 0;
  BackendId backend;
  BackendAddress address;
  // Idle connections to the server may have gone silent: open a new one.
  bool needs_fresh_connection = false;
  // The servers looked at, the chosen one among them. When a service has many,
  // only a sample is looked at.
  std::vector<PlacementCandidate> candidates;
};

}  // namespace sapphirebank
